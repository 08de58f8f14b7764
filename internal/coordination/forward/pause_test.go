package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// pauseAnswer is the answer of an upstream that turns a request away and asks for a pause.
func pauseAnswer(pause time.Duration) Answer { return Answer{Status: 503, NotRun: true, Pause: pause} }

// pauseAll pauses all desks, the last one for lastPause.
func (b *harness) pauseAll(pause, lastPause time.Duration) {
	now := time.Now()
	rows := b.upstreams.Serving("desk")
	for i, row := range rows {
		until := now.Add(pause)
		if i == len(rows)-1 {
			until = now.Add(lastPause)
		}
		b.upstreams.Pause(row.Upstream.ID, now, until)
	}
}

// Guards against requests, also further sends and hedges, to an upstream that asked for a
// pause, and against a rush when the pause ends.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	withHarness(t, func(b *harness) {
		const pause = 2 * time.Second
		reply, _ := b.submit("/book/1")
		paused := b.lastSend().Upstream.ID
		b.lastSend().Answered(pauseAnswer(pause))
		b.advance(0)
		began := time.Now()
		assert.Assert(t, b.lastSend().Upstream.ID != paused)
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, reply.answer.Status, 200)
		for time.Since(began) < pause-100*time.Millisecond {
			before := len(b.sent())
			b.submit("/read/1")
			b.advance(200 * time.Millisecond) // hedged after 150 ms
			assert.Equal(t, len(b.sent())-before, 2)
			for _, s := range b.sent()[before:] {
				assert.Assert(t, s.Upstream.ID != paused)
				s.Answered(Answer{Status: 200})
			}
			b.advance(0)
		}
		b.advance(pause)
		count := func() (n int) {
			for range 60 {
				b.submit("/book/1")
				if b.lastSend().Upstream.ID == paused {
					n++
				}
			}
			return n
		}
		assert.Equal(t, count(), 1)
		for _, s := range b.sent() {
			if s.Upstream.ID == paused {
				s.Answered(Answer{Status: 200})
			}
		}
		b.advance(0)
		assert.Equal(t, count(), 2)
	})
}

// Guards against a request that waits for its deadline although no upstream takes it
// before, and against one that is refused although a pause ends in time.
func TestRequestWaitsForAPauseOrIsRefused(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.pauseAll(3*time.Second, 3*time.Second)
		reply, _ := b.submit("/book/1")
		assert.Equal(t, len(b.sent()), 0)
		assert.Equal(t, reply.refused.Code, CodePaused)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
		assert.Equal(t, reply.refused.RetryAfter, 3*time.Second)
	})
	withHarness(t, func(b *harness) {
		b.pauseAll(3*time.Second, 300*time.Millisecond)
		reply, _ := b.submit("/book/1")
		b.advance(250 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 0)
		b.advance(100 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 1)
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, reply.answer.Status, 200)
		assert.Equal(t, b.m.heldCount.Load(), int64(0))
	})
}

// Guards against a request that may have run, is refused because of a pause, and so
// promises that it has not run.
func TestRequestThatRanIsNotRefusedForAPause(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/read/1")
		b.pauseAll(3*time.Second, 3*time.Second)
		b.lastSend().Answered(Answer{Status: 500})
		b.advance(0)
		assert.Assert(t, reply.refused == nil)
		assert.Equal(t, reply.answer.Status, 500)
	})
}

// Guards against a stream that is cut, or that goes on from a copy at an engine which
// asked for a pause.
func TestStreamsOfAPausedEngineGoOn(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		first := b.lastSend()
		first.StreamBegan(200, nil)
		first.event(1)
		now := time.Now()
		b.upstreams.Pause(first.Upstream.ID, now, now.Add(time.Second))
		for p := Position(2); p < 20; p++ {
			first.event(p)
			b.advance(100 * time.Millisecond)
		}
		first.StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended)
		assert.Equal(t, len(b.sent()), 1)
	})
}
