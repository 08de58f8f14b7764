package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// withoutRoutes puts rules in force that have neither routes nor services nor keys.
func (b *harness) withoutRoutes(revision uint64) {
	b.m.opts.Rules.Apply(&model.RoutingRules{Revision: revision})
}

// Guards against requests that end without an answer, or are answered otherwise, because
// their route, service and key are taken out of the rules while they run.
func TestRunningRequestsOutliveTheirRoute(t *testing.T) {
	withHarness(t, func(b *harness) {
		stream, _ := b.submit("/log/1")
		first := b.lastSend()
		first.StreamBegan(200, nil)
		first.event(1)
		call, _ := b.submit("/book/1")
		booking := b.lastSend()
		b.withoutRoutes(2)
		booking.Answered(Answer{Status: 200})
		first.event(2)
		first.Lost(continuation.LossReset, "reset", true)
		b.advance(time.Second)
		next := b.lastSend()
		assert.Assert(t, next != first && next.Upstream.Serves == "engine" && next.LastPosition == 2)
		next.StreamBegan(200, nil)
		next.event(3)
		next.StreamEnded()
		b.advance(0)
		assert.Assert(t, call.answer != nil && stream.ended && !stream.broken)
		assert.Equal(t, stream.events, "id: 1\n\nid: 2\n\nid: 3\n\n")
		late, _ := b.submit("/log/1")
		assert.Equal(t, late.refused.Code, codeNoRoute)
	})
}

// Guards against requests that are lost because their route is taken out of the rules
// while they wait for an upstream.
func TestWaitingRequestsOutliveTheirRoute(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.upstreams.Configure(nil)
		b.submit("/log/1")
		b.submit("/book/1")
		refused, _ := b.submit("/tell/1")
		b.withoutRoutes(2)
		b.advance(400 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 0)
		b.upstreams.Configure([]model.Upstream{fakeUpstream("desk", "a", 0)})
		b.advance(2 * holdCheckInterval)
		assert.Equal(t, len(b.sent()), 1)
		b.advance(maxHoldTime)
		assert.Equal(t, refused.refused.Outcome, model.OutcomeNotRun)
	})
}
