package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// Guards against every instance reading the store, so that the cost of the calls
// grows with the deployment.
func TestOneMemberReadsForTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b", "c")
		defer c.close()
		time.Sleep(5 * time.Second)
		before := c["b"].store.entryReads.Load() + c["c"].store.entryReads.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, c["b"].store.entryReads.Load()+c["c"].store.entryReads.Load(), before)
		assert.Equal(t, len(c["c"].upstreams.Serving("s")), 2)
	})
}

// Guards against members that receive a leaving upstream or new rules too late
// from their reader.
func TestMembersReceiveChangesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b", "c")
		defer c.close()
		time.Sleep(5 * time.Second)
		w.change(func() {
			w.entries["u1"] = entryOf("u1", true, 2)
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 11
		})
		time.Sleep(1800 * time.Millisecond)
		for id, m := range c {
			row, _ := m.upstreams.Get("u1")
			assert.Equal(t, row.Report.Health, upstream.HealthLeaving, id)
		}
		for id, m := range c {
			assert.Equal(t, m.rulesTable.Current().Revision, uint64(2), id)
		}
	})
}

// Guards against members that keep old rules after their reader stopped.
func TestLostReaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b", "c")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["a"].unresponsive.Store(true)
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 11
		})
		time.Sleep(4 * time.Second)
		assert.Equal(t, c["b"].rulesTable.Current().Revision, uint64(2))
		assert.Equal(t, c["c"].rulesTable.Current().Revision, uint64(2))
	})
}

// Guards against an instance that has lost the store and does not receive changes
// from the others, such as the removal of credentials.
func TestInstanceWithoutStoreReadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b", "c")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["a"].store.unreachable.Store(true) // the reader
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.entries["u2"] = entryOf("u2", true, 2)
			w.revision = 11
		})
		time.Sleep(5 * time.Second)
		for id, m := range c {
			assert.Equal(t, m.rulesTable.Current().Revision, uint64(2), id)
			row, _ := m.upstreams.Get("u2")
			assert.Equal(t, row.Report.Health, upstream.HealthLeaving, id)
		}
	})
}

// Guards against upstreams that are dropped because their entries expired during
// an outage of the store, and against stopped upstreams that are kept.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["a"].store.unreachable.Store(true)
		time.Sleep(5 * time.Second)
		kept := w.entries
		w.change(func() { w.entries, w.revision = map[model.UpstreamID]Entry{}, 12 })
		c["a"].store.unreachable.Store(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(c["a"].upstreams.Serving("s")), 2)
		w.change(func() { w.entries, w.revision = map[model.UpstreamID]Entry{"u1": kept["u1"]}, 13 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(c["a"].upstreams.Serving("s")), 1)
	})
}

// Guards against a stale read that restores an older state.
func TestStaleReadIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a")
		defer c.close()
		time.Sleep(3 * time.Second)
		w.change(func() { w.entries, w.revision = map[model.UpstreamID]Entry{}, 4 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(c["a"].upstreams.Serving("s")), 2)
	})
}

// Guards against an instance that starts while the store does not answer, and
// still waits for its first read after the store is back.
func TestFirstReadIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		m := newMember(w, fakePeers{}, 1, model.Instance{ID: "a", Incarnation: 1, State: model.InstanceLive})
		defer m.pool.Close()
		m.store.hangs.Store(true)
		m.Start()
		time.Sleep(100 * time.Millisecond)
		m.store.hangs.Store(false)
		time.Sleep(1100 * time.Millisecond)
		assert.Assert(t, m.rulesTable.Current() != nil)
	})
}

// Guards against a member that receives a change late because its reader and the
// members next in line get no answers from the store.
func TestMembersOfAReaderThatLostTheStoreReadThemselves(t *testing.T) {
	inEachPhase(t, 100*time.Millisecond, 4, []model.InstanceID{"a", "b", "c", "d"}, func(t *testing.T, w *storeContent, c fakePeers, _ int) {
		for _, id := range []model.InstanceID{"a", "b", "c"} {
			c[id].store.hangs.Store(true)
		}
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 11
		})
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, c["d"].rulesTable.Current().Revision, uint64(2))
		time.Sleep(4 * time.Second)
		assert.Equal(t, c["a"].rulesTable.Current().Revision, uint64(2))
	})
}

