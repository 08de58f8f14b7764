package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against room that counts lost upstreams, or not the work and the demand of other
// instances and cells.
func TestRoomCountsWhatIsKnown(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.m.opts.Demand = demand.NewTable()
		now := time.Now()
		room := b.m.Room("desk")
		assert.Assert(t, room.Known)
		assert.Equal(t, room.Slots, 48.0) // six upstreams with eight slots
		assert.Equal(t, b.m.Room("engine").MemoryTokens, 6*capacity.MemoryFillLimit*55000)

		b.m.opts.Commitments.Add("desk-a0", commitment.Work{Requests: 3})
		b.m.opts.Commitments.SetRemote("other", map[model.UpstreamID]commitment.Work{"desk-a0": {Requests: 2}}, now)
		assert.Equal(t, b.m.Room("desk").Slots, 43.0)
		b.upstreams.RecordFailure("desk-b0", now, now.Add(failedAvoidTime))
		assert.Equal(t, b.m.Room("desk").Slots, 35.0)

		services := map[string]demand.Demand{"desk": {InFlight: 5, Waiting: 6}}
		b.m.opts.Demand.SetCell("z/0", demand.Summary{Domain: "z", Cells: 1, Services: services}, now)
		b.m.opts.Demand.SetWaiting("desk", 2, 1)
		room = b.m.Room("desk")
		assert.Equal(t, room.Slots, 30.0)
		assert.Equal(t, room.Share, 0.25)
		b.advance(demand.TTL + time.Second)
		assert.Equal(t, b.m.Room("desk").Share, 1.0)
	})
}
