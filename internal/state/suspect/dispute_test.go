package suspect

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// dispute returns the row of a death of the upstream beside which the others failed.
func dispute(upstream model.UpstreamID, at time.Time, shared bool, beside ...model.UpstreamID) Rows {
	return Rows{Disputes: []Dispute{{
		Death: Death{ID: DeathID{Upstream: upstream}, Fingerprint: "f", At: at}, Beside: beside, Shared: shared,
	}}}
}

// Guards against copies of a request that crash several upstreams at one moment and are
// taken for an outage by each instance, and against an outage that counts against the
// requests that it hit.
func TestDisputesCountOnceTheFingerprintExplainsTheFailures(t *testing.T) {
	table := NewTable("a")
	count := func() int {
		n, _ := table.CountDeaths("f", start)
		return n
	}
	table.Merge(dispute("a", start, false, "b", "c"), start)
	assert.Equal(t, count(), 0, "b and c may have failed for another reason")
	table.Merge(dispute("b", start, false, "a", "c"), start)
	assert.Equal(t, count(), 0)
	table.Merge(dispute("c", start, false, "a", "b"), start)
	assert.Equal(t, count(), 3)
	deaths, disputed := table.Deaths("f", start)
	assert.Equal(t, len(deaths), 3)
	assert.Equal(t, disputed, 3)
	table.Merge(dispute("d", start, false, "x"), start)
	assert.Equal(t, count(), 3, "x failed, on which f did not run")
	table.Merge(Rows{Deaths: []Death{{ID: DeathID{Upstream: "d"}, Fingerprint: "f", At: start}}}, start)
	assert.Equal(t, count(), 4, "another instance saw d fail alone")
	table.RecordProgress("f", 0, true, start.Add(time.Second))
	assert.Equal(t, count(), 0, "cleared")
	assert.Equal(t, len(table.Evidence("f", start).Disputes), 0)
}

// Guards against a part that all prompts share and that an outage of all upstreams makes
// refused.
func TestDisputedDeathsOfOneMomentCountOnceForASharedFingerprint(t *testing.T) {
	table := NewTable("a")
	upstreams := []model.UpstreamID{"a", "b", "c", "d"}
	for moment := range 3 {
		at := start.Add(time.Duration(moment) * 10 * time.Second)
		for i, up := range upstreams {
			row := dispute(up, at.Add(time.Duration(i)*50*time.Millisecond), true, upstreams...)
			row.Disputes[0].ID.Incarnation = uint64(moment)
			table.Merge(row, at.Add(time.Second))
		}
		n, _ := table.CountDeaths("f", at.Add(time.Second))
		assert.Equal(t, n, moment+1)
	}
}

// Guards against trials of one fingerprint that run at the same time or follow each other
// although the first one did not clear it.
func TestTrialsFollowEachOtherAfterTheInterval(t *testing.T) {
	table := NewTable("a")
	begin := func(after time.Duration) bool { return table.BeginTrial("f", 30*time.Second, start.Add(after)) }
	assert.Assert(t, begin(0))
	assert.Assert(t, !begin(29*time.Second))
	assert.Assert(t, begin(30*time.Second))
	table.CancelTrial("f")
	assert.Assert(t, begin(31*time.Second), "no upstream ran the one before")
	table.Merge(Rows{Clears: []Clear{{Fingerprint: "f", At: start.Add(32 * time.Second)}}}, start.Add(32*time.Second))
	assert.Assert(t, begin(33*time.Second))
}
