package move

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

func moveOf(era model.Era, revision uint64, target string, step uint64) model.VersionMove {
	order := model.VersionOrder{Service: "s", Target: target, Era: era, Revision: revision}
	return model.VersionMove{VersionOrder: order, State: model.MoveOpen, Step: step}
}

// Guards against an order from before a restore, sent by an earlier build without an era, that
// replaces a newer order because its revision is higher.
func TestMoveWithoutAnEraReplacesNoneOfAKnownEraAfterARestore(t *testing.T) {
	table := NewTable()
	now := time.Now()
	assert.Assert(t, table.Apply(moveOf(1, 90, "v1", 1), now))
	assert.Assert(t, table.Apply(moveOf(0, 100, "v2", 1), now), "no restore is known")
	table.StoreRestored()
	assert.Assert(t, table.Apply(moveOf(2, 50, "v3", 1), now), "the old move has no era")
	assert.Assert(t, !table.Apply(moveOf(0, 100, "v2", 2), now), "of an older order")
	assert.Assert(t, !table.Apply(moveOf(0, 50, "v2", 2), now), "of an older order whose revision was given out again")
	assert.Assert(t, table.Apply(moveOf(0, 50, "v3", 2), now), "of the same order")
	assert.Assert(t, !table.Apply(moveOf(1, 120, "v1", 9), now), "the era of the order was lost")
}

// Guards against instances that end up with different moves because they learn of them in
// different orders.
func TestOrdersHaveOneSequenceAfterARestore(t *testing.T) {
	moves := []model.VersionMove{moveOf(0, 100, "v1", 1), moveOf(1, 120, "v2", 1), moveOf(2, 50, "v3", 1)}
	for _, sequence := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		table := NewTable()
		table.StoreRestored()
		for _, i := range sequence {
			table.Apply(moves[i], time.Now())
		}
		got, _, _ := table.Get("s")
		assert.Equal(t, got.Target, "v3", "%v", sequence)
	}
}
