package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// breakAfterTwoEvents starts a stream and breaks it off after its second event. It
// returns the send that resumes the stream.
func (b *harness) breakAfterTwoEvents() (*fakeReply, *fakeSend) {
	b.t.Helper()
	reply, _ := b.submit("/log/1")
	first := b.lastSend()
	first.StreamBegan(200, Header{"From": {"first"}})
	first.event(1)
	first.event(2)
	first.Lost(continuation.LossReset, "EOF", true)
	b.advance(0)
	assert.Equal(b.t, len(b.sent()), 2)
	assert.Equal(b.t, b.lastSend().LastPosition, Position(2))
	return reply, b.lastSend()
}

// answersInsteadOfEvents are whole answers to a stream request.
func answersInsteadOfEvents() []Answer {
	var answers []Answer
	for _, status := range []int{200, 204, 206, 307, 400, 404, 500, 504} {
		answers = append(answers, Answer{Status: status, Body: []byte("the engine's text")})
	}
	return append(answers,
		Answer{Status: 503, NotRun: true, Body: []byte("no copy")},
		Answer{Status: 421, NotRun: true, AddressReassigned: true})
}

// Guards against the head and the body of an engine's whole answer in the middle of a
// stream that another engine began, and against the loss of a stream that a third
// engine could continue.
func TestWholeAnswerDoesNotEnterAStreamThatHasBegun(t *testing.T) {
	for _, answer := range answersInsteadOfEvents() {
		t.Run(fmt.Sprint(answer.Status), func(t *testing.T) {
			withHarness(t, func(b *harness) {
				reply, second := b.breakAfterTwoEvents()
				assert.Assert(t, second.ResumeFrom != nil)
				second.Answered(answer)
				b.advance(0)
				assert.Assert(t, reply.answer == nil && reply.refused == nil && !reply.ended, "%+v", reply)
				third := b.lastSend()
				assert.Equal(t, len(b.sent()), 3)
				assert.Assert(t, third.Upstream.ID != second.Upstream.ID)
				assert.Equal(t, third.LastPosition, Position(2))
				assert.Assert(t, third.ResumeFrom == nil)
				third.StreamBegan(200, Header{"From": {"third"}})
				third.event(3)
				third.StreamEnded()
				b.advance(0)
				assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\nid: 3\n\n")
				assert.Assert(t, reply.ended && !reply.broken)
				assert.DeepEqual(t, reply.heads, []Header{{"From": {"first"}}})
			})
		})
	}
}

// Guards against an error answer, or more sends than the route allows, when no engine
// continues a stream that has begun.
func TestStreamThatNoEngineContinuesIsAborted(t *testing.T) {
	for _, answer := range answersInsteadOfEvents() {
		t.Run(fmt.Sprint(answer.Status), func(t *testing.T) {
			withHarness(t, func(b *harness) {
				reply, _ := b.breakAfterTwoEvents()
				answered := 1
				for range 600 { // until after the deadline
					if sends := b.sent(); len(sends) > answered {
						answered = len(sends)
						b.lastSend().Answered(answer)
					}
					b.advance(50 * time.Millisecond)
				}
				assert.Assert(t, reply.broken, "%+v", reply)
				assert.Assert(t, reply.answer == nil && reply.refused == nil && !reply.ended, "%+v", reply)
				if !answer.NotRun {
					assert.Equal(t, len(b.sent()), 5)
				}
				assert.Equal(t, b.m.Running(), 0)
			})
		})
	}
}

// Guards against a refusal in the middle of a stream whose engines all ask for a pause
// that is longer than the caller waits.
func TestPauseOfAllEnginesAbortsAStreamThatHasBegun(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.breakAfterTwoEvents()
		for range 6 {
			b.lastSend().Answered(Answer{Status: 503, NotRun: true, Pause: time.Minute})
			b.advance(100 * time.Millisecond)
		}
		assert.Assert(t, reply.broken && reply.refused == nil && reply.answer == nil, "%+v", reply)
	})
}

// Guards against an error answer that was kept from before the first event and is
// delivered after it.
func TestEarlierFailureDoesNotEnterAStreamThatHasBegun(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		b.lastSend().Answered(Answer{Status: 500, Body: []byte("the engine's text")})
		b.advance(0)
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		for range 4 {
			b.lastSend().Lost(continuation.LossTruncated, "EOF", true)
			b.advance(time.Second)
		}
		assert.Equal(t, len(b.sent()), 5)
		assert.Assert(t, reply.broken && reply.answer == nil && reply.refused == nil, "%+v", reply)
	})
}

// Guards against an answer of an engine that is withheld although the caller has no
// part of a response yet: it is the answer to the request.
func TestWholeAnswerBeforeTheFirstEventIsDelivered(t *testing.T) {
	for _, position := range []Position{0, 9} {
		for _, status := range []int{200, 204, 206, 400, 404} {
			t.Run(fmt.Sprintf("%d after %d", status, position), func(t *testing.T) {
				withHarness(t, func(b *harness) {
					request := b.request("/log/1")
					request.LastPosition = position
					reply := b.submitRequest(request)
					want := Answer{Status: status, Header: Header{"From": {"first"}}, Body: []byte("the engine's text")}
					b.lastSend().Answered(want)
					b.advance(0)
					assert.Assert(t, reply.answer != nil, "%+v", reply)
					assert.DeepEqual(t, *reply.answer, want)
					assert.Equal(t, len(b.sent()), 1)
				})
			})
		}
	}
}

