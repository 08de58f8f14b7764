package forward

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/admission"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// callCapacity is the number of calls that the harness's six upstreams of 8 slots take,
// with one queued beside each slot.
const callCapacity = 6 * 8 * (1 + queuedPerSlot)

// answerCall answers the newest call as the upstream does after the given time.
func (b *harness) answer(s *fakeSend, after time.Duration) {
	b.advance(after)
	s.Answered(Answer{Status: 200})
	synctest.Wait()
}

// fillCalls starts as many calls as run at once, and has one end after 40 ms, so that the
// time that a call takes is known.
func (b *harness) fillCalls() {
	b.submit("/read/1")
	b.answer(b.lastSend(), 40*time.Millisecond)
	for range callCapacity {
		b.submit("/read/1")
	}
	assert.Equal(b.t, len(b.sent()), 1+callCapacity)
}

// Guards against calm load that is delayed or refused: while the upstreams have free slots
// and memory, each request is sent at the moment of its arrival, whatever the others are.
func TestCalmLoadIsSentAtOnce(t *testing.T) {
	withHarness(t, func(b *harness) {
		start := time.Now()
		var replies []*fakeReply
		for i := range 24 {
			for _, path := range []string{"/read/1", "/book/1", "/log/1", "/tell/1"} {
				if i%4 == 0 || path[1] == 'r' || path[1] == 'b' {
					reply, _ := b.submit(path)
					replies = append(replies, reply)
				}
			}
		}
		assert.Equal(t, len(b.sent()), len(replies))
		assert.Equal(t, time.Since(start), time.Duration(0))
		for _, reply := range replies {
			assert.Assert(t, reply.refused == nil)
		}
	})
}

// Guards against a service that looks full because its upstreams do not report slots, an
// input is missing, or stale work of other instances is counted for calls.
func TestMissingInputsNeverMakeAServiceFull(t *testing.T) {
	row := upstream.Row{Upstream: model.Upstream{ID: "u"}}
	assert.Assert(t, !localRoom([]upstream.Row{row}, nil).Known)
	assert.Assert(t, !localRoom(nil, nil).Known)
	withHarness(t, func(b *harness) {
		stale := map[model.UpstreamID]commitment.Work{}
		for _, r := range b.upstreams.Serving("desk") {
			stale[r.Upstream.ID] = commitment.Work{Requests: 1000}
		}
		b.m.opts.Commitments.SetRemote("other", stale, time.Now())
		b.submit("/read/1")
		assert.Equal(t, len(b.sent()), 1)
		b.upstreams.Configure(nil)
		assert.Equal(t, b.m.supplyOf("desk").Slots, admission.Unlimited)
	})
	assert.Equal(t, capacityFrom(capacity.Room{Known: true, Slots: -50, Share: 1}, 0, 6), 1, "one request must always run")
	assert.Equal(t, capacityFrom(capacity.Room{Known: true, Slots: 10, Share: 0.5}, 3, 0), 8)
	assert.Equal(t, capacityFrom(capacity.Room{Known: true, Slots: 10, Share: 0.01}, 3, 0), 4, "one more runs while there is room")
	assert.Assert(t, math.IsInf(localRoom(nil, nil).MemoryTokens, 1))
}

// Guards against calls that are sent to a full service, and against a call that waits on
// although a slot became free.
func TestCallWaitsForASlot(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.fillCalls()
		reply, _ := b.submit("/book/1")
		assert.Equal(t, len(b.sent()), 1+callCapacity)
		assert.Assert(t, reply.refused == nil)
		assert.Equal(t, b.m.opts.Demand.Local(time.Now())["desk"].Waiting, 1)
		b.answer(b.sent()[1], 10*time.Millisecond)
		assert.Equal(t, len(b.sent()), 2+callCapacity)
		b.lastSend().Answered(Answer{Status: 200})
		synctest.Wait()
		assert.Equal(t, reply.answer.Status, 200)
		assert.Equal(t, b.m.opts.Demand.Local(time.Now())["desk"].Waiting, 0)
	})
}

// Guards against a caller that waits in vain: one whose call gets no place in time is
// refused at once as not run, and told to return within a third of its time.
func TestCallThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.fillCalls() // a place becomes free each 40 ms / 96
		at := time.Now()
		for i := range 60 {
			req := b.request("/book/1")
			req.Deadline = at.Add(30 * time.Millisecond) // of which two thirds are for the wait
			reply := b.submitRequest(req)
			if i < 48 {
				assert.Assert(t, reply.refused == nil, "call %d: %v", i, reply.refused)
				continue
			}
			assert.Equal(t, reply.refused.Code, admission.CodeDeadlineUnmet)
			assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
			assert.Assert(t, reply.refused.RetryAfter > 0 && reply.refused.RetryAfter <= 10*time.Millisecond, "%v", reply.refused.RetryAfter)
			assert.Equal(t, reply.refusedAt, at)
		}
	})
}

