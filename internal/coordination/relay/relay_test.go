package relay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// transcript is the output that one caller received.
type transcript struct {
	tokens []string
	end    *generation.End
	gaps   []time.Duration // between batches
}

// read collects the output of a generation and fails on a change of line after
// the first token.
func (b *testbed) read(fail func(string, ...any), id model.RequestID) transcript {
	var got transcript
	var line model.LineID
	cursor := b.table.NewCursor(id, 0)
	last := time.Now()
	for got.end == nil {
		batch, err := cursor.Next(context.Background())
		if err != nil || batch.Removed {
			fail("generation %s is gone: %v", id, err)
			return got
		}
		if len(batch.Tokens) > 0 {
			if line != "" && batch.Line != line {
				fail("line changed from %s to %s after %d tokens", line, batch.Line, len(got.tokens))
			}
			line = batch.Line
			got.gaps = append(got.gaps, time.Since(last))
			last = time.Now()
		}
		got.tokens = append(got.tokens, batch.Tokens...)
		got.end = batch.End
	}
	return got
}

// check verifies a transcript: the token at each position was produced for this
// request and this position, all tokens are of one version, and a complete
// answer has all its tokens.
func (tr transcript) check(fail func(string, ...any), id string, want int) {
	for i, token := range tr.tokens {
		if !strings.Contains(token, "|"+id+".") {
			fail("token %d of request %s is %q", i, id, token)
		}
		if !strings.HasSuffix(token, fmt.Sprintf("|%d ", i)) {
			fail("token %d is %q", i, token)
		}
		if tokenVersion(token) != tokenVersion(tr.tokens[0]) {
			fail("tokens of two versions: %q and %q", tr.tokens[0], token)
		}
	}
	if tr.end.Refusal == nil && len(tr.tokens) != want {
		fail("whole answer has %d tokens, want %d", len(tr.tokens), want)
	}
}

func spec(id string, tokens int) model.GenerationSpec {
	return model.GenerationSpec{
		Request:  model.RequestID(id),
		Model:    "m",
		Prompt:   "prompt",
		Sampling: model.Sampling{MaxTokens: tokens},
	}
}

// Guards against output that takes more than 5 s to resume after two losses in a
// row, for each kind of loss.
func TestOutputResumesAfterTwoLosses(t *testing.T) {
	for _, kind := range []string{"kill", "freeze", "cut", "truncate", "skip", "cross", "short", "leave"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(4, "v1")
				defer b.close()
				b.manager.Submit(spec("r", 100))
				for _, wait := range []time.Duration{500 * time.Millisecond, 100 * time.Millisecond} {
					time.Sleep(wait)
					r, _ := b.table.Get("r")
					b.fake.fault(r.Attempt.Upstream, kind)
				}
				got := b.read(t.Fatalf, "r")
				got.check(t.Fatalf, "r", 100)
				assert.Assert(t, got.end.Refusal == nil)
				for _, gap := range got.gaps {
					assert.Assert(t, gap < 5*time.Second, "gap of %v", gap)
				}
			})
		})
	}
}

// Guards against an engine that freezes right after its first token and is
// detected only at the longer timeout for the first token.
func TestSilenceLimitShrinksWithTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 20))
		time.Sleep(fakePrefill + 5*fakeInterval)
		r, _ := b.table.Get("r")
		b.fake.fault(r.Attempt.Upstream, "freeze")
		got := b.read(t.Fatalf, "r")
		got.check(t.Fatalf, "r", 20)
		for _, gap := range got.gaps {
			assert.Assert(t, gap < minSilence+2*fakePrefill, "gap of %v", gap)
		}
	})
}

// Guards against a reattachment that computes tokens again.
func TestCutConnectionIsReattached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(3, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 50))
		time.Sleep(500 * time.Millisecond)
		r, _ := b.table.Get("r")
		b.fake.fault(r.Attempt.Upstream, "cut")
		b.read(t.Fatalf, "r").check(t.Fatalf, "r", 50)
		assert.Equal(t, b.fake.computed, 50)
	})
}

