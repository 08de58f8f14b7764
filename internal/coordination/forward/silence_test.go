package forward

import (
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// pausingEngines answers the sends of a harness. Each attempt goes on from its last
// position with an event every 30 ms, and is silent for pause after each burst events.
type pausingEngines struct {
	b      *harness
	events Position // of each stream
	burst  int
	pause  time.Duration
	dark   model.FailureDomain // engines there send nothing; empty means none
	runs   map[*fakeSend]*pausingRun
}

type pausingRun struct {
	sent  int
	due   time.Time // of the next event
	ended bool
}

const (
	pausingInterval  = 30 * time.Millisecond
	pausingFirstWait = 100 * time.Millisecond // until the first event of an attempt
)

func (e *pausingEngines) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); e.b.advance(10 * time.Millisecond) {
		for _, s := range e.b.sent() {
			e.step(s)
		}
	}
}

// adopt goes on with an attempt that has one event already.
func (e *pausingEngines) adopt(s *fakeSend) {
	e.begin(s)
	e.runs[s].sent = 1
}

func (e *pausingEngines) begin(s *fakeSend) {
	if e.runs == nil {
		e.runs = map[*fakeSend]*pausingRun{}
	}
	e.runs[s] = &pausingRun{due: time.Now().Add(pausingFirstWait)}
}

func (e *pausingEngines) step(s *fakeSend) {
	if e.runs[s] == nil {
		e.begin(s)
		s.StreamBegan(200, nil)
	}
	r := e.runs[s]
	if e.b.isCancelled(s) || s.Upstream.FailureDomain == e.dark || r.ended || time.Now().Before(r.due) {
		return
	}
	r.sent++
	position := s.LastPosition + Position(r.sent)
	s.event(position)
	r.due = r.due.Add(pausingInterval)
	if r.sent%e.burst == 0 {
		r.due = r.due.Add(e.pause)
	}
	if position == e.events {
		r.ended = true
		s.StreamEnded()
		e.b.advance(0)
	}
}

// Guards against streams that are aborted because their sound engines pause: each pause
// cost one of the route's sends, and the stream ended when they were used up.
func TestStreamsOfPausingEnginesComplete(t *testing.T) {
	for _, path := range []string{"/log/1", "/tell/1"} {
		for _, probesFail := range []bool{false, true} {
			withHarness(t, func(b *harness) {
				b.probesFail.Store(probesFail)
				reply, _ := b.submit(path)
				engines := &pausingEngines{b: b, events: 80, burst: 10, pause: time.Second}
				engines.run(20 * time.Second)
				assert.Check(t, reply.ended && !reply.broken, "%s, probes fail %v: after %d sends the caller has %d events", path, probesFail, len(b.sent()), strings.Count(reply.events, "id:"))
			})
		}
	}
}

// startStreams starts streams that have one event each.
func (b *harness) startStreams(n int) []*fakeReply {
	var replies []*fakeReply
	for range n {
		reply, _ := b.submit("/log/1")
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		replies = append(replies, reply)
	}
	return replies
}

// Guards against a stream that moved because of pauses and then has no send left for a
// connection that breaks.
func TestBrokenConnectionAfterPausesIsSurvived(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		engines := &pausingEngines{b: b, events: 80, burst: 10, pause: time.Second}
		engines.run(6 * time.Second)
		moved := len(b.sent())
		assert.Assert(t, moved > 1)
		b.lastSend().Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
		assert.Equal(t, len(b.sent()), moved+1)
		engines.run(20 * time.Second)
		assert.Assert(t, reply.ended && !reply.broken)
	})
}

// Guards against a stream that leaves its engine although the budget has no resend for
// it, and against one that stays there when the engine is dark and the budget has one.
func TestSilentStreamWaitsForTheBudgetAtItsEngine(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.probesFail.Store(true)
		b.budget.usedUp.Store(true)
		reply := b.startStreams(1)[0]
		b.advance(5 * time.Second)
		assert.Equal(t, len(b.sent()), 1)
		assert.Assert(t, !b.isCancelled(b.sent()[0]) && !reply.broken)
		b.budget.usedUp.Store(false)
		b.advance(time.Second)
		assert.Equal(t, len(b.sent()), 2)
	})
}

