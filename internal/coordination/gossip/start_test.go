package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an instance that never learns of another one because messages were
// delayed, lost or overtook each other while all instances started.
func TestStartedInstancesLearnOfEachOther(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_800_000_000, 0)
		var stores []*Store
		for i := range 3 {
			stores = append(stores, NewStore(model.Instance{
				ID: model.InstanceID(fmt.Sprint("i", i)), Incarnation: uint64(100 + i), Region: "r", ControlAddress: fmt.Sprint("a", i), CallerAddress: "c",
			}, newTables()))
		}
		var pending []func()
		deliver := func(chance float64, f func()) {
			if random.Float64() < chance {
				pending = append(pending, f)
			}
		}
		exchange := func(a, b *Store, chance float64) {
			digest := a.Digest("r", true)
			deliver(chance, func() {
				reply := b.Handle(Exchange{Digest: digest}, now)
				deliver(chance, func() {
					if push := a.MergeReply(digest, reply, now); push != nil {
						deliver(chance, func() { b.Handle(Exchange{Delta: push}, now) })
					}
				})
			})
		}
		run := func(rounds int, chance float64, keep int) {
			for range rounds {
				now = now.Add(RoundInterval)
				for i, a := range stores {
					a.Tick(now)
					exchange(a, stores[(i+1+random.IntN(2))%3], chance)
				}
				for len(pending) > keep {
					next := random.IntN(len(pending))
					f := pending[next]
					pending = append(pending[:next], pending[next+1:]...)
					f()
				}
			}
		}
		run(8, 0.7, 4)
		run(10, 1, 0)
		for i, s := range stores {
			assert.Equal(t, len(s.tables.Instances.All()), 3, "seed %d: instance %d", seed, i)
		}
	}
}
