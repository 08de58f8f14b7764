package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

type server struct{ *rawhttp.Server }

func startServer(t *testing.T, answer rawhttp.Answer) server {
	t.Helper()
	s, err := rawhttp.Start(answer)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return server{s}
}

func ok(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// dropSecond answers the first request on a connection and closes the connection
// without an answer to the second one, which counts as run.
func dropSecond(n int, conn net.Conn, _ *http.Request) bool {
	if n > 1 {
		return false
	}
	ok(conn)
	return true
}

func stampCall() call.Request {
	return call.Request{
		ID: "i1-r1", Method: http.MethodPost, Path: "/stamp", Body: []byte("permit 7"), IdempotencyKey: "k1",
		Route: model.Route{Method: http.MethodPost, Path: "/stamp"},
	}
}

func (s server) upstream() model.Upstream {
	return model.Upstream{ID: "s1", Address: s.Address()}
}

// Guards against a resend by net/http: its default client sends a keyed POST
// again when a reused connection dies after the upstream has run the request.
func TestKeyedPostIsSentOnce(t *testing.T) {
	s := startServer(t, dropSecond)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.upstream().Address+"/stamp", bytes.NewReader([]byte("permit 7")))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k1")
		resp, err := client.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, s.Requests(), int32(3), "the default client resends")
	client.CloseIdleConnections()

	s = startServer(t, dropSecond)
	c := New()
	for range 2 {
		_, err := c.Send(t.Context(), s.upstream(), stampCall())
		assert.NilError(t, err)
	}
	assert.Equal(t, s.Requests(), int32(2), "this client does not resend")
}

// Guards against a request that is sent again, or reported as not sent, when the
// upstream closes the connection after it ran the request. Requests with and
// without a body are tried.
func TestDroppedConnectionCountsAsSent(t *testing.T) {
	s := startServer(t, func(int, net.Conn, *http.Request) bool { return false })
	for _, body := range [][]byte{[]byte("permit 7"), nil} {
		before := s.Requests()
		req := stampCall()
		req.Body = body
		_, err := New().Send(t.Context(), s.upstream(), req)
		var sendErr *call.SendError
		assert.Assert(t, errors.As(err, &sendErr))
		assert.Assert(t, sendErr.Sent)
		assert.Equal(t, s.Requests()-before, int32(1))
	}
}

// Guards against a call that is reported as sent, and so has an unknown outcome,
// although the connection was refused or the deadline had passed.
func TestNoConnectionCountsAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := model.Upstream{ID: "s1", Address: l.Addr().String()}
	assert.NilError(t, l.Close())
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	live := startServer(t, dropSecond)
	for _, try := range []struct {
		ctx      context.Context
		upstream model.Upstream
	}{{t.Context(), closed}, {expired, live.upstream()}} {
		_, err := New().Send(try.ctx, try.upstream, stampCall())
		var sendErr *call.SendError
		assert.Assert(t, errors.As(err, &sendErr))
		assert.Assert(t, !sendErr.Sent, "%v", err)
	}
	assert.Equal(t, live.Requests(), int32(0))
}

// Guards against a followed redirect, a lost trace context, and connection
// headers that reach the upstream.
func TestRequestIsPassedOnAsItIs(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	seen := make(chan http.Header, 2)
	s := startServer(t, func(_ int, conn net.Conn, req *http.Request) bool {
		seen <- req.Header
		_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /stamp\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	req := stampCall()
	req.TraceParent = parent
	req.Header = map[string][]string{"connection": {"x-hop"}, "X-Hop": {"1"}, "X-Kept": {"2"}, "Expect": {"100-continue"}}
	resp, err := New().Send(t.Context(), s.upstream(), req)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusTemporaryRedirect)
	h := <-seen
	assert.Equal(t, h.Get("traceparent"), parent)
	assert.Equal(t, h.Get("X-Kept"), "2")
	assert.Equal(t, h.Get("X-Hop")+h.Get("Expect"), "")
	assert.Equal(t, s.Requests(), int32(1))
}

// Guards against a response without a length that counts as complete although its upstream
// crashed while it sent the response: the connection ends in the same way.
func TestResponseWithoutLengthOfACrashedUpstreamIsNotComplete(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		var s server
		s = startServer(t, func(_ int, conn net.Conn, req *http.Request) bool {
			if req.Method == http.MethodGet {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			if crashes {
				_ = s.Close()
			}
			return false
		})
		resp, err := New().Send(t.Context(), s.upstream(), stampCall())
		if !crashes {
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "half")
			continue
		}
		var sendErr *call.SendError
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.Sent, "%v", err)
	}
}
