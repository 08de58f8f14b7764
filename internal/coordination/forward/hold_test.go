package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"gotest.tools/v3/assert"
)

// Guards against requests that an instance without rules refuses shortly before the
// end of an outage of the store, although a short wait would save them.
func TestRequestsWaitForTheFirstRules(t *testing.T) {
	withHarness(t, func(b *harness) {
		table := rules.NewTable()
		b.m.opts.Rules = table
		stream, _ := b.submit("/log/1")
		call, _ := b.submit("/book/1")
		b.advance(600 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 0)
		assert.Assert(t, stream.refused == nil && call.refused == nil)
		table.Apply(testRules())
		b.advance(2 * holdCheckInterval) // the route of the call ends at 800 ms
		assert.Equal(t, len(b.sent()), 2)
		assert.Assert(t, stream.refused == nil && call.refused == nil)
		assert.Equal(t, b.m.heldCount.Load(), int64(0))
	})
}

// Guards against requests that are refused because the entries of all upstreams of
// their service expired, with work in flight or without. The entries are registered
// again within 2 s.
func TestRequestsWaitForLapsedUpstreams(t *testing.T) {
	back := []model.Upstream{fakeUpstream("engine", "a", 0), fakeUpstream("desk", "a", 0)}
	for _, inFlight := range []int{0, 2} {
		withHarness(t, func(b *harness) {
			b.upstreams.Configure(back)
			if inFlight > 0 {
				b.submit("/log/0")
				b.submit("/book/0")
			}
			b.upstreams.Configure(nil)
			stream, _ := b.submit("/log/1")
			call, _ := b.submit("/book/1")
			b.advance(700 * time.Millisecond)
			b.upstreams.Configure(back)
			b.advance(holdCheckInterval + time.Millisecond) // the route of the call ends at 800 ms
			assert.Equal(t, len(b.sent()), inFlight+2)
			assert.Assert(t, stream.refused == nil && call.refused == nil)
		})
	}
}

// Guards against a hold that leaves the caller no time to try elsewhere, and against
// holds without a limit on their time or number.
func TestHoldIsBounded(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.m.opts.Rules = rules.NewTable()
		brief := &fakeReply{}
		b.m.Submit(&Request{ID: "brief", Arrived: time.Now(), Deadline: time.Now().Add(1500 * time.Millisecond)}, brief)
		synctest.Wait()
		long, _ := b.submit("/log/1")
		b.advance(500*time.Millisecond + holdCheckInterval)
		assert.Equal(t, brief.refused.Outcome, model.OutcomeNotRun)
		assert.Equal(t, b.m.heldCount.Load(), int64(1), "the long request is no longer held")
		b.advance(maxHoldTime)
		assert.Assert(t, long.refused != nil)
		assert.Equal(t, b.m.heldCount.Load(), int64(0))
		b.m.heldCount.Store(maxHeldRequests)
		refused, _ := b.submit("/log/1")
		assert.Assert(t, refused.refused != nil)
		assert.Equal(t, b.m.heldCount.Load(), int64(maxHeldRequests))
	})
}

// Guards against a Retry-After that ends before the upstreams can be back.
func TestRefusalForMissingUpstreamsHasRetryAfter(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.upstreams.Configure(nil)
		reply, _ := b.submit("/log/1")
		b.advance(maxHoldTime + holdCheckInterval)
		assert.Equal(t, reply.refused.Code, codeNoUpstream)
		assert.Equal(t, reply.refused.RetryAfter, maxMissingRetryAfter)
	})
}

// Guards against streams that all go to the first engines that are registered again
// after an outage. These engines would read prompts for longer than callers wait.
func TestHeldStreamsAreReleasedInTurn(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.instances = 12
		b.upstreams.Configure(nil)
		for range 10 {
			b.submit("/log/1")
		}
		b.advance(200 * time.Millisecond)
		first := []model.Upstream{fakeUpstream("engine", "a", 0), fakeUpstream("engine", "b", 0)}
		b.upstreams.Configure(first)
		b.advance(time.Second) // two engines read two prompts in this time, for twelve instances
		assert.Assert(t, len(b.sent()) <= 1)
		all := first
		for i := range 34 {
			all = append(all, fakeUpstream("engine", "c", i))
		}
		b.upstreams.Configure(all)
		b.advance(maxHoldTime)
		assert.Equal(t, len(b.sent()), 10)
		got := map[model.UpstreamID]int{}
		for _, s := range b.sent() {
			got[s.Upstream.ID]++
			assert.Assert(t, got[s.Upstream.ID] <= 2, "%v", got)
		}
	})
}

