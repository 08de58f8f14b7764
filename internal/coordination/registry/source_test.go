package registry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// fleetIDs returns the IDs of n instances, in order.
func fleetIDs(n int) []model.InstanceID {
	ids := make([]model.InstanceID, n)
	for i := range ids {
		ids[i] = model.InstanceID(fmt.Sprintf("i%02d", i))
	}
	return ids
}

// entryReaders returns the number of instances that have read the entries.
func (c fakePeers) entryReaders() (readers int) {
	for _, m := range c {
		if m.store.entryReads.Load() > 0 {
			readers++
		}
	}
	return readers
}

// forgetEntryReads sets the counts of entryReaders to zero.
func (c fakePeers) forgetEntryReads() {
	for _, m := range c {
		m.store.entryReads.Store(0)
	}
}

// Guards against readers whose data counts as too old right before each of their reads,
// so that all their members read the store: the interval of reads follows the bound for
// leaving upstreams, and the allowed age did not.
func TestCalmReadersAreKeptForAnyBound(t *testing.T) {
	for _, bound := range []time.Duration{1, 3, 4, 10} {
		for _, size := range []int{6, 2} { // one cell, and three
			synctest.Test(t, func(t *testing.T) {
				c := startCellsWithin(newStoreContent(), size, bound*time.Second, fleetIDs(6)...)
				defer c.close()
				for _, m := range c {
					m.store.changeTransferTime.Store(int64(40 * time.Millisecond))
				}
				time.Sleep(5 * time.Second)
				c.forgetEntryReads()
				time.Sleep(7 * time.Second)
				readers := c.entryReaders()
				assert.Equal(t, readers, 1, "bound %d s, cells of %d", bound, size)
			})
		}
	}
}

// Guards against all members of a cell reading the store when their reader is lost:
// the next member takes its place.
func TestLostReaderIsReplacedByOneMember(t *testing.T) {
	ids := fleetIDs(6)
	inEachPhase(t, 70*time.Millisecond, 6, ids, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
		for name, lose := range map[string]func(){
			"silent":        func() { c[ids[0]].unresponsive.Store(true) },
			"without store": func() { c[ids[0]].store.unreachable.Store(true) },
		} {
			c.forgetEntryReads()
			lose()
			w.change(func() {
				w.revision++
				w.entries["u1"] = entryOf("u1", true, uint64(w.revision))
			})
			time.Sleep(2 * time.Second) // LeaveTimeout
			for _, id := range ids[1:] {
				row, _ := c[id].upstreams.Get("u1")
				assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "%s, reader %s, phase %d", id, name, phase)
			}
			time.Sleep(4 * time.Second)
			readers := c.entryReaders()
			assert.Assert(t, readers <= 2, "%d members read the store, reader %s, phase %d", readers, name, phase)
			c[ids[0]].unresponsive.Store(false)
			c[ids[0]].store.unreachable.Store(false)
			time.Sleep(5 * time.Second)
		}
	})
}

// Guards against instances of all cells reading the store when the instance that reads
// it for all of them is lost.
func TestLostRootReaderIsReplacedByOneMember(t *testing.T) {
	ids := fleetIDs(12)
	for _, bound := range []time.Duration{2, 4} {
		inEachPhaseWithin(t, bound*time.Second, 70*time.Millisecond, 4, ids, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
			c.forgetEntryReads()
			c[ids[0]].store.unreachable.Store(true)
			c[ids[0]].unresponsive.Store(phase%2 == 0)
			w.change(func() {
				w.revision++
				w.entries["u1"] = entryOf("u1", true, 2)
			})
			time.Sleep(bound * time.Second)
			for _, id := range ids[1:] {
				row, _ := c[id].upstreams.Get("u1")
				assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "%s, bound %d s, phase %d", id, bound, phase)
			}
			time.Sleep(4 * time.Second)
			readers := c.entryReaders()
			assert.Assert(t, readers <= 2+12/4, "%d instances read the store, bound %d s, phase %d", readers, bound, phase)
		})
	}
}

// scriptedPeers answers polls with a fixed delta.
type scriptedPeers struct{ delta Delta }

func (p scriptedPeers) Poll(_ context.Context, _ model.Instance, _ Cursor, _ *model.RoutingRules, d time.Duration) (Delta, error) {
	time.Sleep(d)
	return p.delta, nil
}

// Guards against an upstream that is gone and gets work again, since an instance that
// changes its reader applies a snapshot that is older than what it knows.
func TestOlderSnapshotBringsNoUpstreamBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		first := model.Instance{ID: "a", Incarnation: 1, State: model.InstanceLive}
		m := newMember(w, fakePeers{}, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
		defer m.pool.Close()
		m.Start()
		time.Sleep(3 * time.Second)
		stale := scriptedPeers{Delta{
			ReaderIncarnation: 1, Version: 9, Snapshot: true, Source: "a", Ages: Ages{Entries: 900 * time.Millisecond},
			Changed: []Entry{entryOf("u1", false, 1), entryOf("u2", false, 1)},
		}}
		w.change(func() { delete(w.entries, "u1"); w.revision++ })
		time.Sleep(700 * time.Millisecond) // one interval of reads
		m.pool.Post(keyEntries, worker.Func(func() {
			m.opts.Peers = stale
			m.opts.Instances.Merge(first)
			w.change(func() { w.instances = append(w.instances, first) }) // or the next read of the list removes it
		}))
		time.Sleep(800 * time.Millisecond)
		_, known := m.upstreams.Get("u1")
		assert.Assert(t, !known)
	})
}

// Guards against version moves that nobody judges because the store turns the first
// instance away: each instance took that one for the judge, and it had lost the store.
func TestRootReaderIsOneThatReadsTheStore(t *testing.T) {
	for _, refused := range [][]model.InstanceID{{"a"}, {"a", "b"}, {"a", "d"}} {
		inEachPhase(t, 70*time.Millisecond, 3, []model.InstanceID{"a", "b", "c", "d", "e", "f"}, func(t *testing.T, _ *storeContent, c fakePeers, phase int) {
			assert.Assert(t, c["a"].IsRootReader())
			for _, id := range refused {
				c[id].store.unreachable.Store(true)
			}
			time.Sleep(4 * time.Second)
			named := map[model.InstanceID]time.Time{} // when each instance last named a root reader that is one
			for id := range c {
				named[id] = time.Now()
			}
			for range 60 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				judges := 0
				for id, m := range c {
					if m.IsRootReader() {
						judges++
						assert.Assert(t, !m.store.unreachable.Load(), "phase %d: %s has lost the store", phase, id)
					}
					if root, known := m.RootReader(); known && c[root.ID].IsRootReader() {
						named[id] = time.Now()
					}
					// An instance whose readers are all lost looks for them at this interval.
					assert.Assert(t, time.Since(named[id]) <= lostReaderCheckInterval, "refused %s, phase %d: %s does not know the root reader", refused, phase, id)
				}
				assert.Equal(t, judges, 1, "refused %s, phase %d", refused, phase)
			}
			for _, id := range refused {
				c[id].store.unreachable.Store(false)
			}
			time.Sleep(8 * time.Second)
			synctest.Wait()
			assert.Assert(t, c["a"].IsRootReader(), "phase %d", phase)
		})
	}
}
