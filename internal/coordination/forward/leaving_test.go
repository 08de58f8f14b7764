package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// Guards against requests to an upstream that said in an answer that it leaves, also
// before or without the store's word, and against the loss of the stream that runs there.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, path := range map[string]string{"calls": "/book/1", "streams": "/log/1"} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(b *harness) {
				reply, _ := b.submit(path)
				first := b.lastSend()
				leaving := first.Upstream.ID
				first.UpstreamLeaving()
				if path == "/log/1" {
					first.StreamBegan(200, nil)
					first.event(1)
				}
				b.advance(0)
				assert.Assert(t, !first.cancelled)
				assert.DeepEqual(t, b.leftUpstreams, []model.UpstreamID{leaving})
				b.upstreams.Apply(upstream.Report{Upstream: leaving, Sequence: 9, Health: upstream.HealthUp, At: time.Now()})
				for range 20 {
					b.submit(path)
					assert.Assert(t, b.lastSend().Upstream.ID != leaving)
					b.lastSend().UpstreamLeaving()
					b.lastSend().Answered(Answer{Status: 200})
					b.advance(10 * time.Millisecond)
					if len(b.leftUpstreams) == 5 {
						break // the last one must serve
					}
				}
				if path == "/log/1" {
					first.StreamEnded()
				} else {
					first.Answered(Answer{Status: 200})
				}
				b.advance(0)
				assert.Assert(t, reply.ended || reply.answer != nil)
			})
		})
	}
}

// Guards against a mark that outlives the upstream: its next start takes requests.
func TestNextStartOfALeavingUpstreamTakesRequests(t *testing.T) {
	withHarness(t, func(b *harness) {
		for _, row := range b.upstreams.Serving("desk") {
			b.upstreams.Apply(upstream.Report{Upstream: row.Upstream.ID, Incarnation: 1, Health: upstream.HealthLeaving, At: time.Now()})
		}
		b.upstreams.Apply(upstream.Report{Upstream: "desk-a0", Incarnation: 2, Health: upstream.HealthUp, At: time.Now()})
		b.submit("/book/1")
		assert.Equal(t, b.lastSend().Upstream.ID, model.UpstreamID("desk-a0"))
	})
}