// Guards against a stream that gets neither an answer nor a refusal until its caller
// leaves, because all engines leave or another upstream has the address of the last one.
func TestStreamWithoutEngineIsRefusedInTime(t *testing.T) {
	for name, loseEngines := range map[string]func(*harness){
		"all leave": func(b *harness) {
			for _, up := range engines(b) {
				b.upstreams.Leave(up.ID)
			}
		},
		"all addresses are reassigned": func(*harness) {},
	} {
		withHarness(t, func(b *harness) {
			loseEngines(b)
			reply, _ := b.submit("/log/1")
			for range engines(b) {
				if len(b.sent()) > 0 {
					b.lastSend().Answered(Answer{Status: 421, NotRun: true, AddressReassigned: true})
					b.advance(replaceInterval)
				}
			}
			b.advance(maxHoldTime + holdCheckInterval)
			assert.Assert(t, reply.refused != nil, name)
			assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun, name)
		})
	}
}

// Guards against a stream that gets neither an answer nor a refusal until its caller
// leaves, because all engines reject it or it may not be sent again.
func TestStreamThatNoEngineAcceptsIsRefused(t *testing.T) {
	for name, usedUp := range map[string]bool{"all engines are full": false, "no resends are left": true} {
		withHarness(t, func(b *harness) {
			b.budget.usedUp.Store(usedUp)
			arrived := time.Now()
			reply, _ := b.submit("/log/1")
			objective := b.m.opts.Rules.Current().Routes[0].Objective
			assert.Assert(t, objective > 0)
			for answered := 0; time.Since(arrived) < 4*objective; b.advance(10 * time.Millisecond) {
				if all := b.sent(); len(all) > answered {
					answered = len(all)
					all[answered-1].Answered(Answer{Status: 503, NotRun: true})
				}
			}
			assert.Assert(t, reply.refused != nil, name)
			assert.Equal(t, reply.refused.Outcome, model.OutcomeNotRun, name)
			assert.Assert(t, reply.refusedAt.Sub(arrived) > objective, "%s: after %v", name, reply.refusedAt.Sub(arrived))
		})
	}
}

// Guards against a stream that gets no answer until its caller leaves, because its engine
// was lost or failed before the first event and no other engine takes it.
func TestStreamThatLostItsOnlyEngineIsAnswered(t *testing.T) {
	allLeave := func(b *harness) {
		for _, up := range engines(b) {
			b.upstreams.Leave(up.ID)
		}
	}
	useUpBudget := func(b *harness) { b.budget.usedUp.Store(true) }
	lose := func(s *fakeSend) { s.Lost(continuation.LossReset, "EOF", true) }
	for name, test := range map[string]struct {
		prevent  func(*harness) // prevents a second send
		end      func(*fakeSend)
		answered int // status of the engine's answer; 0 means a refusal
	}{
		"all leave":                 {prevent: allLeave, end: lose},
		"no resends are left":       {prevent: useUpBudget, end: lose},
		"failed, and all leave":     {prevent: allLeave, end: func(s *fakeSend) { s.Answered(Answer{Status: 500}) }, answered: 500},
		"failed, no resends left":   {prevent: useUpBudget, end: func(s *fakeSend) { s.Answered(Answer{Status: 500}) }, answered: 500},
		"refused by all the others": {prevent: func(*harness) {}, end: lose},
	} {
		withHarness(t, func(b *harness) {
			arrived := time.Now()
			reply, _ := b.submit("/log/1")
			test.prevent(b)
			test.end(b.lastSend())
			b.advance(0)
			objective := b.m.opts.Rules.Current().Routes[0].Objective
			assert.Assert(t, objective > 0)
			for seen := 1; time.Since(arrived) < 4*objective; b.advance(10 * time.Millisecond) {
				if all := b.sent(); len(all) > seen {
					seen = len(all)
					all[seen-1].Answered(Answer{Status: 503, NotRun: true})
				}
			}
			if test.answered != 0 {
				assert.Assert(t, reply.answer != nil, name)
				assert.Equal(t, reply.answer.Status, test.answered, name)
				return
			}
			assert.Assert(t, reply.refused != nil, name)
			assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown, name)
		})
	}
}
