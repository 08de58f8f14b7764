package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/tmaxmax/go-sse"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
)

// pipeListener connects clients and a server in memory. Unlike network I/O,
// waiting on a pipe counts as durably blocked in a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// harness is an engine with a client, inside a synctest bubble.
type harness struct {
	t      *testing.T
	engine *Engine
	http   *http.Client
}

func runWithEngine(t *testing.T, opts Options, test func(t *testing.T, h harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		opts.Model, opts.Version = "m", "v1"
		engine := New(opts)
		listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: engine}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: listener.dial}
		test(t, harness{t, engine, &http.Client{Transport: transport}})
		engine.Close()
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

// call makes a request. The caller reads and closes the body.
func (h harness) call(ctx context.Context, method, path string, body any) *http.Response {
	h.t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(h.t, err)
	request, err := http.NewRequestWithContext(ctx, method, "http://engine"+path, bytes.NewReader(encoded))
	assert.NilError(h.t, err)
	response, err := h.http.Do(request)
	assert.NilError(h.t, err)
	return response
}

// status makes a request and returns the HTTP status and the error code.
func (h harness) status(method, path string, body any) (int, string) {
	h.t.Helper()
	response := h.call(h.t.Context(), method, path, body)
	defer func() { _ = response.Body.Close() }()
	var reply engineapi.ErrorReply
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply.Error.Code
}

func getJSON[T any](h harness, path string) T {
	h.t.Helper()
	response := h.call(h.t.Context(), "GET", path, nil)
	defer func() { _ = response.Body.Close() }()
	var got T
	assert.NilError(h.t, json.NewDecoder(response.Body).Decode(&got))
	return got
}

func request(id, prompt string, tokens int) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{Model: "m", Version: "v1", Prompt: prompt, Stream: true, MaxTokens: tokens, StreamID: id}
}

func (h harness) start(request engineapi.CompletionRequest) *http.Response {
	h.t.Helper()
	return h.call(h.t.Context(), "POST", engineapi.CompletionsPath, request)
}

// received holds the events that arrived over one connection.
type received struct {
	tokens    []string
	positions []int
	ids       []string
	finish    string
	total     int
	leaving   bool
	done      bool
	err       error
}

// collect reads up to max tokens, or to the end of the connection if max is 0.
func collect(t *testing.T, response *http.Response, max int) received {
	t.Helper()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	var got received
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			got.err = err
			break
		}
		got.add(t, event)
		if max > 0 && len(got.tokens) >= max {
			return got
		}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return got
}

func (r *received) add(t *testing.T, event sse.Event) {
	t.Helper()
	if event.Type == engineapi.EventLeaving {
		r.leaving = true
		return
	}
	if event.Data == engineapi.EndOfStream {
		r.done = true
		return
	}
	var chunk engineapi.Chunk
	assert.NilError(t, json.Unmarshal([]byte(event.Data), &chunk))
	choice := chunk.Choices[0]
	if choice.FinishReason != "" {
		r.finish, r.total = choice.FinishReason, choice.Position
		return
	}
	r.ids = append(r.ids, chunk.ID)
	r.positions = append(r.positions, choice.Position)
	r.tokens = append(r.tokens, choice.Tokens...)
}

func expectedTokens(prompt string, from, to int) []string {
	var tokens []string
	for position := from; position < to; position++ {
		tokens = append(tokens, Token("v1", prompt, 0, position))
	}
	return tokens
}
