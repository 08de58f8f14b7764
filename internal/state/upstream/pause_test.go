package upstream

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a pause that a shorter one ends, and against an upstream that gets all
// requests at once after its pause or stays limited for ever.
func TestPauseAndReturn(t *testing.T) {
	table := NewTable()
	table.Configure([]model.Upstream{{ID: "u", Serves: "s"}})
	now := time.Unix(1_000_000, 0)
	wants := func(at time.Time) bool {
		row, _ := table.Get("u")
		return row.WantsRequests(at)
	}
	assert.Assert(t, wants(now))
	assert.Assert(t, table.Pause("u", now, now.Add(4*time.Second)))
	assert.Assert(t, !table.Pause("u", now, now.Add(time.Second)), "a shorter pause")
	assert.Assert(t, !wants(now.Add(3*time.Second)))
	at := now.Add(4 * time.Second)
	for round, requests := 0, 1; requests < returnedSlots; round, requests = round+1, 2*requests {
		for n := range requests {
			assert.Assert(t, wants(at), "round %d, request %d", round, n)
			taken, first := table.TakeReturnSlot("u")
			assert.Assert(t, taken)
			assert.Equal(t, first, round == 0)
		}
		assert.Assert(t, !wants(at), "round %d", round)
		for range requests {
			table.EndReturnRequest("u", true)
		}
	}
	row, _ := table.Get("u")
	assert.Assert(t, !row.Returning && row.WantsRequests(at))
	taken, _ := table.TakeReturnSlot("u")
	assert.Assert(t, !taken)
	assert.Assert(t, !table.Pause("unknown", now, at))
}
