package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against constants with which rules or entries come into force later than their
// bounds after an outage, or behind a connection that has fallen silent. The table in
// docs/platform.md has the same times.
func TestWorstTimesKeepTheirBounds(t *testing.T) {
	const (
		returnTarget = time.Second     // from the return of a store that nobody could read
		rulesBound   = 2 * time.Second // from the confirmation of a change
	)
	assert.Assert(t, SilenceLimit < retryInterval, "a silent read ends before it is repeated")
	// A read that began just before the return fails, and the next one begins after it.
	assert.Assert(t, retryInterval < returnTarget)
	// The connection falls silent as a long poll begins; the read after it is not delayed.
	assert.Assert(t, rulesPollTime+SilenceLimit < rulesBound)
	for leaveTimeout := 2 * time.Second; leaveTimeout <= 10*time.Second; leaveTimeout += 500 * time.Millisecond {
		l := limits{leaveTimeout: leaveTimeout}
		// A change follows a read at once, and the next read finds the connection silent.
		assert.Assert(t, l.entryReadInterval()+retryInterval < leaveTimeout, "bound of %s", leaveTimeout)
		// A reader does not count as lost between two of its reads.
		assert.Assert(t, l.maxEntriesAge(0) > l.entryReadInterval(), "bound of %s", leaveTimeout)
	}
}

// Guards against reads of an outage that begin together, and against more of them than one
// in each retryInterval.
func TestRepeatedReadsShareOnePace(t *testing.T) {
	var p readPace
	start := time.Unix(1000, 0)
	p.begin(start)
	first, second := p.reserve(start.Add(SilenceLimit)), p.reserve(start.Add(SilenceLimit))
	assert.Equal(t, SilenceLimit+first, retryInterval)
	assert.Equal(t, SilenceLimit+second, 2*retryInterval)
	assert.Equal(t, p.reserve(start.Add(time.Hour)), time.Duration(0))
}

// Guards against reads without a pause of a store that answers again and again that its
// history is gone, to reads of changes or to all.
func TestReadsPauseWhileHistoryIsGone(t *testing.T) {
	const period = 20 * time.Second
	for _, tables := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCell(t, w, "a")
			defer c.close()
			m := c["a"]
			time.Sleep(5 * time.Second)
			m.store.changesGone.Store(true)
			m.store.tablesGone.Store(tables)
			before, entriesBefore, listBefore := m.store.calls.Load(), m.store.entryReads.Load(), m.store.listReads.Load()
			time.Sleep(period)
			entries, list := m.store.entryReads.Load()-entriesBefore, m.store.listReads.Load()-listBefore
			rules := m.store.calls.Load() - before - entries
			t.Logf("tables: %v; %d reads of rules, %d of entries, %d of instances in %s", tables, rules, entries, list, period)
			// For each pause one round of reads and one that is begun at once. A round has a
			// read of the table and, if that succeeds, one of its changes.
			round := int32(2)
			if tables {
				round = 1
			}
			limit := func(pause time.Duration) int32 { return 2 * round * int32(period/pause+1) }
			assert.Assert(t, rules <= limit(retryInterval), "rules")
			assert.Assert(t, entries <= limit(min(retryInterval, m.limits.entryReadInterval())), "entries")
			assert.Assert(t, list <= limit(retryInterval), "instances")
			m.store.changesGone.Store(false)
			m.store.tablesGone.Store(false)
			w.change(func() {
				w.revision++
				w.rules = &model.RoutingRules{Revision: 2}
			})
			time.Sleep(time.Second)
			assert.Equal(t, m.rulesTable.Current().Revision, uint64(2))
		})
	}
}
