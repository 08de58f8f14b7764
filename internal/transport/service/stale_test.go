package service

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an earlier answer that a faulty upstream sends again and that counts as
// the answer to a call that is not written yet.
func TestRepeatedAnswerIsNotThatOfALaterCall(t *testing.T) {
	s := startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		ok(conn)
		return true
	})
	c := New()
	defer c.Close()
	req := call.Request{ID: "i1-r1", Method: http.MethodGet, Path: "/read", Route: model.Route{Method: http.MethodGet, Path: "/read", Idempotent: true}}
	_, err := c.Send(t.Context(), s.upstream(), req)
	assert.NilError(t, err)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(name string, _ []string) {
			if name == "Host" { // written to a buffer; the connection is chosen
				_, _ = io.WriteString(s.Newest(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(50 * time.Millisecond)
			}
		},
	})
	got, err := c.Send(ctx, s.upstream(), req)
	var sendErr *call.SendError
	assert.Assert(t, errors.As(err, &sendErr) && sendErr.Sent, "%v, status %d", err, got.Status)
	got, err = c.Send(t.Context(), s.upstream(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Status, http.StatusOK)
}

// Guards against statuses that are passed on although they end no answer, or although
// net/http's server panics on them.
func TestOddStatusesAreNotAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
	} {
		s := startServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, answer)
			return false
		})
		got, err := New().Send(t.Context(), s.upstream(), stampCall())
		var sendErr *call.SendError
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.Sent, "%q: %v, status %d", answer, err, got.Status)
	}
}