// Guards against new work for an engine that announced its shutdown, also when
// no other engine can take over the generation that runs on it.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1")
		defer b.close()
		b.manager.Submit(spec("r1", 20))
		time.Sleep(100 * time.Millisecond)
		first, _ := b.table.Get("r1")
		b.fake.fault(first.Attempt.Upstream, "leave")
		time.Sleep(10 * time.Millisecond)
		for i := range 5 {
			id := model.RequestID(fmt.Sprintf("n%d", i))
			b.manager.Submit(spec(string(id), 5))
			time.Sleep(100 * time.Millisecond)
			r, _ := b.table.Get(id)
			assert.Assert(t, r.Attempt.Upstream != first.Attempt.Upstream)
		}
	})
}

// Guards against attempts without a record of why their version and engine were
// chosen.
func TestAttemptsRecordTheirChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 100))
		for _, kind := range []string{"cut", "kill"} {
			time.Sleep(500 * time.Millisecond)
			r, _ := b.table.Get("r")
			b.fake.fault(r.Attempt.Upstream, kind)
		}
		b.read(t.Fatalf, "r")
		r, _ := b.table.Get("r")
		var choices []generation.Choice
		for _, past := range r.History {
			choices = append(choices, past.Choice)
		}
		assert.DeepEqual(t, choices, []generation.Choice{
			{Version: generation.VersionAny, Upstream: generation.UpstreamEarliest},
			{Version: generation.VersionOfLine, Upstream: generation.UpstreamStream}, // after the cut
			{Version: generation.VersionOfLine, Upstream: generation.UpstreamStream}, // one reattachment to the killed engine
			{Version: generation.VersionOfLine, Upstream: generation.UpstreamEarliest},
		})
	})
}

// Guards against an answer that mixes tokens of two versions, when no engine is
// left of the version that began it.
func TestShownAnswerIsNotContinuedOnAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1", "v2")
		defer b.close()
		b.manager.Submit(spec("r", 50))
		cursor := b.table.NewCursor("r", 0)
		_, err := cursor.Next(t.Context())
		assert.NilError(t, err)
		r, _ := b.table.Get("r")
		b.fake.fault(r.Attempt.Upstream, "kill")
		got := b.read(t.Fatalf, "r")
		got.check(t.Fatalf, "r", 50)
		assert.Equal(t, got.end.Refusal.Code, "continuation_unavailable")
		assert.Equal(t, got.end.Refusal.Outcome, model.OutcomeUnknown)
	})
}

// Guards against the loss of an answer that has begun, and against an engine's error text
// in it, when an engine rejects the request to continue it.
func TestRejectedContinuationGoesElsewhere(t *testing.T) {
	for rejecting, code := range map[int]string{1: "", 2: "continuation_unavailable"} {
		t.Run(fmt.Sprint(rejecting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(3, "v1")
				defer b.close()
				b.manager.Submit(spec("r", 50))
				_, err := b.table.NewCursor("r", 0).Next(t.Context())
				assert.NilError(t, err)
				r, _ := b.table.Get("r")
				for i := range 3 {
					if id := model.UpstreamID(fmt.Sprintf("e%d", i)); id != r.Attempt.Upstream && rejecting > 0 {
						b.fake.fault(id, "reject")
						rejecting--
					}
				}
				b.fake.fault(r.Attempt.Upstream, "kill")
				got := b.read(t.Fatalf, "r")
				got.check(t.Fatalf, "r", 50)
				if code == "" {
					assert.Assert(t, got.end.Refusal == nil, "%+v", got.end.Refusal)
					return
				}
				assert.Equal(t, got.end.Refusal.Code, code)
				assert.Assert(t, !strings.Contains(got.end.Refusal.Message, "the engine's text"))
			})
		})
	}
}

// Guards against a refusal of an answer that could restart on another version
// because the caller has seen none of its tokens.
func TestUnshownAnswerRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1", "v2")
		defer b.close()
		b.manager.Submit(spec("r", 50))
		time.Sleep(500 * time.Millisecond)
		r, _ := b.table.Get("r")
		b.fake.fault(r.Attempt.Upstream, "kill")
		time.Sleep(100 * time.Millisecond) // the loss is noticed before a caller reads
		got := b.read(t.Fatalf, "r")
		got.check(t.Fatalf, "r", 50)
		assert.Assert(t, got.end.Refusal == nil)
	})
}

