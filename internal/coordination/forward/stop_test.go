package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a planned stop that closes the connections of requests that could
// still get a final answer, and against an answer that says of a request that an
// upstream has got that it has not run.
func TestStopAnswersTheRequestsThatAreLeft(t *testing.T) {
	withHarness(t, func(b *harness) {
		sent, _ := b.submit("/book/1")
		unbegun, _ := b.submit("/log/1")
		begun, _ := b.submit("/log/2")
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		for _, up := range b.upstreams.Serving("desk") {
			b.upstreams.Pause(up.Upstream.ID, time.Now(), time.Now().Add(400*time.Millisecond))
		}
		waiting, _ := b.submit("/read/1")
		sends := len(b.sent())
		b.m.EndAll()
		late, _ := b.submit("/read/2")
		b.advance(time.Second)
		assert.Equal(t, sent.refused.Outcome, model.OutcomeUnknown)
		assert.Equal(t, unbegun.refused.Outcome, model.OutcomeUnknown)
		assert.Assert(t, begun.broken && begun.refused == nil)
		for _, notRun := range []*fakeReply{waiting, late} {
			assert.Equal(t, notRun.refused.Code, codeLeaving)
			assert.Equal(t, notRun.refused.Outcome, model.OutcomeNotRun)
		}
		assert.Equal(t, len(b.sent()), sends)
		assert.Equal(t, b.m.Running(), 0)
		for _, s := range b.sent() {
			assert.Assert(t, s.cancelled)
		}
	})
}

// Guards against an engine's error answer that a failure of this instance replaces at a
// stop, while the request waits for another engine.
func TestStopDeliversTheErrorOfAnEngine(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		for _, up := range engines(b) {
			b.upstreams.Leave(up.ID)
		}
		b.lastSend().Answered(Answer{Status: 500})
		b.advance(time.Second)
		b.m.EndAll()
		b.advance(0)
		assert.Assert(t, reply.answer != nil && reply.refused == nil)
		assert.Equal(t, reply.answer.Status, 500)
		assert.Equal(t, b.m.Running(), 0)
	})
}