// Guards against a stream that keeps its last send although its engine is dark.
func TestLastSendIsUsedToLeaveADarkEngine(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.probesFail.Store(true)
		b.submit("/log/1")
		for n := range 4 {
			assert.Equal(t, len(b.sent()), n+1)
			b.lastSend().StreamBegan(200, nil)
			b.lastSend().event(Position(n + 1))
			if n < 3 {
				b.advance(400 * time.Millisecond)
			}
		}
		b.advance(continuation.MaxSoundPause)
		assert.Equal(t, len(b.sent()), 4, "left while a sound engine may be silent")
		b.advance(time.Second)
		assert.Equal(t, len(b.sent()), 5)
		b.advance(10 * time.Second)
		assert.Equal(t, len(b.sent()), 5)
		assert.Assert(t, !b.isCancelled(b.lastSend()))
	})
}

// Guards against an engine that all instances avoid because one of its streams paused,
// and against one that is not avoided when it is dark.
func TestSilenceCountsAsAFailureOnlyWithoutAnAnswer(t *testing.T) {
	for _, dark := range []bool{false, true} {
		withHarness(t, func(b *harness) {
			b.probesFail.Store(dark)
			b.probeTime = time.Millisecond
			b.startStreams(1)
			left := b.lastSend().Upstream.ID
			b.advance(300 * time.Millisecond)
			assert.Equal(t, len(b.sent()), 2)
			row, _ := b.upstreams.Get(left)
			assert.Equal(t, b.m.mayHaveFailed(row, time.Now()), dark)
			b.advance(probeTimeout)
			assert.Equal(t, len(b.connectionFailures()) > 0, dark)
		})
	}
}

// Guards against an engine that is avoided because one of its streams is silent, while
// its other streams get events.
func TestEngineWithOutputIsNotAvoided(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.probesFail.Store(true)
		b.startStreams(1)
		left := b.lastSend().Upstream.ID
		b.advance(200 * time.Millisecond)
		b.upstreams.RecordOutput(left, time.Now())
		b.advance(150 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
		row, _ := b.upstreams.Get(left)
		assert.Assert(t, !b.m.mayHaveFailed(row, time.Now()))
	})
}

// Guards against streams of a dark failure domain that move too late to go on within the
// longest allowed pause, 700 ms, or that move to another engine of the domain.
func TestStreamsOfADarkDomainMoveInTime(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.probesFail.Store(true)
		replies := b.startStreams(12)
		engines := &pausingEngines{b: b, events: 1 << 20, burst: 1 << 20}
		for _, s := range b.sent() {
			engines.adopt(s)
		}
		engines.run(300 * time.Millisecond)
		engines.dark = "a"
		inDomain := 0
		for _, s := range b.sent() {
			if s.Upstream.FailureDomain == "a" {
				inDomain++
			}
		}
		assert.Assert(t, inDomain >= 2, "%d", inDomain)
		engines.run(600 * time.Millisecond)
		assert.Equal(t, len(b.sent()), len(replies)+inDomain)
		for _, s := range b.sent()[len(replies):] {
			assert.Assert(t, s.Upstream.FailureDomain != model.FailureDomain("a"))
			assert.Assert(t, s.ResumeFrom != nil && engines.runs[s].sent > 0)
		}
		b.submit("/log/1")
		assert.Assert(t, b.lastSend().Upstream.FailureDomain != model.FailureDomain("a"))
	})
}

// Guards against a request that waits for the resend budget although its last send
// reached no upstream: where engines are lost in waves, refused connections used up the
// share of an instance, and its streams then waited until their deadline.
func TestSendsThatReachNoUpstreamAreNotCharged(t *testing.T) {
	for _, path := range []string{"/log/1", "/read/1", "/book/1"} {
		withHarness(t, func(b *harness) {
			b.budget.usedUp.Store(true)
			b.submit(path)
			for n := range 3 {
				assert.Equal(t, len(b.sent()), n+1, path)
				b.lastSend().Lost(continuation.LossDial, "connection refused", false)
				b.advance(0)
			}
			last := b.lastSend()
			last.Lost(continuation.LossReset, "reset", true)
			b.advance(time.Second)
			assert.Assert(t, last == b.lastSend(), "%s: a send that may have arrived is not charged", path)
		})
	}
}