// Guards against ended records that are never removed after a takeover.
func TestAdoptedEndedRecordIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(1, "v1")
		defer b.close()
		ended := generation.Record{Spec: spec("r", 1), Line: "l", Tokens: []string{"a"}, End: &generation.End{FinishReason: "stop"}}
		assert.Assert(t, b.manager.Adopt(t.Context(), ended, "l", 1))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, b.table.Len(), 0)
	})
}

// Guards against an instance that cannot take over a generation because it still
// runs an older line of it, and against output that mixes the two lines.
func TestAdoptReplacesAnOlderLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 50))
		old := b.table.NewCursor("r", 0)
		time.Sleep(time.Second)
		shown, err := old.Next(t.Context())
		assert.NilError(t, err)
		copied := generation.Record{
			Spec:   spec("r", 50),
			Line:   "other-l2",
			Forks:  []generation.Fork{{Line: "other-l1", Position: 5}},
			Tokens: slices.Clone(shown.Tokens[:5]),
			// The stream is unknown to the engine, as after the engine's restart.
			Attempt: generation.Attempt{Number: 1, Stream: "r.other-l1.1", Upstream: "e0", Version: "v1"},
		}
		assert.Assert(t, b.manager.Adopt(t.Context(), copied, "other-l1", 5))
		assert.Assert(t, !b.manager.Adopt(t.Context(), copied, "other-l1", 5), "the instance already runs the line")
		late, err := old.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, late.Removed)
		got, err := b.table.AwaitEnd(t.Context(), "r")
		assert.NilError(t, err)
		transcript{tokens: got.Tokens, end: got.End}.check(t.Fatalf, "r", 50)
		assert.Assert(t, got.End.Refusal == nil)
		for i, token := range got.Tokens[5:] {
			assert.Assert(t, !strings.Contains(token, string(shown.Line)), "token %d is of the older line: %s", i+5, token)
		}
	})
}

// Guards against a generation that ends before its last caller has been gone for
// the grace time, because the timer of an earlier caller expired.
func TestGraceCountsFromTheLastReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(1, "v1")
		defer b.close()
		b.manager.Submit(spec("r", 100_000))
		for range 2 {
			leave := b.manager.AddReader("r")
			time.Sleep(ReconnectGrace / 2)
			leave()
		}
		time.Sleep(ReconnectGrace * 3 / 4) // the first grace time has passed
		r, _ := b.table.Get("r")
		assert.Assert(t, r.End == nil)
		time.Sleep(ReconnectGrace / 2)
		r, _ = b.table.Get("r")
		assert.Equal(t, r.End.Refusal.Code, "caller_left")
	})
}

// Guards against an instance that cancels a stream which another instance still
// reads after it took the generation over, and against a stream that continues
// although its caller cannot reconnect.
func TestStreamIsCancelledOnlyIfCallerCannotReturn(t *testing.T) {
	for name, test := range map[string]struct {
		leave     func(*testbed)
		cancelled bool
	}{
		"streamed":     {func(b *testbed) { b.manager.AddReader("r")() }, false},
		"not streamed": {func(b *testbed) { b.manager.Abandon("r") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(1, "v1")
				defer b.close()
				b.manager.Submit(spec("r", 100_000))
				time.Sleep(time.Second)
				test.leave(b)
				time.Sleep(ReconnectGrace + time.Second)
				r, _ := b.table.Get("r")
				assert.Equal(t, r.End.Refusal.Code, "caller_left")
				b.fake.mu.Lock()
				defer b.fake.mu.Unlock()
				stream := b.fake.engines["e0"].streams[r.Attempt.Stream]
				assert.Equal(t, stream.cancelled, test.cancelled)
				assert.Assert(t, test.cancelled || stream.events == nil, "this instance still reads the stream")
				stream.cancelled = true // ends the fake engine's goroutine
			})
		})
	}
}

// Guards against a restart that discards tokens which the caller has seen,
// because they were shown between the decision and the restart.
func TestRestartKeepsShownTokens(t *testing.T) {
	b := newTestbed(1, "v1")
	defer b.close()
	b.table.Insert(generation.Record{Spec: spec("r", 9), Line: "l", Tokens: []string{"a"}, ShownTokens: 1})
	assert.Assert(t, !b.manager.restartLine("r"))
	r, _ := b.table.Get("r")
	assert.Equal(t, r.Line, model.LineID("l"))
}

