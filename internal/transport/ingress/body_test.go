package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that its caller does not get: a connection that is closed
// while a part of the request's body is unread is reset.
func TestRefusalFollowsTheWholeBody(t *testing.T) {
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Rules: rules.NewTable(), Log: &log.Logger{Handler: discard.Default}})
	s.RefuseRequests()
	s.DisableKeepAlives()
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	defer server.Close()
	for _, head := range []string{"Connection: close\r\n", ""} {
		for _, size := range []int{20 << 10, 400 << 10} {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Req: r\r\n%sContent-Length: %d\r\n\r\n", head, size)
			assert.NilError(t, err)
			for range 4 {
				_, err = io.WriteString(conn, strings.Repeat("x", size/4))
				assert.Check(t, err, "%q %d", head, size)
				time.Sleep(200 * time.Millisecond) // net/http waits 500 ms before it closes some connections
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "%q %d", head, size)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		}
	}
}

// Guards against bodies that stop to arrive and keep their requests for as long as their
// callers leave the connection open, and against a refusal of one that arrives slowly.
func TestStalledBodiesAreRefused(t *testing.T) {
	const stall = time.Second
	s := New(Options{Address: "127.0.0.1:0", Names: forwardwire.Names{Request: "X-Req"}, Rules: rules.NewTable(), Log: &log.Logger{Handler: discard.Default}, BodyStall: stall})
	s.RefuseRequests() // after the whole body
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	defer server.Close()
	for _, framing := range []struct{ head, piece string }{
		{"Content-Length: 12\r\n", "x"},
		{"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n"},
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Req: r\r\n%s\r\n%s", framing.head, framing.piece)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_, refusal, err := problem.Decode(resp.Header, body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
		assert.Equal(t, refusal.Code, problem.CodeBodyTooSlow)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun)
	}
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Req: r\r\nContent-Length: 12\r\n\r\n")
	assert.NilError(t, err)
	for range 12 {
		time.Sleep(stall / 6)
		_, err = io.WriteString(conn, "x")
		assert.NilError(t, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}