// Guards against requests for a crashed upstream whose address another upstream
// uses by now: that one refuses them, and each counts as a retry.
func TestNewUpstreamAtAnAddressReplacesTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b")
		defer c.close()
		time.Sleep(5 * time.Second)
		fresh := entryOf("u9", false, 1)
		fresh.Upstream.Address, fresh.Incarnation = "u1", 5
		w.change(func() {
			w.entries["u9"] = fresh
			w.revision = 11
		})
		time.Sleep(1500 * time.Millisecond)
		for id, m := range c {
			_, known := m.upstreams.Get("u1")
			assert.Assert(t, !known, id)
			_, known = m.upstreams.Get("u9")
			assert.Assert(t, known, id)
		}
	})
}

// Guards against instances that call the store without pause during an outage.
func TestCallsDuringAnOutageAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b", "c", "d")
		defer c.close()
		time.Sleep(5 * time.Second)
		before := int32(0)
		for _, m := range c {
			m.store.unreachable.Store(true)
			before += m.store.calls.Load()
		}
		time.Sleep(8 * time.Second)
		during := -before
		for _, m := range c {
			during += m.store.calls.Load()
		}
		assert.Assert(t, during <= 4*8*2, "%d calls", during)
	})
}

// Guards against engines that restart during an outage of the store and get no
// work until it ends, and against engines that are kept without an entry after it.
func TestUpstreamsAreDiscoveredWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a")
		defer c.close()
		m := c["a"]
		fresh := model.Upstream{ID: "u9", Address: "u1", Serves: "s"}
		time.Sleep(5 * time.Second)
		m.UpstreamDiscovered(fresh)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(m.upstreams.Serving("s")), 2) // the store answers
		m.store.unreachable.Store(true)
		time.Sleep(3 * time.Second)
		m.UpstreamDiscovered(fresh)
		time.Sleep(100 * time.Millisecond)
		_, known := m.upstreams.Get("u9")
		assert.Assert(t, known)
		_, known = m.upstreams.Get("u1")
		assert.Assert(t, !known)
		m.store.unreachable.Store(false)
		w.change(func() { w.revision = 11 })
		time.Sleep(6 * time.Second)
		_, known = m.upstreams.Get("u9")
		assert.Assert(t, !known)
	})
}

// Guards against the readers of all cells reading the store.
func TestOneInstanceReadsForAllCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCells(t, w, 2, "a", "b", "c", "d", "e", "f")
		defer c.close()
		time.Sleep(5 * time.Second)
		before := c["c"].store.entryReads.Load() + c["e"].store.entryReads.Load()
		w.change(func() {
			w.entries["u1"] = entryOf("u1", true, 2)
			w.revision = 11
		})
		time.Sleep(1500 * time.Millisecond)
		for id, m := range c {
			row, _ := m.upstreams.Get("u1")
			assert.Equal(t, row.Report.Health, upstream.HealthLeaving, id)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, c["c"].store.entryReads.Load()+c["e"].store.entryReads.Load(), before)
		c["a"].unresponsive.Store(true)
		c["a"].store.hangs.Store(true)
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 12
		})
		time.Sleep(3 * time.Second)
		for _, id := range []model.InstanceID{"b", "c", "d", "e", "f"} {
			assert.Equal(t, c[id].rulesTable.Current().Revision, uint64(2), id)
		}
	})
}