// faultStep is one fault in a random sequence of faults.
type faultStep struct {
	engine model.UpstreamID
	kind   string
	pause  time.Duration // after the fault
}

func drawSteps(rt *rapid.T, engines int) []faultStep {
	kinds := []string{"kill", "revive", "freeze", "cut", "leave", "fail", "duplicate", "skip", "cross", "short", "truncate"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
		return faultStep{
			engine: model.UpstreamID(fmt.Sprintf("e%d", rapid.IntRange(0, engines-1).Draw(rt, "engine"))),
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			pause:  time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond,
		}
	}), 0, 25).Draw(rt, "steps")
}

// Guards against tokens that are lost, repeated, mixed or delivered to the wrong
// caller under random sequences of single and combined faults.
func TestGenerationsUnderRandomFaults(t *testing.T) {
	const engines, tokens = 5, 40
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "generations")
		steps := drawSteps(rt, engines)
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runScript(n, engines, tokens, steps) })
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
}

// runScript runs n generations under the given faults and returns the errors
// that their transcripts show.
func runScript(n, engines, tokens int, steps []faultStep) []string {
	b := newTestbed(engines, "v1", "v2")
	defer b.close()
	var mu sync.Mutex
	var failures []string
	fail := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		failures = append(failures, fmt.Sprintf(format, args...))
	}
	var callers sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		b.manager.Submit(spec(id, tokens))
		callers.Go(func() { b.read(fail, model.RequestID(id)).check(fail, id, tokens) })
	}
	for _, s := range steps {
		b.fake.fault(s.engine, s.kind)
		time.Sleep(s.pause)
	}
	for i := range engines {
		b.fake.fault(model.UpstreamID(fmt.Sprintf("e%d", i)), "revive")
	}
	callers.Wait()
	return failures
}

// heldGuard holds each placement back until the test releases it.
type heldGuard struct {
	openGuard
	placed chan func()
	unused chan suspicion.Placement
}

func (g heldGuard) Place(req suspicion.PlaceRequest, then func(suspicion.Placement, *model.Refusal)) {
	where := suspicion.Placement{Upstream: "e0", Exclusive: true}
	g.placed <- func() { g.pool.Post(key(req.ID), worker.Func(func() { then(where, nil) })) }
}

func (g heldGuard) ReleasePlacement(_ suspect.Fingerprint, where suspicion.Placement) {
	g.unused <- where
}

// Guards against a permit that is used up and an engine that stays reserved
// because the request ended before its placement arrived.
func TestPlacementOfEndedRequestIsReleased(t *testing.T) {
	b := newTestbed(1, "v1")
	defer b.close()
	g := heldGuard{openGuard{b.pool}, make(chan func(), 1), make(chan suspicion.Placement, 1)}
	b.manager.opts.Guard = g
	b.manager.Submit(spec("r", 3))
	release := <-g.placed
	b.manager.Abandon("r")
	release()
	assert.Equal(t, (<-g.unused).Upstream, model.UpstreamID("e0"))
}

// Guards against a generation that is ended because its engine pauses, when only that
// engine's stream has the tokens that the caller has seen.
func TestPauseOfTheOnlyStreamIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(2, "v1")
		defer b.close()
		stream := model.StreamID("r.other.1")
		b.fake.start(model.Upstream{ID: "e0", Version: "v1"}, StreamRequest{Spec: spec("r", 50), Stream: stream}, nil)
		time.Sleep(fakePrefill + 7*fakeInterval - time.Millisecond)
		b.fake.fault("e0", "freeze")
		copied := generation.Record{
			Spec:    spec("r", 50),
			Line:    "l2",
			Tokens:  []string{fakeToken("v1", stream, 0), fakeToken("v1", stream, 1)},
			Attempt: generation.Attempt{Number: 1, Stream: stream, Upstream: "e0", Version: "v1"},
		}
		assert.Assert(t, b.manager.Adopt(t.Context(), copied, "l1", 10))
		time.Sleep(1200 * time.Millisecond)
		b.fake.fault("e0", "revive")
		got, err := b.table.AwaitEnd(t.Context(), "r")
		assert.NilError(t, err)
		assert.Assert(t, got.End.Refusal == nil, "%v", got.End.Refusal)
		transcript{tokens: got.Tokens, end: got.End}.check(t.Fatalf, "r", 50)
	})
}