// Guards against a short call of a service with long ones that is refused although nothing
// runs: the mean time of the others says nothing of it while there is room.
func TestCallRunsWhileThereIsRoom(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.m.opts.Demand.RecordStart("desk", 0)
		b.m.opts.Demand.RecordEnd("desk", 0, 2*time.Second, time.Now())
		reply, _ := b.submit("/book/1") // ends after 800 ms
		assert.Assert(t, reply.refused == nil, "%v", reply.refused)
		assert.Equal(t, len(b.sent()), 1)
	})
}

// Guards against a place that is kept for a caller that left, whether it waited or ran.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.fillCalls()
		_, leaveWaiting := b.submit("/book/1")
		second, leaveSecond := b.submit("/book/1")
		leaveWaiting()
		synctest.Wait()
		assert.Equal(t, b.m.opts.Demand.Local(time.Now())["desk"].Waiting, 1)
		b.answer(b.sent()[1], 0)
		assert.Equal(t, len(b.sent()), 2+callCapacity, "the second call runs in place of the one that left")
		third, _ := b.submit("/book/1")
		leaveSecond()
		synctest.Wait()
		assert.Equal(t, len(b.sent()), 3+callCapacity, "the running call's place is free at once")
		assert.Assert(t, second.refused == nil && third.refused == nil)
	})
}

// Guards against a call that runs twice because several attempts of a caller carry one ID,
// or because it waited: each attempt that is not repeatable is sent once at most.
func TestNonRepeatableCallThatWaitedRunsOnce(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.fillCalls()
		var replies []*fakeReply
		for range 2 {
			req := b.request("/book/1")
			req.ID = "same"
			replies = append(replies, b.submitRequest(req))
		}
		for i, reply := range replies {
			assert.Assert(t, reply.refused == nil, "attempt %d: %v", i, reply.refused)
		}
		b.answer(b.sent()[1], 0)
		b.lastSend().Lost("reset", "reset by the upstream", true)
		synctest.Wait()
		assert.Equal(t, replies[0].refused.Code, codeUnknownOutcome)
		booked := 0
		for _, s := range b.sent() {
			if s.Request.ID == "same" {
				booked++
			}
		}
		assert.Equal(t, booked, 2, "the lost attempt was not sent again; its place went to the second one")
	})
}

// Guards against a call that is refused although its upstreams only turned it away, and
// against one that waits for longer than it has.
func TestTurnedAwayCallWaitsAgain(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.budget.usedUp.Store(true)
		reply, _ := b.submit("/book/1")
		b.lastSend().Answered(Answer{Status: 503, NotRun: true})
		synctest.Wait()
		assert.Assert(t, reply.refused == nil, "%v", reply.refused)
		b.advance(50 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 1, "the shared budget bounds further sends")
		b.budget.usedUp.Store(false)
		b.advance(50 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
		b.budget.usedUp.Store(true)
		b.lastSend().Answered(Answer{Status: 503, NotRun: true})
		b.advance(time.Second)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
		assert.Assert(t, !reply.refusedAt.After(time.Now().Add(-200*time.Millisecond)))
	})
}

// Guards against a stream that is sent to an engine without memory for it, and against
// a new stream that takes the memory before one whose caller already has events.
func TestStreamWaitsForMemory(t *testing.T) {
	withHarness(t, func(b *harness) {
		full := map[model.UpstreamID]commitment.Work{}
		for _, r := range b.upstreams.Serving("engine") {
			full[r.Upstream.ID] = commitment.Work{Requests: 8, MemoryTokens: 45000}
		}
		b.m.opts.Commitments.SetRemote("other", full, time.Now())
		fresh, _ := b.submit("/log/1")
		begun := b.request("/log/2")
		begun.LastPosition = 7
		b.submitRequest(begun)
		assert.Equal(t, len(b.sent()), 0)
		full["engine-a0"] = commitment.Work{Requests: 7, MemoryTokens: 39000} // room for one
		b.m.opts.Commitments.SetRemote("other", full, time.Now())
		b.advance(engineSupplyTTL + roomCheckInterval)
		assert.Equal(t, len(b.sent()), 1)
		assert.Equal(t, b.lastSend().Request.ID, begun.ID)
		assert.Equal(t, b.lastSend().Upstream.ID, model.UpstreamID("engine-a0"))
		assert.Assert(t, fresh.refused == nil)
	})
}

// Guards against callers that pass the slots by claiming a last position, and against a
// stream that a caller brings back behind new ones of its organisation.
func TestClaimedPositionDoesNotPassTheSlots(t *testing.T) {
	withHarness(t, func(b *harness) {
		full := map[model.UpstreamID]commitment.Work{}
		for _, r := range b.upstreams.Serving("engine") {
			full[r.Upstream.ID] = commitment.Work{Requests: 8}
		}
		b.m.opts.Commitments.SetRemote("other", full, time.Now())
		b.submit("/log/1") // one may always run
		fresh := b.request("/log/1")
		b.submitRequest(fresh)
		back := b.request("/log/2")
		back.LastPosition, back.Deadline = 7, back.Deadline.Add(time.Second)
		b.submitRequest(back)
		assert.Equal(t, len(b.sent()), 1)
		for id := range full {
			if id != b.lastSend().Upstream.ID {
				full[id] = commitment.Work{Requests: 7} // one slot is free
				break
			}
		}
		b.m.opts.Commitments.SetRemote("other", full, time.Now())
		b.advance(engineSupplyTTL + roomCheckInterval)
		assert.Equal(t, len(b.sent()), 2)
		assert.Equal(t, b.sent()[1].Request.ID, back.ID)
	})
}

