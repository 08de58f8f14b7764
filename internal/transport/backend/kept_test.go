package backend

import (
	"bufio"
	"bytes"
	"context"
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
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// script answers the requests of each connection with the texts, in their order, and
// closes the connection at the request after them.
func script(answers ...string) rawhttp.Answer {
	return func(n int, conn net.Conn, _ *http.Request) bool {
		if n > len(answers) {
			return false
		}
		_, err := io.WriteString(conn, answers[n-1])
		return err == nil
	}
}

func callTo(address, id string) forward.Send {
	header := forward.Header{}
	if id != "" {
		header["X-Req"] = []string{id}
	}
	return forward.Send{
		Upstream:        model.Upstream{ID: "u", Address: address},
		Request:         &forward.Request{ID: model.RequestID(id), Host: "h", Method: "POST", Path: "/p/", Header: header, Body: []byte("body")},
		ReuseConnection: true,
	}
}

// send makes one send and returns its outcome.
func send(client *Client, s forward.Send) outcome {
	got := make(outcomeChannel, 1)
	s.Deadline = time.Now().Add(5 * time.Second)
	cancel := client.Start(s, got)
	select {
	case o := <-got:
		return o
	case <-time.After(5 * time.Second):
		cancel()
		return outcome{loss: "no outcome within 5 s"}
	}
}

func keptClient() *Client {
	return New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run", Answering: "X-Id"}, EngineAPI{})
}

// Guards against an earlier refusal that an upstream writes again on a kept connection
// and that counts as the refusal of a request that the upstream runs, and against
// further use of that connection.
func TestRepeatedRefusalIsNotThatOfALaterRequest(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Length: 2\r\n\r\nok"
	for name, refusal := range map[string]string{
		"without ID":              "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"without ID and body":     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"of another upstream":     "HTTP/1.1 421 Misdirected Request\r\nX-Id: u2\r\nContent-Length: 0\r\n\r\n",
		"with an earlier ID":      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Req: r1\r\nContent-Length: 4\r\n\r\nfull",
		"with an earlier ID only": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Req: r1\r\nContent-Length: 0\r\n\r\n",
		"with two IDs":            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Req: r2\r\nX-Req: r1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			upstream := startUpstream(t, script(first, refusal))
			address := upstream.Address()
			client := keptClient()
			defer client.Close()
			got := send(client, callTo(address, "r1"))
			assert.Assert(t, got.answer != nil && got.answer.Status == 200, "%+v", got)
			got = send(client, callTo(address, "r2"))
			assert.Equal(t, got.loss, continuation.LossWrongStream, "%+v", got.answer)
			assert.Assert(t, got.sent)
			time.Sleep(20 * time.Millisecond) // net/http notices the end of an idle connection in its own goroutine
			got = send(client, callTo(address, "r1"))
			assert.Assert(t, got.answer != nil && got.answer.Status == 200, "%+v", got)
			assert.Equal(t, upstream.Connections(), int32(2))
		})
	}
}

// Guards against refusals without an ID that no longer count on a new connection, where
// they can belong to no other request.
func TestRefusalWithoutIDOnANewConnectionCounts(t *testing.T) {
	for _, reuse := range []bool{false, true} {
		address := startUpstream(t, rawhttp.Text("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull")).Address()
		got := sendTo(t, address, reuse)
		assert.Assert(t, got.answer != nil && got.answer.NotRun, "%+v", got)
	}
}

// Guards against an answer to an earlier request that counts as the answer to a request
// without an ID, which no answer can name.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	upstream := startUpstream(t, script(answer, answer))
	address := upstream.Address()
	client := keptClient()
	defer client.Close()
	for range 2 {
		got := send(client, callTo(address, ""))
		assert.Assert(t, got.answer != nil && got.answer.Status == 200, "%+v", got)
	}
	assert.Equal(t, upstream.Connections(), int32(2))
}