// Guards against new work for an upstream that removes its entry soon after an
// outage of the store.
func TestEntryRemovedAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCell(t, w, "a", "b")
			defer c.close()
			time.Sleep(5 * time.Second)
			for _, m := range c {
				m.store.unreachable.Store(true)
			}
			time.Sleep(4 * time.Second)
			w.change(func() {
				if renewed {
					w.entries["u1"] = entryOf("u1", false, 2)
				}
				w.revision = 11
			})
			for _, m := range c {
				m.store.unreachable.Store(false)
			}
			time.Sleep(1200 * time.Millisecond)
			w.change(func() {
				delete(w.entries, "u1")
				w.revision = 12
			})
			time.Sleep(1700 * time.Millisecond)
			for id, m := range c {
				_, known := m.upstreams.Get("u1")
				assert.Assert(t, !known, id)
			}
		})
	}
}

// Guards against one call to the store for each of many changes in a row, and
// against rules that come into force late because calls are saved.
func TestFrequentRuleChangesTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a")
		defer c.close()
		time.Sleep(5 * time.Second)
		const each, storm = 20 * time.Millisecond, 4 * time.Second
		calls, entries := c["a"].store.calls.Load(), c["a"].store.entryReads.Load()
		revision := uint64(1)
		for began := time.Now(); time.Since(began) < storm; {
			revision++
			w.change(func() {
				w.revision++
				w.rules = &model.RoutingRules{Revision: revision}
			})
			time.Sleep(each)
			age := time.Duration(revision-c["a"].rulesTable.Current().Revision) * each
			assert.Assert(t, age <= 500*time.Millisecond, "rules in force are %v old", age)
		}
		entries = c["a"].store.entryReads.Load() - entries
		rules := c["a"].store.calls.Load() - calls - entries
		assert.Assert(t, rules <= int32(storm/(250*time.Millisecond)), "%d calls for rules", rules)
	})
}

// Guards against an instance that replaces its reader and then reads all changes that
// it received from the reader before: with large rules the read never finishes.
func TestInstanceThatReplacesItsReaderReadsTheRulesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b")
		defer c.close()
		time.Sleep(5 * time.Second)
		for _, m := range c {
			m.store.changeTransferTime.Store(int64(300 * time.Millisecond))
		}
		change := func() {
			w.change(func() {
				w.revision++
				w.rules = &model.RoutingRules{Revision: w.rules.Revision + 1}
			})
		}
		for range 12 {
			change()
			time.Sleep(500 * time.Millisecond)
		}
		c["a"].unresponsive.Store(true)
		change()
		time.Sleep(3 * time.Second) // the time allowed for rules to come into force
		assert.Equal(t, c["b"].rulesTable.Current().Revision, w.rules.Revision)
	})
}

// Guards against an instance that repeats a failed read of the rules from the same
// revision: each repeat has more changes to transfer than the one before.
func TestRulesAreReadAfterManyChangesWhileTheStoreWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["a"].store.changeTransferTime.Store(int64(300 * time.Millisecond))
		c["a"].store.unreachable.Store(true)
		for range 12 {
			time.Sleep(300 * time.Millisecond)
			w.change(func() {
				w.revision++
				w.rules = &model.RoutingRules{Revision: w.rules.Revision + 1}
			})
		}
		c["a"].store.unreachable.Store(false)
		time.Sleep(3 * time.Second) // the time allowed for rules to come into force
		assert.Equal(t, c["a"].rulesTable.Current().Revision, w.rules.Revision)
	})
}

// Guards against an instance that replaces its reader and then reads all renewals of
// entries since its own last read: on a slow link the read never finishes.
func TestInstanceThatReplacesItsReaderReadsTheEntriesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCell(t, w, "a", "b")
		defer c.close()
		time.Sleep(5 * time.Second)
		c["b"].store.changeTransferTime.Store(int64(50 * time.Millisecond))
		for sequence := range uint64(40) {
			w.change(func() {
				w.revision++
				w.entries["u1"] = entryOf("u1", false, sequence+2)
			})
			time.Sleep(100 * time.Millisecond)
		}
		c["a"].unresponsive.Store(true)
		w.change(func() {
			w.revision++
			w.entries["u2"] = entryOf("u2", true, 2)
		})
		time.Sleep(2 * time.Second) // LeaveTimeout
		row, _ := c["b"].upstreams.Get("u2")
		assert.Equal(t, row.Report.Health, upstream.HealthLeaving)
	})
}

