package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/telemetry"
)

// Texts that must not appear in any log line.
const (
	markedPrompt = "MARKED-PROMPT"
	markedAnswer = "MARKED-ANSWER"
	markedSecret = "MARKED-SECRET"
	markedKey    = "MARKED-KEY" // a caller's idempotency key
)

// lines receives the log of the test process at level debug.
var lines = captureLog()

func captureLog() *lockedBuffer {
	b := &lockedBuffer{}
	handler, err := telemetry.NewHandler(b, telemetry.FormatJSON)
	if err != nil {
		panic(err)
	}
	log.SetHandler(handler)
	log.SetLevel(log.DebugLevel)
	return b
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// take returns what was written since the last call.
func (b *lockedBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	b.buf.Reset()
	return text
}

// line is a log line in JSON.
type line struct {
	Part    string         `json:"part"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// leakyEngine is an engine whose failures quote the prompt or marked text. faults
// lists the failures of the next streams; streams after them succeed.
type leakyEngine struct {
	mu     sync.Mutex
	faults []string
}

func (e *leakyEngine) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return ""
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault
}

func (e *leakyEngine) set(faults ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

func (e *leakyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	var req engineapi.CompletionRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		http.Error(w, "", http.StatusNotFound) // an attach
		return
	}
	fault := e.next()
	var status int
	if _, err := fmt.Sscanf(fault, "status %d", &status); err == nil {
		var reply engineapi.ErrorReply
		reply.Error.Message = "cannot run " + req.Prompt
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
	first := len(req.ContinueFrom)
	chunk := func(id string, position int, finish string, tokens ...string) {
		data, _ := json.Marshal(engineapi.Chunk{ID: id, Choices: []engineapi.Choice{{Position: position, Tokens: tokens, FinishReason: finish}}})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	chunk(req.StreamID, first, "", markedAnswer)
	switch fault {
	case "other stream":
		chunk(markedAnswer, first+1, "", markedAnswer)
	case "no JSON":
		_, _ = fmt.Fprintf(w, "data: %s\n\n", markedAnswer)
	case "wrong JSON":
		_, _ = fmt.Fprintf(w, "data: {\"choices\":%q}\n\n", markedAnswer)
	case "leaving":
		_, _ = fmt.Fprintf(w, "event: leaving\ndata: %s\n\n", markedAnswer)
	case "cut":
	default:
		chunk(req.StreamID, first+1, "stop")
	}
}

// Guards against prompts, answers and secrets in the log, also where an engine or
// a service quotes them in an error, and against log lines of a request without
// its request ID.
func TestLogsHoldNoTextAndNameTheRequest(t *testing.T) {
	e := &leakyEngine{}
	desk := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, markedAnswer, http.StatusInternalServerError)
	})
	m := startMembers(t, 1, "http://127.0.0.1:9",
		startUpstream(t, "e0", model.KindEngine, testModel, e), startUpstream(t, "e1", model.KindEngine, testModel, e),
		startUpstream(t, "s0", model.KindService, testService, desk))[0]
	lines.take()
	url := "http://" + m.address
	generation := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":8,"stream":true}`, testModel, markedPrompt)
	secret := []string{"Authorization", "Bearer " + markedSecret, "Idempotency-Key", markedKey}
	tests := []struct {
		name, path, body string
		faults           []string
		header           []string
		wantLines        bool // the request must write log lines
	}{
		{name: "whole", path: "/v1/completions", body: generation},
		{name: "rejected", path: "/v1/completions", body: generation, faults: []string{"status 400"}, wantLines: true},
		{name: "failed", path: "/v1/completions", body: generation, faults: []string{"status 500", "status 429"}, wantLines: true},
		{name: "wrong version", path: "/v1/completions", body: generation, faults: []string{"status 409"}, wantLines: true},
		{name: "other stream", path: "/v1/completions", body: generation, faults: []string{"other stream"}, wantLines: true},
		{name: "no JSON", path: "/v1/completions", body: generation, faults: []string{"no JSON"}, wantLines: true},
		{name: "wrong JSON", path: "/v1/completions", body: generation, faults: []string{"wrong JSON"}, wantLines: true},
		{name: "cut", path: "/v1/completions", body: generation, faults: []string{"cut"}, wantLines: true},
		{name: "unknown model", path: "/v1/completions", body: `{"model":"` + markedPrompt + `","prompt":"x"}`, wantLines: true},
		{name: "bad body", path: "/v1/chat/completions", body: markedPrompt, wantLines: true},
		{name: "bad event ID", path: "/v1/completions", header: []string{"Last-Event-ID", markedPrompt}, wantLines: true},
		{name: "unknown route", path: "/" + markedPrompt, body: markedPrompt, wantLines: true},
		{name: "call without platform", path: "/bookings", body: markedPrompt, wantLines: true},
		// This case comes last, as an engine gets no work after its leaving notice.
		{name: "leaving", path: "/v1/completions", body: generation, faults: []string{"leaving"}, wantLines: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e.set(test.faults...)
			resp := post(t.Context(), t, url+test.path, test.body, append(test.header, secret...)...)
			_, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			checkLines(t, resp.Header.Get(problem.HeaderRequestID), test.wantLines)
		})
	}
	t.Run("caller leaves", func(t *testing.T) {
		e.set()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		resp := post(ctx, t, url+"/v1/completions", generation, secret...)
		cancel()
		checkLines(t, resp.Header.Get(problem.HeaderRequestID), false)
	})
}

// checkLines checks that the log holds no marked text and that each line of the
// request has its ID. With wantLines the request must have logged some.
func checkLines(t *testing.T, request string, wantLines bool) {
	t.Helper()
	text := lines.take()
	for _, mark := range []string{markedPrompt, markedAnswer, markedSecret, markedKey} {
		assert.Check(t, !strings.Contains(text, mark), "%s is in the log: %s", mark, text)
	}
	ofRequest := 0
	decoder := json.NewDecoder(strings.NewReader(text))
	for decoder.More() {
		var l line
		assert.NilError(t, decoder.Decode(&l))
		switch l.Part {
		case "callers", "relay", "call":
			assert.Check(t, l.Fields["request_id"] == request, "line of request %s: %+v", request, l)
			ofRequest++
		}
	}
	assert.Check(t, !wantLines || ofRequest > 0, "request %s has no line: %s", request, text)
}

// Guards against log lines on another instance that lack the ID of the request
// whose message they are about.
func TestPeerLinesNameTheRequest(t *testing.T) {
	members := startMembers(t, 2, "http://127.0.0.1:9")
	lines.take()
	const request = "i1-ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	resp := post(t.Context(), t, "http://"+members[0].address+"/v1/completions", "", "Last-Event-ID", request+".LINE.5")
	assert.Equal(t, resp.Header.Get(problem.HeaderRequestID), request)
	var text string
	eventually(t, "the owner logs the refused message", func() bool {
		text += lines.take()
		return strings.Contains(text, "peer: log.follow message failed")
	})
	decoder := json.NewDecoder(strings.NewReader(text))
	for decoder.More() {
		var l line
		assert.NilError(t, decoder.Decode(&l))
		assert.Equal(t, l.Fields["request_id"], request, "%+v", l)
	}
}
