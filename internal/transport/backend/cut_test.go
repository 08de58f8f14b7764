package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// cutAnswer answers each request with the bytes that its path selects and then ends the
// connection: /fin/N/ and /reset/N/ send the first N bytes. Other requests, such as the one
// that asks whether the upstream is alive, are answered with status 404.
func cutAnswer(whole string) rawhttp.Answer {
	return func(_ int, conn net.Conn, req *http.Request) bool {
		var end string
		var size int
		if _, err := fmt.Sscanf(strings.ReplaceAll(req.URL.Path, "/", " "), "%s %d", &end, &size); err != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		_, _ = io.WriteString(conn, whole[:size])
		if end == "reset" {
			time.Sleep(5 * time.Millisecond) // otherwise the reset overtakes the bytes
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return size == len(whole) && end != "fin"
	}
}

// Guards against an answer that ends within its head, or before the end of a body whose
// end is marked, and that counts as complete: the caller would get an empty or short body
// that is framed as whole.
func TestCutAnswersAreNotComplete(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nX-Req: r1\r\nX-Signature: 3e1b.07\r\n"
	answers := []struct {
		name, head, body string
		stream           bool
	}{
		{"length", fields + "Content-Length: 12\r\n\r\n", "twelve bytes", false},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Req: r1\r\nX-Signature: 3e1b.07\r\n\r\n", "twelve bytes", false},
		{"same length twice", fields + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n", "ok", false},
		{"chunks", fields + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n3\r\nend\r\n0\r\n\r\n", false},
		{"chunks with a trailer", fields + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", false},
		{"no length", fields + "\r\n", "", false},
		{"line feeds", strings.ReplaceAll(fields, "\r\n", "\n") + "Content-Length: 2\n\n", "ok", false},
		{"interim answers", "HTTP/1.1 103 Early Hints\r\nX-Req: r1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + fields + "Content-Length: 2\r\n\r\n", "ok", false},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Req: r1\r\nContent-Length: 4\r\n\r\n", "", false},
		{"stream of chunks", fields + "Transfer-Encoding: chunked\r\n\r\n", "13\r\nid: 1\ndata: first\n\n\r\n0\r\n\r\n", true},
		{"stream without length", fields + "\r\n", "", true},
	}
	for _, answer := range answers {
		t.Run(answer.name, func(t *testing.T) {
			whole := answer.head + answer.body
			address := startUpstream(t, cutAnswer(whole)).Address()
			client := New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run"}, EngineAPI{})
			defer client.Close()
			var sends sync.WaitGroup
			for size := range len(whole) {
				for _, end := range []string{"fin", "reset"} {
					for _, reuse := range []bool{false, true} {
						for _, position := range []forward.Position{0, 7} {
							if position > 0 && !answer.stream {
								continue
							}
							sends.Go(func() {
								s := sendCut(address, end, size, answer.stream)
								s.ReuseConnection, s.LastPosition = reuse, position
								got := sendConnected(client, s)
								assert.Check(t, got.loss != "", "%s after %q, on a kept connection: %t: %+v", end, whole[:size], reuse, got.answer)
								assert.Check(t, got.sent, got.loss)
							})
						}
					}
				}
				if size%4 == 3 {
					sends.Wait() // bounds the number of connections
				}
			}
			sends.Wait()
			if !answer.stream && answer.name != "refusal" {
				got := sendConnected(client, sendCut(address, "fin", len(whole), answer.stream))
				assert.Assert(t, got.answer != nil && got.answer.Status == 200, "the whole answer: %+v", got)
			}
		})
	}
}

// sendCut returns a send to a cutUpstream.
func sendCut(address, end string, size int, stream bool) forward.Send {
	s := callTo(address, "r1")
	s.Request.Path = fmt.Sprintf("/%s/%d/", end, size)
	s.Stream = stream
	return s
}

// sendConnected makes one send, and makes it again while no connection could be opened: a
// loaded machine may take longer than the dial timeout.
func sendConnected(client *Client, s forward.Send) outcome {
	got := send(client, s)
	for range 5 {
		if got.loss != continuation.LossDial {
			break
		}
		got = send(client, s)
	}
	return got
}
