package platform_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

// Guards against an earlier answer that arrives again and that counts as the answer to a
// write that is not sent yet: a claim would count as written, or as that of another.
func TestRepeatedAnswerIsNotThatOfALaterWrite(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 2\r\n\r\n{}"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var last atomic.Pointer[net.Conn]
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		last.Store(&conn)
		in := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	}()
	client, err := platform.New(platform.Options{BaseURL: "http://" + listener.Addr().String()})
	assert.NilError(t, err)
	defer client.Close()
	rows := platform.NewRows[record](client, "t")
	_, err = rows.Put(t.Context(), "k", record{}, store.NoRow)
	assert.NilError(t, err)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(name string, _ []string) {
			if name == "Host" { // written to a buffer; the connection is chosen
				_, _ = io.WriteString(*last.Load(), answer)
				time.Sleep(50 * time.Millisecond)
			}
		},
	})
	_, err = rows.Put(ctx, "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, keptconn.ErrEarlyAnswer)
}
