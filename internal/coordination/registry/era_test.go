package registry

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// restore puts the store back to a state with other rows and the next era.
func (w *storeContent) restore(change func()) {
	w.change(func() {
		w.era++
		change()
	})
}

func (w *storeContent) hasRow(id model.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.instances, func(in model.Instance) bool { return in.ID == id })
}

func startCellInEra(w *storeContent, era Era, ids ...model.InstanceID) fakePeers {
	w.era = era
	return startCellsWithin(w, len(ids), defaultLeaveTimeout, ids...)
}

// Guards against positions of an earlier era that count as newer because their revisions
// are higher.
func TestPositionsCompareByEraAndRevision(t *testing.T) {
	assert.Assert(t, Position{1, 900}.Before(Position{2, 4}))
	assert.Assert(t, !Position{2, 4}.Before(Position{1, 900}))
	assert.Assert(t, Position{2, 3}.Before(Position{2, 4}))
	assert.Assert(t, !Position{2, 4}.Before(Position{2, 4}))
}

// Guards against answers that are applied although they say nothing about the present rows.
func TestEraOfAnAnswerDecides(t *testing.T) {
	assert.NilError(t, checkEra(2, 2, 2, false))
	assert.NilError(t, checkEra(3, 2, 3, true))
	assert.ErrorIs(t, checkEra(3, 2, 3, false), errNewEra)
	assert.ErrorIs(t, checkEra(2, 2, 3, false), errOlderEra)
	assert.ErrorIs(t, checkEra(2, 0, 3, true), errOlderEra)
	assert.NilError(t, checkEra(0, 0, 0, false), "a store without eras")
}

// Guards against a store that more instances than it can take write to at the same moment.
func TestRowsAreWrittenAgainUnderTheLimit(t *testing.T) {
	const partitionLimit = 200 // transactions a second
	for _, instances := range []int{12, 118, 300, 640} {
		rate := 2 * float64(instances) / rewriteTime(instances).Seconds() // of at most two transactions each
		assert.Assert(t, rate <= partitionLimit/2, "%d instances: %v transactions/s", instances, rate)
	}
}

// Guards against instances that do not read the store and never learn that it lost their
// rows, after one restore and after a second one that follows soon.
func TestInstancesThatPollWriteTheirRowsAgain(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCellInEra(w, 1, "a", "b", "c", "d")
			defer c.close()
			time.Sleep(5 * time.Second)
			lose := func() { w.restore(func() { w.instances, w.revision = nil, 8 }) }
			lose()
			if pause > 0 {
				time.Sleep(pause)
				lose()
			}
			time.Sleep(4 * time.Second)
			synctest.Wait()
			for id, m := range c {
				assert.Assert(t, w.hasRow(id), "%s after a pause of %s", id, pause)
				assert.Equal(t, m.Era(), w.era, "%s", id)
				for other := range c {
					in, _ := m.opts.Instances.Get(other)
					assert.Equal(t, in.State, model.InstanceLive, "%s at %s", other, id)
				}
			}
		})
	}
}

// Guards against an answer from before a restore that arrives late and undoes what was read
// since, or that makes the instance read on from a revision of the earlier history.
func TestLateAnswerOfAnOlderEraChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCellInEra(w, 2, "a")
		defer c.close()
		m := c["a"]
		time.Sleep(3 * time.Second)
		w.restore(func() { w.revision = 5 })
		time.Sleep(3 * time.Second)
		m.pool.Post(keyEntries, worker.Func(func() {
			m.applyEntries(Entries{Era: 2, Revision: 900, Snapshot: true, Changed: []Entry{entryOf("old", false, 1)}})
		}))
		m.noticeEra(2, "store")
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, m.has("u1") && m.has("u2") && !m.has("old"))
		assert.Equal(t, m.Era(), Era(3))
		w.change(func() {
			w.revision = 6
			w.entries["u1"] = entryOf("u1", true, 2)
			w.rules = &model.RoutingRules{Revision: 2}
		})
		time.Sleep(2 * time.Second)
		row, _ := m.upstreams.Get("u1")
		assert.Equal(t, row.Report.Health, upstream.HealthLeaving)
		assert.Equal(t, m.rulesTable.Current().Revision, uint64(2))
	})
}

// Guards against an instance that stops following the store because an answer has no era.
func TestAnswerWithoutAnEraCountsForThePresentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCellInEra(w, 2, "a", "b")
		defer c.close()
		time.Sleep(3 * time.Second)
		w.change(func() {
			w.era, w.revision = 0, 11
			w.entries["u1"] = entryOf("u1", true, 2)
			w.rules = &model.RoutingRules{Revision: 2}
		})
		time.Sleep(2 * time.Second)
		for id, m := range c {
			row, _ := m.upstreams.Get("u1")
			assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "%s", id)
			assert.Equal(t, m.rulesTable.Current().Revision, uint64(2), "%s", id)
			assert.Equal(t, m.Era(), Era(2))
		}
	})
}

