package environment

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// countedObjects counts the reads of bodies and takes a while for each, as a
// transfer and a parse of 3,500 upstreams do.
type countedObjects struct {
	*fakeStore
	reads *atomic.Int64
}

func (o countedObjects) GetObject(ctx context.Context, key string) ([]byte, error) {
	o.reads.Add(1)
	time.Sleep(200 * time.Millisecond)
	return o.fakeStore.GetObject(ctx, key)
}

// bodyReads returns the number of bodies that each of so many instances reads
// for each change, when gossip takes the given time to reach all others.
func bodyReads(t *testing.T, instances int, gossip time.Duration, waits bool) float64 {
	const changes = 5
	reads := &atomic.Int64{}
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		all := make([]*Watcher, instances)
		var latest atomic.Uint64 // generation that gossip spreads already
		spread := func(d *model.Document) {
			if latest.Swap(d.Generation) == d.Generation {
				return
			}
			pool.After(gossip, "gossip", worker.Func(func() {
				for _, w := range all {
					w.Learn(d, nil)
				}
			}))
		}
		for i := range all {
			// One pool serves all; each watcher has a key of its own.
			opts := Options{
				Environment: environment, Rows: s, Objects: countedObjects{s, reads}, Table: document.NewTable(),
				Pool: pool, Parse: parse, Applied: func(d *model.Document) { spread(d) },
			}
			if waits {
				opts.Instances = func() int { return instances }
			}
			all[i] = NewWatcher(opts)
			all[i].key = worker.Key(string(rune('A' + i)))
			all[i].Start()
		}
		for i := range uint64(changes + 1) {
			_, err := promote(s, promotion("change"+string(rune('a'+i)), i))
			assert.NilError(t, err)
			if i == 0 {
				advance(20 * time.Second) // until the first reads are spread
				reads.Store(0)
				continue
			}
			advance(5800 * time.Millisecond)
			for _, w := range all {
				assert.Equal(t, w.generation(), i+1)
			}
		}
		for _, w := range all {
			w.Stop()
		}
		advance(10 * time.Second)
	})
	return float64(reads.Load()) / changes / float64(instances)
}

// Guards against a fleet in which many instances read and parse each new
// document although gossip brings it, and against a wait that breaks the 6 s.
func TestFewInstancesReadTheBody(t *testing.T) {
	const instances, gossip = 640, 300 * time.Millisecond
	without, with := bodyReads(t, instances, gossip, false), bodyReads(t, instances, gossip, true)
	t.Logf("bodies read for each change and instance: %.3f without a wait, %.3f with it", without, with)
	assert.Assert(t, with < without/4)
}

// Guards against a change that takes longer than 6 s where no peer brings it.
func TestWaitKeepsTheTime(t *testing.T) {
	read := bodyReads(t, 100, time.Hour, true)
	assert.Equal(t, read, 1.0)
	assert.Equal(t, BodyWait(12, 0.99), time.Duration(0))
	assert.Equal(t, BodyWait(640, 0.049), time.Duration(0))
	assert.Equal(t, BodyWait(640, 0.051), maxBodyWait)
}
