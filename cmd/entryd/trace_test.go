package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/service"
)

const (
	firstCaller  = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	secondCaller = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	streamBody   = `{"model":"writer","prompt":"Write the history.","max_tokens":%d,"seed":7,"stream":true}`
)

// testEngine is a stand-in that records the trace contexts that it receives.
type testEngine struct {
	*engine.Engine
	up model.Upstream

	mu       sync.Mutex
	received []string
}

func startEngine(t *testing.T, id string) *testEngine {
	t.Helper()
	e := &testEngine{Engine: engine.New(engine.Options{Model: testModel, Version: "v1", TokenTime: 10 * time.Millisecond})}
	t.Cleanup(e.Close)
	e.up = startUpstream(t, id, model.KindEngine, testModel, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.received = append(e.received, r.Header.Get("traceparent"))
		e.mu.Unlock()
		e.ServeHTTP(w, r)
	}))
	return e
}

func (e *testEngine) receivedTrace(traceParent string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.received, traceParent)
}

// spansNamed returns the ended spans with one of the names, ordered by start.
func spansNamed(names ...string) tracetest.SpanStubs {
	var found tracetest.SpanStubs
	for _, s := range spans.GetSpans() {
		if slices.Contains(names, s.Name) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b tracetest.SpanStub) int { return cmp.Compare(a.StartTime.UnixNano(), b.StartTime.UnixNano()) })
	return found
}

// awaitSpans waits for a number of spans with one of the names.
func awaitSpans(t *testing.T, count int, names ...string) tracetest.SpanStubs {
	t.Helper()
	eventually(t, fmt.Sprintf("%d spans %v", count, names), func() bool { return len(spansNamed(names...)) >= count })
	return spansNamed(names...)
}

func traceParentOf(s tracetest.SpanStub) string {
	return fmt.Sprintf("00-%s-%s-01", s.SpanContext.TraceID(), s.SpanContext.SpanID())
}

func checkChild(t *testing.T, child, parent tracetest.SpanStub) {
	t.Helper()
	assert.Equal(t, child.Parent.SpanID(), parent.SpanContext.SpanID(), "%s is no child of %s", child.Name, parent.Name)
	assert.Equal(t, child.SpanContext.TraceID(), parent.SpanContext.TraceID())
}

func checkLinked(t *testing.T, later, earlier tracetest.SpanStub) {
	t.Helper()
	assert.Equal(t, len(later.Links), 1, "links of %s", later.Name)
	assert.Equal(t, later.Links[0].SpanContext.SpanID(), earlier.SpanContext.SpanID())
	assert.Equal(t, later.Links[0].SpanContext.TraceID(), earlier.SpanContext.TraceID())
}

// Guards against attempts after an engine's death that have no link to the
// attempt before, and against engines that do not get the trace context.
func TestSpansOfAResume(t *testing.T) {
	spans.Reset()
	engines := []*testEngine{startEngine(t, "e0"), startEngine(t, "e1")}
	m := startMembers(t, 1, "http://127.0.0.1:9", engines[0].up, engines[1].up)[0]
	resp := post(t.Context(), t, "http://"+m.address+"/v1/completions", fmt.Sprintf(streamBody, 60), "traceparent", firstCaller)
	readEvents(t, resp, func(id model.RequestID, events int) bool {
		if events == 10 {
			r, _ := m.tables.generations.Get(id)
			engines[slices.IndexFunc(engines, func(e *testEngine) bool { return e.up.ID == r.Attempt.Upstream })].Kill()
		}
		return true
	})

	root := awaitSpans(t, 1, "completions")[0]
	assert.Equal(t, fmt.Sprintf("00-%s-%s-01", root.Parent.TraceID(), root.Parent.SpanID()), firstCaller)
	attempts := awaitSpans(t, 3, "engine.start", "engine.attach")
	assert.Equal(t, attempts[0].Name, "engine.start")
	assert.Equal(t, attempts[len(attempts)-1].Name, "engine.start", "the last attempt runs on the other engine")
	assert.Equal(t, len(attempts[0].Links), 0)
	for i, attempt := range attempts {
		checkChild(t, attempt, root)
		if i > 0 {
			checkLinked(t, attempt, attempts[i-1])
		}
		received := engines[0].receivedTrace(traceParentOf(attempt)) || engines[1].receivedTrace(traceParentOf(attempt))
		assert.Assert(t, received, "no engine received the context of %s", attempt.Name)
	}
}

// Guards against a takeover without a link to the attempt of the lost instance,
// and against peer messages outside of the request's trace.
func TestSpansOfATakeover(t *testing.T) {
	spans.Reset()
	e := startEngine(t, "e0")
	members := startMembers(t, 2, "http://127.0.0.1:9", e.up)
	owner, other := members[0], members[1]
	ctx, cancel := context.WithCancel(t.Context())
	resp := post(ctx, t, "http://"+owner.address+"/v1/completions", fmt.Sprintf(streamBody, 300), "traceparent", firstCaller)
	last := readEvents(t, resp, func(id model.RequestID, _ int) bool {
		r, _ := owner.tables.generations.Get(id)
		return r.CopiedTokens == 0
	})
	owner.crash(other)
	cancel()

	resumed := post(t.Context(), t, "http://"+other.address+"/v1/completions", "", "Last-Event-ID", last, "traceparent", secondCaller)
	readEvents(t, resumed, readAll)

	roots := awaitSpans(t, 2, "completions")
	attached := awaitSpans(t, 1, "engine.attach")[0]
	checkChild(t, attached, roots[1])
	assert.Equal(t, attached.SpanContext.TraceID().String(), secondCaller[3:35])
	assert.Assert(t, e.receivedTrace(traceParentOf(attached)))
	// The owner's own attempt ends with its connection to the engine, when the
	// stream ends.
	first := awaitSpans(t, 1, "engine.start")[0]
	checkChild(t, first, roots[0])
	checkLinked(t, attached, first)

	asked, served := awaitSpans(t, 1, "peer.request log.open")[0], awaitSpans(t, 1, "peer.serve log.open")[0]
	checkChild(t, asked, roots[0])
	checkChild(t, served, asked)
}

// Guards against claims and calls outside of the caller's trace.
func TestSpansOfACall(t *testing.T) {
	spans.Reset()
	store := httptest.NewServer(platform.New(platform.Options{}))
	defer store.Close()
	desk := service.New(service.Options{Name: testService, Version: "v1", Routes: []service.Route{{Method: http.MethodPost, Path: "/bookings"}}})
	m := startMembers(t, 1, store.URL, startUpstream(t, "s0", model.KindService, testService, desk))[0]
	resp := post(t.Context(), t, "http://"+m.address+"/bookings", `{"slot":1}`, "Idempotency-Key", "k", "traceparent", firstCaller)
	assert.Equal(t, resp.StatusCode, http.StatusOK)

	root := awaitSpans(t, 1, "call")[0]
	checkChild(t, awaitSpans(t, 1, "service call")[0], root)
	claims := awaitSpans(t, 2, "platform PUT row") // the claim and its result
	for _, claim := range claims {
		checkChild(t, claim, root)
	}
}
