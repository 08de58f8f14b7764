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
	assert.Assert(t, math.Abs(got.Ended-want.Ended) < 1e-9 && math.Abs(got.Bad-want.Bad) < 1e-9, "%+v is not %+v", got, want)
}

// Guards against outcomes that never lose weight, or lose all of it at once.
func TestOutcomesLoseWeight(t *testing.T) {
	table := NewTable()
	table.Note("u", true, start)
	assertNear(t, table.Note("u", false, start), Tally{2, 1})
	assertNear(t, table.Totals(start.Add(HalfLife))["u"], Tally{1, 0.5})
	assertNear(t, table.Note("u", false, start.Add(HalfLife)), Tally{2, 0.5})
}

// Guards against reports of other instances that add up instead of replacing each
// other, and against tallies that stay after a report without them.
func TestRemoteOutcomesAreReplaced(t *testing.T) {
	table := NewTable()
	table.Note("u", false, start)
	table.Tell("a", map[model.UpstreamID]Tally{"u": {4, 2}}, start)
	table.Tell("a", map[model.UpstreamID]Tally{"u": {4, 3}}, start)
	table.Tell("b", map[model.UpstreamID]Tally{"u": {1, 0}}, start)
	assertNear(t, table.Totals(start)["u"], Tally{6, 3})
	table.Tell("a", nil, start)
	assertNear(t, table.Totals(start)["u"], Tally{2, 0})
}

// Guards against one failure at one instance that outweighs the good outcomes of
// the others because they do not report them, and against reports that grow with
// the deployment.
func TestReportIsBounded(t *testing.T) {
	table := NewTable()
	table.Note("good", false, start)
	assert.Equal(t, len(table.Telling(start)), 0)
	table.Tell("a", map[model.UpstreamID]Tally{"good": {1, 1}}, start)
	assertNear(t, table.Telling(start)["good"], Tally{1, 0})
	for i := range 3 * MaxTold {
		table.Note(model.UpstreamID(fmt.Sprint("u", i)), true, start)
	}
	table.Note("worst", true, start)
	table.Note("worst", true, start)
	reported := table.Telling(start)
	assert.Equal(t, len(reported), MaxTold)
	assertNear(t, reported["worst"], Tally{2, 2})
}

// Guards against a table that grows with each upstream that was ever used.
func TestForgottenOutcomesAreDropped(t *testing.T) {
	table := NewTable()
	for i := range 100 {
		table.Note(model.UpstreamID(fmt.Sprint("u", i)), true, start)
	}
	table.Tell("gone", map[model.UpstreamID]Tally{"u": {1, 1}}, start)
	table.Note("new", false, start.Add(10*HalfLife))
	assert.Equal(t, len(table.local), 1)
	assert.Equal(t, len(table.remote), 0)
}
