package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// start is the time at which the tests begin.
var start = time.UnixMilli(1_700_000_000_000)

// table returns a table with one upstream, u.
func table() *Table {
	t := NewTable()
	t.Configure([]model.Upstream{{ID: "u"}})
	return t
}

func row(t assert.TestingT, table *Table) Row {
	r, ok := table.Get("u")
	assert.Assert(t, ok)
	return r
}

// Guards against a load estimate that misses this instance's own requests in
// flight: a report covers only requests sent before its load was measured,
// however late and in whatever order reports arrive and whoever passes them on.
// The oracle keeps all sends and all reports.
func TestSentCountsWorkNewerThanTheReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := table()
		var sends []time.Time
		var reports []Report // not every report is applied, and some are applied twice
		newest := Report{Sequence: 0}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"send", "take", "apply"}).Draw(t, "step") {
			case "send":
				upstreams.Acquire("u", now)
				sends = append(sends, now)
			case "take":
				// The watchers' probes overlap, so a report with a higher sequence
				// number can hold an older load.
				lag := time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag")) * time.Millisecond
				n := len(reports) + 1
				reports = append(reports, Report{
					Upstream: "u", Incarnation: 1, Sequence: uint64(n), Health: HealthUp, Running: n, At: now.Add(-lag),
				})
			case "apply":
				if len(reports) == 0 {
					continue
				}
				r := rapid.SampledFrom(reports).Draw(t, "report")
				upstreams.Apply(r)
				if r.Sequence > newest.Sequence {
					previous := newest
					newest = r
					if previous.At.After(r.At) {
						newest.Running, newest.At = previous.Running, previous.At
					}
				}
			}
			sentAfterReport := 0
			for _, at := range sends {
				if at.After(newest.At) {
					sentAfterReport++
				}
			}
			got := row(t, upstreams)
			assert.Equal(t, got.Sent, sentAfterReport)
			assert.Equal(t, got.Report.Sequence, newest.Sequence)
			assert.Equal(t, got.Report.Running, newest.Running)
			assert.Assert(t, got.Report.At.Equal(newest.At))
			assert.Equal(t, got.InFlight, len(sends))
		}
	})
}

// Guards against a load that is never replaced because the watcher that measured
// it had a clock that was ahead.
func TestLoadFromAFastClockIsReplaced(t *testing.T) {
	upstreams := table()
	upstreams.Apply(Report{Upstream: "u", Sequence: 1, Running: 1, At: start.Add(time.Hour)})
	upstreams.Apply(Report{Upstream: "u", Sequence: 2, Running: 2, At: start})
	assert.Equal(t, row(t, upstreams).Report.Running, 2)
}

// Guards against requests to an earlier incarnation that still count as sent,
// and against a restart that hides requests sent to the new incarnation.
func TestSentAfterARestart(t *testing.T) {
	upstreams := table()
	upstreams.Apply(Report{Upstream: "u", Incarnation: 1, Sequence: 9, Running: 5, At: start})
	upstreams.Acquire("u", start.Add(time.Second))
	upstreams.Acquire("u", start.Add(3*time.Second))
	upstreams.Apply(Report{Upstream: "u", Incarnation: 2, Sequence: 1, At: start.Add(2 * time.Second)})
	assert.Equal(t, row(t, upstreams).Sent, 1)
	upstreams.Apply(Report{Upstream: "u", Incarnation: 1, Sequence: 10, Running: 5, At: start.Add(4 * time.Second)})
	assert.Equal(t, row(t, upstreams).Report.Incarnation, uint64(2))
	assert.Equal(t, row(t, upstreams).Sent, 1)
}

// Guards against send times that pile up without bound while no report arrives.
func TestSendsAreBounded(t *testing.T) {
	upstreams := table()
	for i := range 4 * maxSendTimes {
		upstreams.Acquire("u", start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, row(t, upstreams).Sent, maxSendTimes)
	assert.Equal(t, row(t, upstreams).InFlight, 4*maxSendTimes)
	upstreams.Apply(Report{Upstream: "u", Sequence: 1, At: start.Add((4*maxSendTimes - 3) * time.Second)})
	assert.Equal(t, row(t, upstreams).Sent, 2)
	upstreams.Configure(nil)
	assert.Equal(t, row(t, upstreams).Sent, 2, "an upstream with work in flight stays")
}
