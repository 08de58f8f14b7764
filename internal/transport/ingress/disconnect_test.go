package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"gotest.tools/v3/assert"
)

// startServer starts a server without routing rules: its requests wait for them.
func startServer(t *testing.T) (address string) {
	t.Helper()
	pool := worker.NewPool(worker.Options{Workers: 2})
	logger := &log.Logger{Handler: discard.Default}
	table := rules.NewTable()
	s := New(Options{
		Address: "127.0.0.1:0",
		Names:   forwardwire.Names{Request: "X-Req"},
		Forward: forward.New(forward.Options{Pool: pool, Rules: table, Log: logger}),
		Rules:   table,
		Log:     logger,
	})
	assert.NilError(t, s.listen())
	endpoint, err := s.http.Endpoint()
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Start(t.Context()) }()
	t.Cleanup(func() {
		assert.Check(t, s.http.Close())
		assert.Check(t, <-ended)
		pool.Close()
	})
	return endpoint.Host
}

// Guards against an empty answer with status 200 for a caller that closes its sending
// side before it has the answer. net/http takes that for a disconnect.
func TestHalfClosedConnectionGetsNoEmptyAnswer(t *testing.T) {
	conn, err := net.Dial("tcp", startServer(t))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "POST /p/ HTTP/1.1\r\nHost: h\r\nX-Req: r1\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		t.Fatalf("the answer has status %d and length %d", resp.StatusCode, resp.ContentLength)
	}
}