// Guards against an instance that ignores a reader of an earlier build, which sends no era,
// or that takes its data for those of an earlier era.
func TestDeltaOfAnEarlierBuildCountsForThePresentEra(t *testing.T) {
	m := newMember(newStoreContent(), fakePeers{}, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
	defer m.pool.Close()
	m.noticeEra(4, "store")
	m.entries.position = Position{4, 20}
	now := time.Now()

	assert.Assert(t, !m.isOlder(Delta{Revision: 21}, now))
	assert.Assert(t, m.isOlder(Delta{Revision: 19}, now))
	position, known := m.position(Delta{Revision: 21})
	assert.Assert(t, known)
	assert.Equal(t, position, Position{4, 21})
	assert.Assert(t, m.isOlder(Delta{Era: 3, Revision: 900}, now))
	assert.Assert(t, !m.isOlder(Delta{Era: 5, Revision: 1}, now))
}

// Guards against upstreams that are lost at instances which poll a reader, or that return to
// work although they leave, because a restored store lacks their entries or has older ones.
func TestUpstreamsOutlastARestoreAtAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCellInEra(w, 1, "a", "b", "c")
		defer c.close()
		time.Sleep(3 * time.Second)
		w.change(func() {
			w.revision++
			w.entries["u1"] = entryOf("u1", true, 5)
			w.entries["u3"] = entryOf("u3", false, 1)
		})
		time.Sleep(2 * time.Second)
		w.restore(func() {
			w.revision = 10
			w.entries = map[model.UpstreamID]Entry{"u1": entryOf("u1", false, 1)}
		})
		check := func(when string, wants map[model.UpstreamID]bool) {
			t.Helper()
			synctest.Wait()
			for id, m := range c {
				for up, want := range wants {
					assert.Equal(t, m.has(up), want, "%s at %s, %s", up, id, when)
				}
				row, _ := m.upstreams.Get("u1")
				assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "%s, %s", id, when)
				for _, e := range m.ServePoll(t.Context(), Cursor{}, 0).Changed { // what an instance learns that starts now
					assert.Equal(t, e.Leaving, e.Upstream.ID == "u1", "%s at %s, %s", e.Upstream.ID, id, when)
				}
			}
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			check("right after the restore", map[model.UpstreamID]bool{"u2": true, "u3": true})
		}
		w.change(func() {
			w.revision = 14
			w.entries["u3"] = entryOf("u3", false, 1)
		})
		time.Sleep(3 * time.Second)
		check("later", map[model.UpstreamID]bool{"u2": false, "u3": true})
	})
}

// Guards against instances that are taken for stopped because a restored store lacks their
// rows until they are written again, and against stopped ones that are kept for good.
func TestInstancesOutlastARestoreUntilTheirRowsAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCellInEra(w, 1, "a")
		defer c.close()
		other := model.Instance{ID: "z", Incarnation: 3, State: model.InstanceLive}
		w.change(func() { w.instances = append(w.instances, other) })
		time.Sleep(5 * time.Second)
		state := func() model.InstanceState {
			synctest.Wait()
			in, _ := c["a"].opts.Instances.Get("z")
			return in.State
		}
		assert.Equal(t, state(), model.InstanceLive)
		w.restore(func() { w.instances, w.revision = nil, 8 })
		for end := time.Now().Add(restoreGrace(2)); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			assert.Equal(t, state(), model.InstanceLive)
		}
		time.Sleep(4 * time.Second)
		assert.Assert(t, state() != model.InstanceLive)
		assert.Assert(t, w.hasRow("a"))
	})
}

// Guards against a reader of an earlier build that has not noticed a restore: its revision, of
// the earlier history, made own reads of the restored store count as stale.
func TestDeltaOfAnEarlierBuildIsJudgedByItsAgeAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMember(newStoreContent(), fakePeers{}, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
		defer m.pool.Close()
		apply := func(delta Delta) (older bool) {
			m.pool.Post(keyEntries, worker.Func(func() {
				older = m.isOlder(delta, time.Now())
				m.applyDelta(delta, model.Instance{ID: "a"})
			}))
			synctest.Wait()
			return older
		}
		m.noticeEra(1, "store")
		m.noticeEra(2, "store")
		synctest.Wait()
		m.entries.position = Position{2, 810}
		time.Sleep(time.Second)
		delta := Delta{Revision: 1000, Changed: []Entry{entryOf("u1", false, 1)}}
		assert.Assert(t, !apply(delta), "read after the restore")
		assert.Equal(t, m.entries.position, Position{2, 810})
		delta.Ages.Entries = 1100 * time.Millisecond
		assert.Assert(t, apply(delta), "read before the restore")
		m.pool.Post(keyEntries, worker.Func(func() {
			m.applyEntries(Entries{Era: 2, Revision: 811, Changed: []Entry{entryOf("u2", false, 1)}})
		}))
		synctest.Wait()
		assert.Equal(t, m.entries.position, Position{2, 811})
		assert.Assert(t, m.has("u2"), "the own read was dropped as stale")
	})
}