// Guards against answers that contradict themselves or have no final status: a caller
// would get a success for a request that has not run, a refusal for one that has, or bytes
// that are no answer.
func TestContradictoryAnswersAreLosses(t *testing.T) {
	for name, answer := range map[string]string{
		"success that has not run":     "HTTP/1.1 200 OK\r\nX-Req: r1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok",
		"redirection that has not run": "HTTP/1.1 302 Found\r\nX-Req: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"two IDs":                      "HTTP/1.1 200 OK\r\nX-Req: r1\r\nX-Req: r2\r\nContent-Length: 2\r\n\r\nok",
		"two IDs in one field":         "HTTP/1.1 200 OK\r\nX-Req: r1, r2\r\nContent-Length: 2\r\n\r\nok",
		"switching protocols":          "HTTP/1.1 101 Switching Protocols\r\nX-Req: r1\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbytes",
		"status below 100":             "HTTP/1.1 042 Odd\r\nX-Req: r1\r\nContent-Length: 2\r\n\r\nok",
		"status above 599":             "HTTP/1.1 999 Odd\r\nX-Req: r1\r\nContent-Length: 2\r\n\r\nok",
		"interim answers only":         "HTTP/1.1 102 Processing\r\nX-Req: r1\r\nX-Not-Run: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		for _, stream := range []bool{false, true} {
			for _, reuse := range []bool{false, true} {
				address := startUpstream(t, rawhttp.Text(answer)).Address()
				client := keptClient()
				s := callTo(address, "r1")
				s.Stream, s.ReuseConnection = stream, reuse
				got := send(client, s)
				assert.Check(t, got.loss != "" && got.sent, "%s, stream: %t, kept: %t: %+v", name, stream, reuse, got)
				client.Close()
			}
		}
	}
}

// Guards against a refusal for a request that an upstream has run: to callers these
// statuses promise that a request has not run, while upstreams say it with the mark.
func TestRefusalsWithoutTheMarkAreNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, stream := range []bool{false, true} {
			address := startUpstream(t, rawhttp.Text(fmt.Sprintf("HTTP/1.1 %d Refused\r\nX-Req: r1\r\nContent-Length: 4\r\n\r\nbusy", status))).Address()
			client := keptClient()
			s := callTo(address, "r1")
			s.Stream, s.ReuseConnection = stream, false
			got := send(client, s)
			assert.Check(t, got.loss == continuation.LossStatus && got.sent, "%d, stream: %t: %+v", status, stream, got)
			client.Close()
		}
	}
}

// Guards against a later request on a connection on which the rest of a body is due: an
// upstream may answer before it has read a long body, and read on.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Req: %s\r\nContent-Length: 2\r\n\r\nok",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Req: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nX-Req: %s\r\n\r\n",
		"surplus": "HTTP/1.1 200 OK\r\nX-Req: %s\r\nContent-Length: 2\r\n\r\noksurplus",
	} {
		t.Run(name, func(t *testing.T) { checkEarlyAnswer(t, answer) })
	}
}

// checkEarlyAnswer sends a long request and a short one to an upstream that answers each
// before it has read its body, keeps the connection and reads on.
func checkEarlyAnswer(t *testing.T, answer string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	type received struct {
		id     string
		remote string
		bytes  []byte // after the head
	}
	connections := make(chan received, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Req")
				_, _ = fmt.Fprintf(conn, answer, id)
				time.Sleep(200 * time.Millisecond) // the client sends the next request
				rest, _ := io.ReadAll(in)
				connections <- received{id, conn.RemoteAddr().String(), rest}
			}()
		}
	}()
	client := keptClient()
	var failedWrites sync.Map // the local addresses of connections with a failed write
	client.pooled = keptconn.New(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return writeRecorder{conn, &failedWrites}, nil
	}})
	body := bytes.Repeat([]byte("a"), rawhttp.UploadBytes)
	for _, id := range []string{"r1", "r2"} {
		s := callTo(listener.Addr().String(), id)
		if id == "r1" {
			s.Request.Body = body
		}
		got := send(client, s)
		assert.Assert(t, got.answer != nil && got.answer.Status/100 == 2, "%s: %+v", id, got)
	}
	client.Close()
	for range 2 {
		got := <-connections
		if got.id == "r1" {
			assert.Assert(t, bytes.HasPrefix(body, got.bytes), "other bytes follow the body")
			continue
		}
		if strings.HasSuffix(answer, "surplus") && len(got.bytes) == 0 {
			// Bytes behind the answer end the connection. Its body may be missing only if its
			// write ran into that end; the write may still be under way.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, failed := failedWrites.Load(got.remote); failed {
					return poll.Success()
				}
				return poll.Continue("the body is missing, and no write of it has failed")
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
			continue
		}
		assert.Equal(t, string(got.bytes), "body")
	}
}

// writeRecorder is a connection that stores its local address when a write fails.
type writeRecorder struct {
	net.Conn
	failed *sync.Map
}

func (r writeRecorder) Write(p []byte) (int, error) {
	n, err := r.Conn.Write(p)
	if err != nil {
		r.failed.Store(r.LocalAddr().String(), true)
	}
	return n, err
}
