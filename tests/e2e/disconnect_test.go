package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that ends as complete before its last event because the
// caller closed its sending side, which net/http takes for a disconnect.
func TestEdgeDoesNotCompleteHalfClosedStreams(t *testing.T) {
	t.Parallel()
	e := startEdges(t, 1)
	e.publishRules()
	e.awaitReady()
	req := e.request(0, "POST", "/log/1")
	conn, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", e.ports[0].callers))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	assert.NilError(t, req.Write(conn))
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, req)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	first := make([]byte, len("id: 1\n"))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Fatalf("the stream of 60 events ends as complete after %d", strings.Count(string(first)+string(rest), "id: "))
	}
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "reset"), err)
}
