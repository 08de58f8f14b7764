package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// Guards against tokens that differ from those that Token predicts, and against
// wrong times for prefill and decode.
func TestStreamTokensAndTiming(t *testing.T) {
	runWithEngine(t, Options{PrefillRate: 1000, TokenTime: 10 * time.Millisecond}, func(t *testing.T, h harness) {
		prompt := strings.Repeat("p", 600) // 2 complete blocks
		began := time.Now()
		got := collect(t, h.start(request("a", prompt, 5)), 0)
		assert.DeepEqual(t, got.tokens, expectedTokens(prompt, 0, 5))
		assert.Assert(t, got.done && got.total == 5 && got.finish == finishLength)
		assert.Equal(t, time.Since(began), 640*time.Millisecond)
		began = time.Now()
		collect(t, h.start(request("b", prompt, 1)), 0)
		assert.Equal(t, time.Since(began), 88*time.Millisecond)
		stats := h.engine.Stats()
		assert.Equal(t, stats.PrefillBytes, int64(688))
		assert.Equal(t, stats.CachedBytes, int64(512))
		assert.Equal(t, stats.PromptRuns[PromptHash(prompt)], int64(2))
	})
}

// Guards against a resumed stream that repeats or omits tokens, and against two
// attempts that produce equal tokens although Noise is set.
func TestContinueFromAndNoise(t *testing.T) {
	runWithEngine(t, Options{}, func(t *testing.T, h harness) {
		resumed := request("a", "p", 6)
		resumed.ContinueFrom = expectedTokens("p", 0, 4)
		got := collect(t, h.start(resumed), 0)
		assert.DeepEqual(t, got.tokens, expectedTokens("p", 4, 6))
		assert.Equal(t, got.positions[0], 4)
		assert.Equal(t, got.total, 6)
		stopped := request("b", "p", 9)
		stopped.Stop = []string{Token("v1", "p", 0, 2)}
		assert.Equal(t, collect(t, h.start(stopped), 0).finish, finishStop)
	})
	runWithEngine(t, Options{Noise: true}, func(t *testing.T, h harness) {
		one := collect(t, h.start(request("a.l.1", "p", 3)), 0).tokens
		two := collect(t, h.start(request("a.l.2", "p", 3)), 0).tokens
		assert.Assert(t, one[0] != two[0])
		assert.Equal(t, two[2], NoisyToken("v1", "p", 0, "a.l.2", 2))
	})
}

// Guards against a batch that runs more streams than it has slots or ignores
// priorities, and against a reported load without LoadLag.
func TestPriorityOrdersTheQueue(t *testing.T) {
	runWithEngine(t, Options{Slots: 1, TokenTime: time.Second, LoadLag: 500 * time.Millisecond}, func(t *testing.T, h harness) {
		first := h.start(request("first", "p", 4))
		time.Sleep(time.Millisecond)
		batch, resume := request("batch", "p", 1), request("resume", "p", 1)
		batch.Priority, resume.Priority = int(model.PriorityBatch), int(model.PriorityResume)
		slow, fast := h.start(batch), h.start(resume)
		health := getJSON[engineapi.Health](h, engineapi.HealthPath)
		assert.Equal(t, health.Running+health.Waiting, 0, "the load does not lag")
		time.Sleep(600 * time.Millisecond)
		health = getJSON[engineapi.Health](h, engineapi.HealthPath)
		assert.Equal(t, health.Running, 1)
		assert.Equal(t, health.Waiting, 2)
		assert.Equal(t, time.Since(health.LoadAt), 500*time.Millisecond)
		collect(t, first, 0)
		collect(t, fast, 0)
		between := time.Now()
		collect(t, slow, 0)
		assert.Assert(t, time.Since(between) > 0)
	})
}

// Guards against a stream that ends with its connection, and against a stream that
// keeps its slot after the grace time.
func TestStreamOutlivesItsConnectionForTheGraceTime(t *testing.T) {
	runWithEngine(t, Options{Grace: time.Second, TokenTime: 100 * time.Millisecond}, func(t *testing.T, h harness) {
		ctx, cancel := context.WithCancel(t.Context())
		got := collect(t, h.call(ctx, "POST", engineapi.CompletionsPath, request("a", "p", 12)), 3)
		cancel()
		time.Sleep(500 * time.Millisecond)
		rest := collect(t, h.call(t.Context(), "GET", engineapi.StreamPath+"a?after=3", nil), 0)
		assert.DeepEqual(t, append(got.tokens, rest.tokens...), expectedTokens("p", 0, 12))
		assert.Assert(t, rest.done)
		assert.Equal(t, h.engine.Stats().Tokens, int64(12))

		ctx, cancel = context.WithCancel(t.Context())
		collect(t, h.call(ctx, "POST", engineapi.CompletionsPath, request("b", "p", 1000)), 1)
		cancel()
		time.Sleep(1100 * time.Millisecond)
		code, reason := h.status("GET", engineapi.StreamPath+"b", nil)
		assert.Equal(t, code, http.StatusNotFound)
		assert.Equal(t, reason, errNoStream.code)
		assert.Equal(t, h.engine.Stats().Expired, int64(1))
	})
}

// Guards against a cancelled stream that keeps its slot, and against two streams
// with the same ID.
func TestCancelFreesTheSlot(t *testing.T) {
	runWithEngine(t, Options{Slots: 1}, func(t *testing.T, h harness) {
		long := h.start(request("a", "p", 1_000_000))
		code, reason := h.status("POST", engineapi.CompletionsPath, request("a", "p", 1))
		assert.Equal(t, code, http.StatusConflict)
		assert.Equal(t, reason, errStreamExists.code)
		code, _ = h.status("DELETE", engineapi.StreamPath+"a", nil)
		assert.Equal(t, code, http.StatusNoContent)
		assert.Assert(t, collect(t, long, 0).err != nil)
		assert.Assert(t, collect(t, h.start(request("b", "p", 1)), 0).done)
	})
}

