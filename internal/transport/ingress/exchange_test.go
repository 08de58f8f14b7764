package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// received is what a caller got of a response.
type received struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

// exchangeResponse has an exchange write the response that reply queues, and returns
// what the caller got and what was logged.
func exchangeResponse(t *testing.T, reply func(x *exchange)) (received, []string) {
	t.Helper()
	logged := memory.New()
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Log: &log.Logger{Handler: logged, Level: log.DebugLevel}})
	written := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(written)
		x := newExchange(s, w, "r1")
		reply(x)
		x.run(r)
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	<-written
	if err != nil {
		return received{err: err}, causes(logged)
	}
	body, err := io.ReadAll(resp.Body)
	assert.Check(t, resp.Body.Close())
	return received{resp.StatusCode, resp.Header, string(body), err}, causes(logged)
}

func causes(logged *memory.Handler) []string {
	var all []string
	for _, e := range logged.Entries {
		if cause, ok := e.Fields["cause"].(string); ok {
			all = append(all, cause)
		}
	}
	return all
}

// Guards against a second head in a response: its fields and its body, or the text of a
// refusal, would appear in the middle of a stream.
func TestSecondHeadAbortsTheResponse(t *testing.T) {
	for name, second := range map[string]func(x *exchange){
		"answer":  func(x *exchange) { x.Answer(forward.Answer{Status: 400, Body: []byte("the engine's text")}) },
		"empty":   func(x *exchange) { x.Answer(forward.Answer{Status: 204}) },
		"refusal": func(x *exchange) { x.Refuse(&model.Refusal{Code: problem.CodeLeaving, Message: "the engine's text"}) },
		"stream":  func(x *exchange) { x.Begin(200, nil); x.End() },
	} {
		t.Run(name, func(t *testing.T) {
			got, logged := exchangeResponse(t, func(x *exchange) {
				x.Begin(200, forward.Header{"From": {"first"}})
				x.Events([]byte("id: 1\n\n"))
				second(x)
			})
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Assert(t, strings.HasPrefix("id: 1\n\n", got.body), "%q", got.body)
			assert.DeepEqual(t, logged, []string{causeSecondHead})
		})
	}
}

// Guards against events without a status and a header of their engine: the server would
// send a status of its own.
func TestEventsWithoutAHeadAbortTheResponse(t *testing.T) {
	for name, reply := range map[string]func(x *exchange){
		"events": func(x *exchange) { x.Events([]byte("id: 1\n\n")); x.End() },
		"end":    func(x *exchange) { x.End() },
	} {
		t.Run(name, func(t *testing.T) {
			got, logged := exchangeResponse(t, reply)
			assert.Assert(t, got.err != nil, "status %d", got.status)
			assert.DeepEqual(t, logged, []string{causeNoHead})
		})
	}
}

// Guards against whole answers that are changed, and against an answer without a body
// that is sent with the length of one.
func TestWholeAnswersAreUnchanged(t *testing.T) {
	for _, want := range []forward.Answer{
		{Status: 200, Body: []byte("body"), Header: forward.Header{"From": {"first"}}},
		{Status: 204, Header: forward.Header{"From": {"first"}}},
		{Status: 206, Body: []byte("part"), Header: forward.Header{"From": {"first"}, "Content-Range": {"bytes 0-3/9"}}},
		{Status: 500, Body: []byte("error"), Header: forward.Header{"From": {"first"}}},
	} {
		got, logged := exchangeResponse(t, func(x *exchange) { x.Answer(want) })
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, want.Status)
		assert.Equal(t, got.body, string(want.Body))
		for name, values := range want.Header {
			assert.DeepEqual(t, got.header[name], values)
		}
		assert.Equal(t, got.header.Get("Content-Length") != "", want.Status != http.StatusNoContent)
		assert.Equal(t, len(logged), 0)
	}
}

// Guards against an aborted stream that looks complete to an HTTP/1.0 caller, whose
// response has no end but that of its connection.
func TestAbortResetsAConnectionThatFramesTheResponse(t *testing.T) {
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Log: &log.Logger{Handler: memory.New()}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(s, w, "r1")
		x.Begin(200, nil)
		x.Events([]byte("id: 1\n\n"))
		time.AfterFunc(50*time.Millisecond, x.Abort)
		x.run(r)
	})
	go func() { _ = s.http.Serve(listener) }()
	defer func() { _ = s.http.Close() }()
	for _, version := range []string{"1.0", "1.1"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /a HTTP/"+version+"\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, "HTTP/%s: the response looks complete", version)
		assert.NilError(t, conn.Close())
	}
}