// Guards against upstreams that are dropped because an instance changes to a reader that
// started after a restore, and never knew the entries that the restored store lacks.
func TestSnapshotOfALaterReaderDropsNothingRightAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMember(newStoreContent(), fakePeers{}, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
		defer m.pool.Close()
		apply := func(delta Delta) {
			m.pool.Post(keyEntries, worker.Func(func() {
				m.noticeEra(delta.Era, "reader")
				m.keepEntries(time.Now())
				m.applyDelta(delta, model.Instance{ID: "a"})
			}))
			synctest.Wait()
		}
		all := []Entry{entryOf("u1", false, 1), entryOf("u2", false, 1), entryOf("u3", false, 1)}
		apply(Delta{Era: 1, Revision: 900, Snapshot: true, Changed: all})
		time.Sleep(5 * time.Second)
		apply(Delta{Era: 2, Revision: 800, Snapshot: true, Changed: all[:1]})
		time.Sleep(outageGrace - 100*time.Millisecond)
		synctest.Wait()
		assert.Assert(t, m.has("u1") && m.has("u2") && m.has("u3"), "dropped at once")
		apply(Delta{Era: 2, Revision: 810, Changed: []Entry{entryOf("u2", false, 2)}})
		time.Sleep(200 * time.Millisecond)
		apply(Delta{Era: 2, Revision: 820, Snapshot: true, Changed: []Entry{entryOf("u1", false, 1), entryOf("u2", false, 2)}})
		assert.Assert(t, m.has("u1") && m.has("u2"))
		assert.Assert(t, !m.has("u3"), "kept for good")
		apply(Delta{Era: 2, Revision: 830, Snapshot: true, Changed: []Entry{entryOf("u1", false, 1)}})
		assert.Assert(t, !m.has("u2"), "the reader has applied the delay")
	})
}

// Guards against an instance that takes entries of a restored store for entries of the earlier
// history, because its poll is answered before its reader has applied all of them.
func TestEraIsSharedBeforeItsEntries(t *testing.T) {
	for _, polls := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMember(newStoreContent(), fakePeers{}, 1, model.Instance{ID: "b", Incarnation: 1, State: model.InstanceLive})
			defer m.pool.Close()
			shared := map[model.UpstreamID]Delta{} // when each entry is logged, right after it is shared
			m.opts.Log = &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
				if e.Message == "upstream entry" {
					shared[model.UpstreamID(e.Fields["upstream"].(string))] = m.ServePoll(t.Context(), Cursor{}, 0)
				}
				return nil
			})}
			apply := func(era Era, revision Revision, e Entry) {
				m.pool.Post(keyEntries, worker.Func(func() {
					m.noticeEra(era, "store")
					m.keepEntries(time.Now())
					if polls {
						m.applyDelta(Delta{Era: era, Revision: revision, Changed: []Entry{e}}, model.Instance{ID: "a"})
					} else {
						m.applyEntries(Entries{Era: era, Revision: revision, Changed: []Entry{e}})
					}
				}))
				synctest.Wait()
			}
			apply(1, 900, entryOf("u1", false, 1))
			apply(2, 800, entryOf("u2", false, 1))
			assert.Equal(t, shared["u1"].Era, Era(1))
			assert.Equal(t, shared["u2"].Era, Era(2))
			assert.Equal(t, shared["u2"].Revision, Revision(0), "the position came before its entries")
			after := m.ServePoll(t.Context(), Cursor{}, 0)
			assert.Equal(t, Position{after.Era, after.Revision}, Position{2, 800})
		})
	}
}

// Guards against a read of all rules after a restore that is ended and made once more, which
// costs a call for each reader and restore.
func TestRulesAreReadOnceAsAWholeAfterARestore(t *testing.T) {
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCellInEra(w, 1, "a")
			defer c.close()
			m := c["a"]
			time.Sleep(5*time.Second + time.Duration(phase)*70*time.Millisecond)
			synctest.Wait()
			before := m.store.wholeRules.Load()
			w.restore(func() { w.revision, w.rules = 5, &model.RoutingRules{Revision: 2} })
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, m.Era(), Era(2))
			assert.Equal(t, m.rulesTable.Current().Revision, uint64(2))
			assert.Equal(t, m.store.wholeRules.Load()-before, int32(1), "phase %d", phase)
		})
	}
}
