package outcome

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func assertNear(t *testing.T, got, want Tally) {
	t.Helper()
	assert.Assert(t, math.Abs(got.Requests-want.Requests) < 1e-9 && math.Abs(got.Bad-want.Bad) < 1e-9, "%+v is not %+v", got, want)
}

// Guards against outcomes that never lose weight, or lose all of it at once.
func TestOutcomesLoseWeight(t *testing.T) {
	table := NewTable()
	table.Record("u", true, start)
	assertNear(t, table.Record("u", false, start), Tally{2, 1})
	assertNear(t, table.Totals(start.Add(HalfLife))["u"], Tally{1, 0.5})
	assertNear(t, table.Record("u", false, start.Add(HalfLife)), Tally{2, 0.5})
}

// Guards against reports of other instances that add up instead of replacing each
// other, and against tallies that stay after a report without them.
func TestRemoteOutcomesAreReplaced(t *testing.T) {
	table := NewTable()
	table.Record("u", false, start)
	table.SetRemote("a", map[model.UpstreamID]Tally{"u": {4, 2}}, start)
	table.SetRemote("a", map[model.UpstreamID]Tally{"u": {4, 3}}, start)
	table.SetRemote("b", map[model.UpstreamID]Tally{"u": {1, 0}}, start)
	assertNear(t, table.Totals(start)["u"], Tally{6, 3})
	table.SetRemote("a", nil, start)
	assertNear(t, table.Totals(start)["u"], Tally{2, 0})
}

// Guards against one failure at one instance that outweighs the good outcomes of
// the others because they do not report them, and against reports that grow with
// the deployment.
func TestReportIsBounded(t *testing.T) {
	table := NewTable()
	table.Record("good", false, start)
	assert.Equal(t, len(table.LocalReport(start)), 0)
	table.SetRemote("a", map[model.UpstreamID]Tally{"good": {1, 1}}, start)
	assertNear(t, table.LocalReport(start)["good"], Tally{1, 0})
	for i := range 3 * MaxReported {
		table.Record(model.UpstreamID(fmt.Sprint("u", i)), true, start)
	}
	table.Record("worst", true, start)
	table.Record("worst", true, start)
	reported := table.LocalReport(start)
	assert.Equal(t, len(reported), MaxReported)
	assertNear(t, reported["worst"], Tally{2, 2})
}

// Guards against a table that grows with each upstream that was ever used.
func TestForgottenOutcomesAreDropped(t *testing.T) {
	table := NewTable()
	for i := range 100 {
		table.Record(model.UpstreamID(fmt.Sprint("u", i)), true, start)
	}
	table.SetRemote("gone", map[model.UpstreamID]Tally{"u": {1, 1}}, start)
	table.Record("new", false, start.Add(10*HalfLife))
	assert.Equal(t, len(table.local), 1)
	assert.Equal(t, len(table.remote), 0)
}
