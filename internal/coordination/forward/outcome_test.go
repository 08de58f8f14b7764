package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// serveCalls submits n calls one after the other. Sends to the faulty upstream are
// passed to fail, and the other upstreams answer well. It returns the number of sends
// to the faulty upstream.
func (b *harness) serveCalls(n int, path string, faulty model.UpstreamID, fail func(*fakeSend)) (got int) {
	for range n {
		before := len(b.sent())
		b.submit(path)
		for _, s := range b.sent()[before:] {
			if s.Upstream.ID == faulty {
				got++
				fail(s)
			} else {
				s.Answered(Answer{Status: 200})
			}
		}
		b.advance(200 * time.Millisecond)
		for _, s := range b.sent()[before:] { // sends that were added meanwhile, to a second upstream
			s.Answered(Answer{Status: 200})
		}
		b.advance(0)
	}
	return got
}

// Guards against calls that continue to go to an upstream which fails requests
// although its connections work.
func TestPartiallyFailingUpstreamGetsFewCalls(t *testing.T) {
	withHarness(t, func(b *harness) {
		got := b.serveCalls(60, "/book/1", "desk-a0", func(s *fakeSend) { s.Answered(Answer{Status: 500}) })
		assert.Assert(t, got >= 1 && got <= 4, "%d", got)
	})
}

// Guards against an upstream that never answers and is detected only when its
// callers' deadlines expire.
func TestUnresponsiveUpstreamGetsFewCalls(t *testing.T) {
	withHarness(t, func(b *harness) {
		got := b.serveCalls(60, "/book/1", "desk-a0", func(*fakeSend) {})
		assert.Assert(t, got >= 1 && got <= 5, "%d", got)
	})
}

// Guards against an upstream that is avoided for ever although it has recovered.
func TestRecoveredUpstreamGetsCallsAgain(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.serveCalls(20, "/read/1", "desk-a0", func(s *fakeSend) { s.Answered(Answer{Status: 500}) })
		b.advance(20 * time.Second)
		b.submit("/read/1")
		first := b.lastSend().Upstream.ID
		b.submit("/read/1") // while the first one is in flight
		second := b.lastSend().Upstream.ID
		assert.Assert(t, first == "desk-a0" || second == "desk-a0", "%s, %s", first, second)
	})
}

// Guards against calls that find no upstream because all upstreams have failed requests.
func TestCallsAreServedWhereAllFail(t *testing.T) {
	withHarness(t, func(b *harness) {
		for range 30 {
			b.submit("/read/1")
			b.lastSend().Answered(Answer{Status: 500})
			b.advance(0)
		}
		reply, _ := b.submit("/read/1")
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, reply.answer.Status, 200)
	})
}

// Guards against streams that continue to go to an engine which is slow to the first
// event although it has no other work.
func TestSlowEngineGetsFewStreams(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.engineState = EngineState{} // the engines do not report their requests
		got := map[model.UpstreamID]int{}
		const slow = "engine-a0"
		for range 60 {
			b.submit("/log/1")
			s := b.lastSend()
			got[s.Upstream.ID]++
			wait := time.Second
			if s.Upstream.ID == slow {
				wait = 4 * time.Second
			}
			b.advance(wait)
			s.StreamBegan(200, nil)
			s.event(1)
			s.StreamEnded()
			b.advance(0)
		}
		assert.Assert(t, got[slow] >= 1 && got[slow] <= 6, "%v", got)
	})
}
