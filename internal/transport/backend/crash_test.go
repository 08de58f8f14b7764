package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// statePath is the path that an upstream is asked at after an answer without a length.
const statePath = "/state"

// afterAnswer are the ways in which an upstream behaves after it has closed the connection
// of an answer without a length, and whether the answer is complete.
var afterAnswer = []struct {
	name     string
	stop     bool // nothing listens any more
	state    func(n int) string
	complete bool
}{
	{name: "crashed", stop: true},
	{name: "alive", state: func(int) string { return "200 OK" }, complete: true},
	{name: "does not know the path", state: func(int) string { return "404 Not Found" }, complete: true},
	{name: "another one at the address", state: func(int) string { return "421 Misdirected Request" }},
	{name: "restarted", state: func(int) string { return "200 OK\r\nContent-Length: 1\r\n\r\n2" }}, // its incarnation was 1
	{name: "first over its limit of connections", state: func(n int) string {
		if n == 1 {
			return ""
		}
		return "200 OK"
	}, complete: true},
	{name: "silent for a second", state: func(int) string {
		time.Sleep(time.Second)
		return "200 OK"
	}, complete: true},
	{name: "resets all connections", state: func(int) string { return "" }},
}

// Guards against an answer without a length that counts as complete although its upstream
// crashed while it sent the answer: the connection ends in the same way.
func TestAnswerWithoutLengthOfACrashedUpstreamIsNotComplete(t *testing.T) {
	for _, after := range afterAnswer {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %v", after.name, stream), func(t *testing.T) {
				t.Parallel()
				var asked atomic.Int32
				var s *rawhttp.Server
				s = startUpstream(t, func(_ int, conn net.Conn, req *http.Request) bool {
					if req.URL.Path == statePath {
						if status := after.state(int(asked.Add(1))); status != "" {
							_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 1\r\n\r\n1", status)
						}
						return false
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
					if after.stop {
						_ = s.Close()
					}
					return false
				})
				assertEnd(t, s.Address(), stream, after.complete)
			})
		}
	}
}

// assertEnd sends a request and checks whether its answer counts as complete.
func assertEnd(t *testing.T, address string, stream, complete bool) {
	t.Helper()
	client := New(forwardwire.Names{Request: "X-Req"}, EngineAPI{StatePath: statePath, DecodeIncarnation: func(answer []byte) uint64 {
		incarnation, _ := strconv.ParseUint(string(answer), 10, 64)
		return incarnation
	}})
	defer client.Close()
	got := make(outcomeChannel, 1)
	client.Start(forward.Send{
		Upstream:    model.Upstream{ID: "u", Address: address},
		Incarnation: 1,
		Request:     &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}},
		Stream:      stream,
	}, got)
	end := <-got
	if complete {
		assert.Equal(t, end.loss, continuation.Loss(""))
		assert.Equal(t, end.answer != nil, !stream)
		return
	}
	assert.Equal(t, end.loss, continuation.LossTruncated)
	assert.Assert(t, end.sent && end.answer == nil)
}