// Guards against streams and cached blocks that survive the death of an engine.
func TestKillLosesAllState(t *testing.T) {
	runWithEngine(t, Options{}, func(t *testing.T, h harness) {
		prompt := strings.Repeat("p", 1024)
		stream := h.start(request("a", prompt, 1_000_000))
		time.Sleep(time.Second)
		before := h.engine.Incarnation()
		h.engine.Kill()
		got := collect(t, stream, 0)
		assert.Assert(t, got.err != nil && !got.done)
		_, err := h.http.Get("http://engine" + engineapi.HealthPath)
		assert.Assert(t, err != nil)
		h.engine.Restart()
		assert.Assert(t, getJSON[engineapi.Health](h, engineapi.HealthPath).Incarnation > before)
		code, _ := h.status("GET", engineapi.StreamPath+"a", nil)
		assert.Equal(t, code, http.StatusNotFound)
		collect(t, h.start(request("b", prompt, 1)), 0)
		assert.Equal(t, h.engine.Stats().CachedBytes, int64(0))
	})
}

// Guards against an engine that leaves without a notice, or that keeps streams
// beyond the deadline.
func TestLeavingNotice(t *testing.T) {
	left := make(chan struct{})
	runWithEngine(t, Options{OnLeft: func() { close(left) }}, func(t *testing.T, h harness) {
		stream := h.start(request("a", "p", 1_000_000))
		code, _ := h.status("POST", standin.LeavePath, engineapi.LeavingNotice{DeadlineMS: 2000})
		assert.Equal(t, code, http.StatusNoContent)
		response := h.call(t.Context(), "GET", engineapi.HealthPath, nil)
		assert.Equal(t, response.Header.Get(engineapi.HeaderLeaving), "true")
		_ = response.Body.Close()
		assert.Equal(t, getJSON[engineapi.Health](h, engineapi.HealthPath).Status, engineapi.StatusLeaving)
		assert.Assert(t, collect(t, h.start(request("b", "p", 1)), 0).leaving)
		began := time.Now()
		got := collect(t, stream, 0)
		assert.Assert(t, got.leaving && !got.done && got.err != nil)
		assert.Assert(t, time.Since(began) <= 2*time.Second)
		<-left
		code, _ = h.status("POST", engineapi.CompletionsPath, request("c", "p", 1))
		assert.Equal(t, code, http.StatusServiceUnavailable)
		assert.Equal(t, h.engine.Stats().AfterLeaving, int64(1))
	})
}

// Guards against orders of a former lease holder being applied although fencing
// is honoured, and against a load that takes no time.
func TestOrdersAreFencedAndTakeTime(t *testing.T) {
	for mode, stale := range map[model.FencingMode]int{
		model.FencingHonoured: http.StatusConflict, model.FencingIgnored: http.StatusOK,
	} {
		runWithEngine(t, Options{LoadTime: 3 * time.Second, Fencing: mode}, func(t *testing.T, h harness) {
			v2 := engineapi.State{Model: "m", Version: "v2", Adapters: []string{"x"}}
			code, _ := h.status("POST", engineapi.OrdersPath, engineapi.Order{Fencing: 7, Desired: v2})
			assert.Equal(t, code, http.StatusOK)
			time.Sleep(2 * time.Second)
			_, _ = h.status("POST", engineapi.OrdersPath, engineapi.Order{Fencing: 7, Desired: v2})
			assert.Equal(t, getJSON[engineapi.StateReply](h, engineapi.StatePath).Actual.Version, "v1")
			time.Sleep(1100 * time.Millisecond) // the repeated order does not restart the load
			assert.DeepEqual(t, getJSON[engineapi.StateReply](h, engineapi.StatePath),
				engineapi.StateReply{Actual: v2, Desired: v2, Fencing: 7})
			code, reason := h.status("POST", engineapi.CompletionsPath, request("a", "p", 1))
			assert.Equal(t, code, http.StatusConflict)
			assert.Equal(t, reason, errWrongVersion.code)
			old := engineapi.State{Model: "m", Version: "v1"}
			code, _ = h.status("POST", engineapi.OrdersPath, engineapi.Order{Fencing: 6, Desired: old})
			assert.Equal(t, code, stale)
			assert.Equal(t, h.engine.Stats().StaleOrders, int64(1))
		})
	}
}

// Guards against cache events without delay and loss, which would hide defects in
// the code that reads them.
func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	runWithEngine(t, Options{CacheBlocks: 8, CacheEventDelay: time.Second, CacheEventLoss: 0.3}, func(t *testing.T, h harness) {
		prompt := strings.Repeat("p", 16*BlockBytes)
		collect(t, h.start(request("a", prompt, 1)), 0)
		assert.Equal(t, len(getJSON[engineapi.CacheEvents](h, engineapi.CacheEventsPath).Events), 0)
		time.Sleep(2 * time.Second)
		events := getJSON[engineapi.CacheEvents](h, engineapi.CacheEventsPath).Events
		last := events[len(events)-1]
		assert.Assert(t, len(events) < 24 && len(events) > 0) // 16 added, 8 evicted
		after := getJSON[engineapi.CacheEvents](h, engineapi.CacheEventsPath+"?after=20").Events
		assert.Equal(t, after[len(after)-1], last)
		assert.Assert(t, after[0].Sequence > 20)
		synctest.Wait()
	})
}
