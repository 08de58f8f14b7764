package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// start is the time at which the tests begin. Its value does not matter.
var start = time.UnixMilli(1_700_000_000_000)

// table returns a table of one upstream, u.
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

// Guards against an estimate that forgets own work in flight: a report counts
// only the work that was sent before the report was taken, however late it
// arrives, whoever passes it on and in whatever order. The oracle keeps all
// sends and all reports.
func TestSentCountsWorkNewerThanTheReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := table()
		var sends []time.Time
		var taken []Report // not all of them are applied, and some twice
		best := Report{Sequence: 0}
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
				n := len(taken) + 1
				taken = append(taken, Report{
					Upstream: "u", Incarnation: 1, Sequence: uint64(n), Health: HealthUp, Running: n, At: now.Add(-lag),
				})
			case "apply":
				if len(taken) == 0 {
					continue
				}
				r := rapid.SampledFrom(taken).Draw(t, "report")
				upstreams.Apply(r)
				if r.Sequence > best.Sequence {
					load := best
					best = r
					if load.At.After(r.At) {
						best.Running, best.At = load.Running, load.At
					}
				}
			}
			newer := 0
			for _, at := range sends {
				if at.After(best.At) {
					newer++
				}
			}
			got := row(t, upstreams)
			assert.Equal(t, got.Sent, newer)
			assert.Equal(t, got.Report.Sequence, best.Sequence)
			assert.Equal(t, got.Report.Running, best.Running)
			assert.Assert(t, got.Report.At.Equal(best.At))
			assert.Equal(t, got.InFlight, len(sends))
		}
	})
}

// Guards against a load that stays for ever because one watcher's clock was
// ahead when it took the load.
func TestLoadFromAFastClockIsReplaced(t *testing.T) {
	upstreams := table()
	upstreams.Apply(Report{Upstream: "u", Sequence: 1, Running: 1, At: start.Add(time.Hour)})
	upstreams.Apply(Report{Upstream: "u", Sequence: 2, Running: 2, At: start})
	assert.Equal(t, row(t, upstreams).Report.Running, 2)
}

// Guards against work for an earlier incarnation that still counts, and
// against a restart that hides work sent to the new one.
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

// Guards against memory that grows while no report comes.
func TestSendsAreBounded(t *testing.T) {
	upstreams := table()
	for i := range 4 * maxSends {
		upstreams.Acquire("u", start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, row(t, upstreams).Sent, maxSends)
	assert.Equal(t, row(t, upstreams).InFlight, 4*maxSends)
	upstreams.Apply(Report{Upstream: "u", Sequence: 1, At: start.Add((4*maxSends - 3) * time.Second)})
	assert.Equal(t, row(t, upstreams).Sent, 2)
	upstreams.Configure(nil)
	assert.Equal(t, row(t, upstreams).Sent, 2, "an upstream with work in flight stays")
}
