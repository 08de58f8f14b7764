package platform_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
)

// Guards against an earlier answer that arrives again and that counts as the answer to a
// write that is not sent yet: a claim would count as written, or as that of another.
func TestRepeatedAnswerIsNotThatOfALaterWrite(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 2\r\n\r\n{}"
	server, err := rawhttp.Start(func(_ int, conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	client, err := platform.New(platform.Options{BaseURL: "http://" + server.Address()})
	assert.NilError(t, err)
	defer client.Close()
	rows := platform.NewRows[record](client, "t")
	_, err = rows.Put(t.Context(), "k", record{}, store.NoRow)
	assert.NilError(t, err)
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(name string, _ []string) {
			if name == "Host" { // written to a buffer; the connection is chosen
				_, _ = io.WriteString(server.Newest(), answer)
				time.Sleep(50 * time.Millisecond)
			}
		},
	})
	_, err = rows.Put(ctx, "k", record{}, store.NoRow)
	assert.ErrorIs(t, err, keptconn.ErrEarlyAnswer)
}
