package gossip

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

func newMoveStore(id model.InstanceID) *Store {
	t := newTables()
	t.Stops.SetShare(model.Share{Serves: "m", Target: "2", Previous: "1", Share: 0.1, Revision: 1})
	return NewStore(model.Instance{ID: id, Incarnation: 1, Region: "r"}, t)
}

func exchangeOnce(from, to *Store, now time.Time) {
	digest := from.Digest("r", false)
	reply := to.Handle(Exchange{Digest: digest}, now)
	if push := from.MergeReply(digest, reply, now); push != nil {
		to.Handle(Exchange{Delta: push}, now)
	}
}

// Guards against evidence that is not forwarded by an instance in between, is
// not updated as its counts grow, or is counted again when it arrives twice.
func TestEvidenceIsForwarded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	stores := []*Store{newMoveStore("a"), newMoveStore("b"), newMoveStore("c")}
	key := evidence.Key{
		Instance: "a", Version: model.VersionKey{Serves: "m", Version: "2"}, Route: "generate", Minute: now.Unix() / 60,
	}
	for requests := uint64(1); requests <= 5; requests++ {
		o := evidence.Observation{Failed: requests%2 == 0, FirstWait: time.Second}
		stores[0].tables.Evidence.Observe(key, o)
		for range 3 { // the first exchanges make the stores known to each other
			now = now.Add(minEvidenceInterval)
			for _, s := range stores {
				s.Tick(now)
			}
			exchangeOnce(stores[0], stores[1], now)
			exchangeOnce(stores[1], stores[2], now)
		}
		want, ok := stores[0].tables.Evidence.Get(key)
		assert.Assert(t, ok)
		for _, s := range stores {
			got, ok := s.tables.Evidence.Get(key)
			assert.Assert(t, ok)
			assert.Equal(t, got, want)
			assert.Equal(t, s.tables.Evidence.Sums(key.Version)[evidence.SumKey{
				Version: key.Version, Route: key.Route, Minute: key.Minute,
			}], want)
		}
	}
}

// BenchmarkEvidenceMemory measures the memory that the evidence of one version
// move takes in the store and in the evidence table, with as many instances as
// serve 20, 500 and 3,500 upstreams.
func BenchmarkEvidenceMemory(b *testing.B) {
	for _, instances := range []int{4, 91, 640} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			before, now := heapInUse(), time.Unix(1_800_000_000, 0)
			var s *Store
			for range b.N {
				s = NewStore(model.Instance{ID: "self"}, newTables())
				for i := range instances {
					receiveEvidence(s, model.InstanceID(fmt.Sprintf("instance-%03d", i)), now)
				}
			}
			b.ReportMetric(float64(heapInUse()-before), "heap-B")
			runtime.KeepAlive(s)
		})
	}
}

// receiveEvidence merges an instance's rows of the last minutes. Their strings
// are cloned because a decoder allocates each string anew.
func receiveEvidence(s *Store, id model.InstanceID, now time.Time) {
	origin := Origin{ID: id, Incarnation: 1}
	s.addOrigin(origin, "region")
	u := Update{Origin: origin, To: 1}
	for minute := range int64(maxEvidenceAge/time.Minute) + 1 {
		for _, version := range []string{"1.0", "2.0"} {
			row := EvidenceRow{Key: evidence.Key{
				Instance: id,
				Version:  model.VersionKey{Serves: strings.Clone("model-00"), Version: strings.Clone(version)},
				Route:    strings.Clone("generate"),
				Minute:   now.Unix()/60 - minute,
			}, Changed: 1}
			row.Counts.Requests = 190
			for i := range 4 {
				row.Counts.FirstWait[12+i], row.Counts.Pace[8+i] = 47, 47
			}
			u.Evidence = append(u.Evidence, row)
		}
	}
	s.applyEntries(s.origins[id], u)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // the first run can leave objects that finalizers referenced
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
