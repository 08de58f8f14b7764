package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against missing or repeated events, and against events from two engines, when
// a stream resumes from a copy after the loss of its engine.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		first := b.lastSend()
		assert.Assert(t, first.CopyTo != "")
		first.StreamBegan(200, nil)
		first.event(1)
		first.event(2)
		first.Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
		second := b.lastSend()
		assert.Equal(t, second.Upstream.Address, first.CopyTo)
		assert.Equal(t, *second.ResumeFrom, CopySource{Address: first.CopyTo, ID: string(first.Request.ID)})
		assert.Equal(t, second.LastPosition, Position(2))
		assert.Assert(t, second.Upstream.FailureDomain != first.Upstream.FailureDomain)
		first.event(3) // late, from the lost engine
		second.StreamBegan(200, nil)
		second.event(3)
		second.StreamEnded()
		b.advance(0)
		assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\nid: 3\n\n")
		assert.Assert(t, reply.ended && !reply.broken)
	})
}

// Guards against silence that is detected too late to resume the stream within the
// longest allowed pause, 700 ms.
func TestSilenceOfARunningStreamIsNoticedInTime(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submit("/log/1")
		b.lastSend().StreamBegan(200, nil)
		for p := range Position(10) {
			b.advance(31 * time.Millisecond)
			b.lastSend().event(p + 1)
		}
		b.advance(400 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
	})
}

// Guards against a prompt that is read again when its caller returns after the
// caller's instance stopped.
func TestReturningCallerGoesToTheEngineThatReadThePrompt(t *testing.T) {
	withHarness(t, func(b *harness) {
		parts := []PromptPart{{ID: "shared", Tokens: 200}, {ID: "own", Tokens: 4800}}
		b.m.opts.Locations.SetRemote("own", "engine-c1", time.Now())
		for i := range 8 {
			req := &Request{
				ID: model.RequestID(fmt.Sprintf("back%d", i)), Host: "h", Method: "POST", Path: "/log/1", Credential: "key",
				Arrived: time.Now(), LastPosition: 3, Work: GenerationWork{PromptTokens: 5000, OutputTokens: 800, Parts: parts},
			}
			left := b.m.Submit(req, &fakeReply{})
			synctest.Wait()
			assert.Equal(t, b.lastSend().Upstream.ID, model.UpstreamID("engine-c1"))
			left()
			synctest.Wait()
		}
	})
}

// Guards against prompts that are read again when the callers of all instances return
// after all instances stopped at once.
func TestReturningCallersFindTheEngineThatKeepsThePrompt(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.cachedParts = map[model.UpstreamID][]CachedPart{"engine-b1": {{"p0", 900}}, "engine-c0": {{"p0", 5000}, {"p1", 4000}}}
		for i := range 2 {
			req := &Request{
				ID: model.RequestID(fmt.Sprintf("back%d", i)), Host: "h", Method: "POST", Path: "/log/1", Credential: "key",
				Arrived: time.Now(), LastPosition: 3,
				Work: GenerationWork{PromptTokens: 5000, OutputTokens: 800, Parts: []PromptPart{{ID: fmt.Sprintf("p%d", i), Tokens: 5000}}},
			}
			left := b.m.Submit(req, &fakeReply{})
			synctest.Wait()
			assert.Equal(t, b.lastSend().Upstream.ID, model.UpstreamID("engine-c0"))
			left()
			synctest.Wait()
		}
		assert.Equal(t, b.promptQueries, 6, "each engine is asked once for all callers")
	})
}

// Guards against prompts that are read again in a large deployment, where any engine
// may have them cached.
func TestPromptIsFoundAtAnyOfManyEngines(t *testing.T) {
	withHarness(t, func(b *harness) {
		var all []model.Upstream
		for i := range 180 {
			all = append(all, fakeUpstream("engine", domains[i%3], i))
		}
		b.upstreams.Configure(all)
		for i, at := range []string{"engine-a0", "engine-b79", "engine-c179"} {
			part := fmt.Sprintf("p%d", i)
			b.cachedParts = map[model.UpstreamID][]CachedPart{model.UpstreamID(at): {{part, 5000}}}
			b.advance(promptSearchTTL)
			left := b.m.Submit(&Request{
				ID: model.RequestID(part), Host: "h", Method: "POST", Path: "/log/1", Credential: "key", Arrived: time.Now(), LastPosition: 3,
				Work: GenerationWork{PromptTokens: 5000, OutputTokens: 800, Parts: []PromptPart{{ID: part, Tokens: 5000}}},
			}, &fakeReply{})
			synctest.Wait()
			assert.Equal(t, b.lastSend().Upstream.ID, model.UpstreamID(at))
			left()
			synctest.Wait()
		}
	})
}