// Guards against a stream that resumes from a copy without a place after it gave its place
// up, and so does not count as in flight.
func TestResumeFromCopyTakesAPlace(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submit("/log/1")
		first := b.lastSend()
		first.StreamBegan(200, Header{})
		first.event(1)
		b.onlyRequest().leaveAdmission() // as while no engine takes the stream
		assert.Equal(t, b.placesOf("engine"), 0)
		first.Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
		assert.Assert(t, b.lastSend().ResumeFrom != nil)
		assert.Equal(t, b.placesOf("engine"), 1)
		b.lastSend().event(2)
		b.lastSend().StreamEnded()
		b.advance(0)
		assert.Equal(t, b.placesOf("engine"), 0)
	})
}

func (b *harness) onlyRequest() *activeRequest {
	for r := range b.m.running.requests {
		return r
	}
	return nil
}

// placesOf returns the number of requests with a place of the service.
func (b *harness) placesOf(service string) (n int) {
	b.m.opts.Organisations.Update(func(s *organisation.State) { n = s.Queue(service).InFlight })
	return n
}

// Guards against times of return that move on for requests that end as unknown, whose callers
// get none.
func TestUnknownOutcomeMovesNoReturn(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/book/1")
		b.advance(time.Second)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown)
		b.m.opts.Organisations.Update(func(s *organisation.State) {
			assert.Check(t, s.Queue("desk").NextReturn.IsZero(), "%v", s.Queue("desk").NextReturn)
		})
	})
}

// Guards against an order of waiting by arrival: the priority goes first, that of the
// organisation before that of the route, and then the earlier deadline.
func TestMoreUrgentCallsGoFirst(t *testing.T) {
	withHarness(t, func(b *harness) {
		urgent := 0
		current := testRules()
		current.Revision++
		for i := range current.Routes {
			current.Routes[i].Priority = 3
		}
		current.Holders = append(current.Holders, model.KeyHolder{Organisation: "first", Keys: []string{"urgent"}, Priority: &urgent})
		b.m.opts.Rules.Apply(current)
		b.fillCalls()
		var order []model.RequestID
		for i, within := range []time.Duration{700, 600, 700} {
			req := b.request("/book/1")
			req.ID = model.RequestID(fmt.Sprint("w", i))
			req.Deadline = time.Now().Add(within * time.Millisecond)
			if i == 2 {
				req.Credential = "urgent"
			}
			b.submitRequest(req)
		}
		for i := range 3 {
			b.answer(b.sent()[1+i], time.Millisecond)
			order = append(order, b.lastSend().Request.ID)
		}
		assert.DeepEqual(t, order, []model.RequestID{"w2", "w1", "w0"})
	})
}

// Guards against memory of an engine that is given to several streams which arrive at one
// moment.
func TestStreamsOfOneMomentShareTheMemoryLeft(t *testing.T) {
	withHarness(t, func(b *harness) {
		work := map[model.UpstreamID]commitment.Work{}
		for _, r := range b.upstreams.Serving("engine") {
			work[r.Upstream.ID] = commitment.Work{Requests: 8, MemoryTokens: 45000}
		}
		work["engine-b1"] = commitment.Work{Requests: 6, MemoryTokens: 37000} // room for two of 5800
		b.m.opts.Commitments.SetRemote("other", work, time.Now())
		for range 5 {
			b.m.Submit(b.request("/log/1"), &fakeReply{})
		}
		synctest.Wait()
		assert.Equal(t, len(b.sent()), 2)
		for _, s := range b.sent() {
			assert.Equal(t, s.Upstream.ID, model.UpstreamID("engine-b1"))
		}
		assert.Equal(t, b.m.opts.Demand.Local(time.Now())["engine"].Waiting, 3)
	})
}

// Guards against a refusal that sends its caller back after more than a third of the time
// that the caller has left, whatever the cause of the refusal is.
func TestEachRefusalForLackOfRoomIsPaced(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.budget.usedUp.Store(true)
		var replies []*fakeReply
		deadline := time.Now().Add(20 * time.Second) // the route ends after 800 ms
		for range 3 {
			req := b.request("/book/1")
			req.Deadline = deadline
			replies = append(replies, b.submitRequest(req))
			b.lastSend().Answered(Answer{Status: 503, NotRun: true})
			synctest.Wait()
		}
		b.advance(time.Second)
		returns := map[time.Time]bool{}
		for _, reply := range replies {
			assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun)
			left := deadline.Sub(reply.refusedAt)
			assert.Check(t, reply.refused.RetryAfter > 0 && reply.refused.RetryAfter <= left/3, "%v of %v", reply.refused.RetryAfter, left)
			returns[reply.refusedAt.Add(reply.refused.RetryAfter)] = true
		}
		assert.Equal(t, len(returns), len(replies), "callers return at the same moment: %v", returns)
	})
}