// Guards against events of a stream that reach the caller after the stream's end.
func TestEventsAfterTheEndAreIgnored(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, second := b.breakAfterTwoEvents()
		second.StreamBegan(200, nil)
		second.event(3)
		second.StreamEnded()
		second.event(4)
		b.advance(0)
		assert.Assert(t, reply.ended && !reply.broken)
		assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\nid: 3\n\n")
	})
}

// Guards against events that the caller gets twice from an engine that ignores the
// position from which to go on.
func TestRepeatedEventsOfAResumedStreamAreDropped(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, second := b.breakAfterTwoEvents()
		second.StreamBegan(200, nil)
		for p := range Position(4) {
			second.event(p + 1)
		}
		second.StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended && !reply.broken)
		assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n")
	})
}

// Guards against a stream that is lost because all engines of its service are gone for
// a while after it has begun, or refused because of that.
func TestStreamThatHasBegunWaitsForEngines(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		first := b.lastSend()
		first.StreamBegan(200, nil)
		first.event(1)
		b.upstreams.Configure(nil)
		first.Lost(continuation.LossTruncated, "EOF", true)
		b.advance(3 * time.Second)
		assert.Assert(t, reply.refused == nil && !reply.broken, "%+v", reply)
		b.upstreams.Configure([]model.Upstream{fakeUpstream("engine", "a", 9)})
		b.advance(time.Second)
		assert.Equal(t, b.lastSend().LastPosition, Position(1))
		b.lastSend().event(2)
		b.lastSend().StreamEnded()
		synctest.Wait()
		assert.Assert(t, reply.ended)
	})
}

// Guards against a stream that is aborted because connections to several engines are
// refused in a row while an outage lasts: no engine had the request.
func TestStreamOutlivesRefusedConnections(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.breakAfterTwoEvents()
		refused := 0
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); b.advance(50 * time.Millisecond) {
			for sends := b.sent(); refused < len(sends)-1; sends = b.sent() {
				refused++
				sends[refused].Lost(continuation.LossDial, "connection refused", false)
				b.advance(0)
			}
			assert.Assert(t, !reply.broken, "aborted after %d refused connections", refused)
		}
		assert.Assert(t, refused > continuation.MaxFailures)
		b.advance(failedUpstreamTimeout)
		assert.Equal(t, b.lastSend().LastPosition, Position(2))
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(3)
		b.lastSend().StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended && !reply.broken)
	})
}

// streamEnds are the ways in which the answer of an engine ends after whole events.
var streamEnds = map[string]func(s *fakeSend){
	"ended":  func(s *fakeSend) { s.StreamEnded() },
	"closed": func(s *fakeSend) { s.ConnectionClosed() },
}

// Guards against a broken stream that ends as complete because the engine that was to
// continue it ended its answer, or crashed, before an event that the caller lacks.
func TestResumedStreamWithoutNewEventsIsNotComplete(t *testing.T) {
	cases := []struct {
		name     string
		events   []Position
		end      string
		complete bool
	}{
		{"no event", nil, "closed", false},
		{"no event, since the caller has all", nil, "ended", true},
		{"fewer events than the caller has", []Position{1}, "ended", false},
		{"fewer events than the caller has", []Position{1}, "closed", false},
		{"events that the caller has", []Position{1, 2}, "closed", false},
		{"all events, which the caller has", []Position{1, 2}, "ended", true},
		{"new events", []Position{3, 4}, "closed", true},
		{"new events after repeated ones", []Position{1, 2, 3}, "closed", true},
	}
	for _, c := range cases {
		t.Run(c.name+", "+c.end, func(t *testing.T) {
			withHarness(t, func(b *harness) {
				reply, second := b.breakAfterTwoEvents()
				second.StreamBegan(200, nil)
				for _, p := range c.events {
					second.event(p)
				}
				streamEnds[c.end](second)
				b.advance(time.Second)
				assert.Equal(t, reply.ended, c.complete)
				assert.Assert(t, !reply.broken)
				if c.complete {
					assert.Equal(t, len(b.sent()), 2)
					return
				}
				third := b.lastSend()
				assert.Equal(t, len(b.sent()), 3)
				assert.Assert(t, third.Upstream.ID != second.Upstream.ID)
				assert.Equal(t, third.LastPosition, Position(2))
				third.StreamBegan(200, nil)
				third.event(3)
				third.ConnectionClosed()
				b.advance(0)
				assert.Assert(t, reply.ended)
				assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\nid: 3\n\n")
			})
		})
	}
}

// Guards against an empty stream when the engine crashes after the head of its answer,
// also for a caller that resumes a stream.
func TestEmptyAnswerToAResumingCallerIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		position Position
		end      string
		complete bool
	}{
		{0, "ended", false},
		{0, "closed", false},
		{9, "ended", true},
		{9, "closed", false},
	} {
		t.Run(fmt.Sprintf("%s after %d", c.end, c.position), func(t *testing.T) {
			withHarness(t, func(b *harness) {
				request := b.request("/log/1")
				request.LastPosition = c.position
				reply := b.submitRequest(request)
				b.lastSend().StreamBegan(200, nil)
				streamEnds[c.end](b.lastSend())
				b.advance(time.Second)
				assert.Equal(t, reply.ended, c.complete)
				assert.Equal(t, len(reply.heads) > 0, c.complete)
				assert.Equal(t, len(b.sent()) == 1, c.complete)
			})
		})
	}
}

// Guards against a stream that is broken off because its engine does not delimit its
// answers: a connection that is closed after whole events ends a running stream.
func TestClosedConnectionEndsARunningStream(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/tell/1")
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		b.lastSend().ConnectionClosed()
		b.advance(0)
		assert.Assert(t, reply.ended && !reply.broken)
	})
}