// Guards against a connection that falls silent under the reader's call for the rules,
// while its other calls are answered: no member looks for another reader then.
func TestRulesAreInTimeAfterASilentConnection(t *testing.T) {
	inEachPhase(t, 200*time.Millisecond, 2, []model.InstanceID{"a", "b"}, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
		c["a"].store.silentRules.Store(true)
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 11
		})
		time.Sleep(2 * time.Second) // the time allowed for rules to come into force
		assert.Equal(t, c["b"].rulesTable.Current().Revision, uint64(2), "phase %d", phase)
	})
}

// Guards against members that keep to a reader whose entries are fresh but which
// cannot read the rules.
func TestReaderThatCannotReadTheRulesIsReplaced(t *testing.T) {
	inEachPhase(t, 100*time.Millisecond, 2, []model.InstanceID{"a", "b", "c", "d"}, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
		c["a"].store.rulesHang.Store(true) // the reader of the first cell; c is that of the second
		w.change(func() {
			w.rules = &model.RoutingRules{Revision: 2}
			w.revision = 11
		})
		time.Sleep(3 * time.Second) // the time allowed for rules to come into force in large fleets
		for _, id := range []model.InstanceID{"b", "c", "d"} {
			assert.Equal(t, c[id].rulesTable.Current().Revision, uint64(2), "%s, phase %d", id, phase)
		}
	})
}

// Guards against a pause after a failed read of the store while another member could be
// polled: together with a reader that does not answer, a leaving upstream would get work
// for too long.
func TestInstanceWithoutReaderAndStorePollsAnotherMemberAtOnce(t *testing.T) {
	inEachPhase(t, 100*time.Millisecond, 4, []model.InstanceID{"a", "b", "c", "d"}, func(t *testing.T, w *storeContent, c fakePeers, phase int) {
		c["a"].unresponsive.Store(true)
		c["d"].store.hangs.Store(true)
		w.change(func() {
			w.entries["u1"] = entryOf("u1", true, 2)
			w.revision = 11
		})
		time.Sleep(2 * time.Second) // LeaveTimeout
		row, _ := c["d"].upstreams.Get("u1")
		assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "phase %d", phase)
	})
}

// Guards against an upstream that gets requests while it drains, because its entry had another
// incarnation for a moment: one that another writer wrote, or that of a start while the time of
// day was ahead.
func TestEntryOfALowerIncarnationCounts(t *testing.T) {
	for name, between := range map[string]Entry{
		"another writer": {Upstream: model.Upstream{ID: "u1", Address: "elsewhere", Serves: "other"}, Incarnation: 9, Sequence: 1},
		"clock ahead":    {Upstream: model.Upstream{ID: "u1", Address: "u1", Serves: "s"}, Incarnation: 9, Sequence: 1},
		"leaves":         {Upstream: model.Upstream{ID: "u1", Address: "u1", Serves: "s"}, Incarnation: 9, Sequence: 1, Leaving: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCell(t, w, "a", "b")
			defer c.close()
			write := func(e Entry) {
				w.change(func() {
					w.revision++
					w.entries["u1"] = e
				})
				time.Sleep(defaultLeaveTimeout)
				synctest.Wait()
			}
			own := entryOf("u1", false, 4)
			own.Incarnation = 5
			for _, e := range []Entry{own, between, own} {
				write(e)
			}
			for id, m := range c {
				row, _ := m.upstreams.Get("u1")
				assert.Equal(t, row.Report.Health, upstream.HealthUp, "%s: %s", name, id)
			}
			own.Leaving, own.Sequence = true, 5
			write(own)
			for id, m := range c {
				row, _ := m.upstreams.Get("u1")
				assert.Equal(t, row.Report.Health, upstream.HealthLeaving, "%s: %s", name, id)
			}
		})
	}
}