// Guards against an engine that restarted under another ID and gets no work during an
// outage of the store.
func TestSuccessorAtAnAddressIsFound(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submit("/log/1")
		lost := b.lastSend().Upstream
		b.lastSend().Answered(Answer{Status: 421, NotRun: true, AddressReassigned: true, CurrentUpstream: "engine-new"})
		b.advance(0)
		assert.Equal(t, len(b.foundUpstreams), 1)
		assert.Equal(t, b.foundUpstreams[0].ID, model.UpstreamID("engine-new"))
		assert.Equal(t, b.foundUpstreams[0].Address, lost.Address)
		assert.Assert(t, b.lastSend().Upstream.ID != lost.ID)
	})
}

// startStreamWithLostHolder starts a stream and then fails the holder of its copy.
func (b *harness) startStreamWithLostHolder() *fakeSend {
	b.submit("/log/1")
	first := b.lastSend()
	first.StreamBegan(200, nil)
	first.event(1)
	now := time.Now()
	b.upstreams.RecordFailure(model.UpstreamID(first.CopyTo), now, now)
	b.advance(250 * time.Millisecond)
	first.event(2)
	b.advance(100 * time.Millisecond)
	return first
}

// Guards against a stream that is left without a copy because the holder of its copy
// was lost before its engine.
func TestLostHolderIsReplaced(t *testing.T) {
	withHarness(t, func(b *harness) {
		first := b.startStreamWithLostHolder()
		assert.Equal(t, len(b.copyHolders), 1)
		holder := b.copyHolders[0]
		assert.Assert(t, string(holder) != first.CopyTo && holder != first.Upstream.ID)
		first.Lost(continuation.LossReset, "EOF", true)
		b.advance(0)
		assert.Equal(t, b.lastSend().Upstream.ID, holder)
		assert.Equal(t, *b.lastSend().ResumeFrom, CopySource{Address: first.Upstream.Address, ID: "handle-" + string(holder)})
		assert.Equal(t, b.lastSend().LastPosition, Position(2))
	})
}

// Guards against copies that are not freed after their stream has ended.
func TestOrderedCopyIsFreedAtTheEnd(t *testing.T) {
	withHarness(t, func(b *harness) {
		first := b.startStreamWithLostHolder()
		first.StreamEnded()
		b.advance(0)
		assert.DeepEqual(t, b.discardedHandles, []string{"handle-" + string(b.copyHolders[0])})
	})
}

// Guards against a worker that crashes after the head of its answer, where an answer
// without a length ends like a complete one: the caller would get an empty stream.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().StreamEnded()
		b.advance(time.Second)
		assert.Assert(t, !reply.ended)
		assert.Equal(t, len(b.sent()), 2)
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		b.lastSend().StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended)
	})
	t.Run("caller has all events", func(t *testing.T) {
		withHarness(t, func(b *harness) {
			request := b.request("/log/1")
			request.LastPosition = 9
			reply := b.submitRequest(request)
			b.lastSend().StreamBegan(200, nil)
			b.lastSend().StreamEnded()
			b.advance(0)
			assert.Assert(t, reply.ended)
		})
	})
}

// Guards against an engine that sends the same events without end: the instance would
// read them until the caller's deadline.
func TestEngineThatRepeatsItsEventsIsLeft(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		first := b.lastSend()
		for range 2 * maxStaleEvents {
			first.event(1)
		}
		assert.Equal(t, len(b.sent()), 2)
		assert.Assert(t, first.cancelled)
		b.lastSend().event(2)
		b.lastSend().StreamEnded()
		b.advance(0)
		assert.Assert(t, reply.ended)
		assert.Equal(t, reply.events, "id: 1\n\nid: 2\n\n")
	})
}

// Guards against an engine that sends events faster than they are handled: they would
// wait in memory without a bound.
func TestEventsThatWaitAreBounded(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.submit("/log/1")
		first, release := b.lastSend(), make(chan struct{})
		b.pool.Post("forward/1", worker.Func(func() { <-release }))
		raw := make([]byte, 64<<10)
		for p := range Position(10 * maxWaitingEventBytes / len(raw)) {
			first.EventsArrived([]Event{{Position: p + 1, Raw: raw}})
		}
		close(release)
		b.advance(0)
		assert.Assert(t, first.cancelled)
		assert.Equal(t, len(b.sent()), 2)
		assert.Assert(t, int(b.lastSend().LastPosition) <= maxWaitingEventBytes/len(raw)+1)
	})
}
