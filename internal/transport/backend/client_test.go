package backend

import (
	"errors"
	"fmt"
	"net"
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

// outcome is the result of one send.
type outcome struct {
	answer *forward.Answer
	loss   continuation.Loss
	sent   bool
}

// outcomeChannel is a forward.Receiver that sends the outcome to a channel.
type outcomeChannel chan outcome

func (w outcomeChannel) UpstreamLeaving()                {}
func (w outcomeChannel) Answered(a forward.Answer)       { w <- outcome{answer: &a} }
func (w outcomeChannel) StreamBegan(int, forward.Header) {}
func (w outcomeChannel) EventsArrived([]forward.Event)   {}
func (w outcomeChannel) StreamEnded()                    { w <- outcome{} }
func (w outcomeChannel) ConnectionClosed()               { w <- outcome{} }
func (w outcomeChannel) Lost(k continuation.Loss, _ string, sent bool) {
	w <- outcome{loss: k, sent: sent}
}

// startUpstream starts an upstream whose answers the function writes.
func startUpstream(t *testing.T, answer rawhttp.Answer) *rawhttp.Server {
	t.Helper()
	s, err := rawhttp.Start(answer)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func sendTo(t *testing.T, address string, reuse bool) outcome {
	t.Helper()
	client := New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run"}, EngineAPI{})
	defer client.Close()
	got := make(outcomeChannel, 1)
	client.Start(forward.Send{
		Upstream:        model.Upstream{ID: "u", Address: address},
		Request:         &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}, Body: []byte("body")},
		Deadline:        time.Now().Add(5 * time.Second),
		ReuseConnection: reuse,
	}, got)
	select {
	case o := <-got:
		return o
	case <-time.After(5 * time.Second):
		t.Fatal("the send had no outcome within 5 s")
		return outcome{}
	}
}

// Guards against an answer to a stream request that is not an event stream and is read as
// one: the caller would not get it, and the request would run again elsewhere.
func TestAnswerThatIsNotAnEventStreamIsRead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Req: r1\r\n"
	for answer, body := range map[string]string{
		head + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}":                          "{}",
		head + "Content-Type: application/json\r\n\r\n{}":                                               "{}",
		head + "Content-Type: text/event-stream\r\nContent-Length: 7\r\n\r\nid: 1\n\n":                  "",
		head + "Content-Type: Text/Event-Stream; charset=utf-8\r\nContent-Length: 7\r\n\r\nid: 1\n\n":   "",
		head + "Content-Length: 7\r\n\r\nid: 1\n\n":                                                     "",
		"HTTP/1.1 206 Partial Content\r\nX-Req: r1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n": "id: 1\n\n",
	} {
		address := startUpstream(t, rawhttp.Text(answer)).Address()
		client := New(forwardwire.Names{Request: "X-Req"}, EngineAPI{})
		got := make(outcomeChannel, 1)
		client.run(t.Context(), forward.Send{
			Upstream: model.Upstream{ID: "u", Address: address},
			Request:  &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}},
			Stream:   true,
		}, got)
		client.Close()
		o := <-got
		assert.Equal(t, o.loss, continuation.Loss(""), answer)
		assert.Equal(t, o.answer != nil, body != "", answer)
		if o.answer != nil {
			assert.Equal(t, string(o.answer.Body), body)
		}
	}
}

// Guards against incomplete answers of faulty upstreams that reach the caller as
// complete ones, and against a failure that counts as not run although the
// upstream may have run the request.
func TestFaultyAnswers(t *testing.T) {
	cases := []struct {
		name, answer string
		loss         continuation.Loss
		status       int
		body         string
	}{
		{"whole", "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Length: 2\r\n\r\nok", "", 200, "ok"},
		{"no length", "HTTP/1.1 200 OK\r\nX-Req: r1\r\n\r\nok", "", 200, "ok"},
		{"cut body", "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Length: 9\r\n\r\nok", continuation.LossTruncated, 0, ""},
		{"added bytes", "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", "", 200, "ok"},
		{"another request's", "HTTP/1.1 200 OK\r\nX-Req: r2\r\nContent-Length: 2\r\n\r\nok", continuation.LossWrongStream, 0, ""},
		{"no answer", "", continuation.LossReset, 0, ""},
		{"not HTTP", "garbage\r\n\r\n", continuation.LossTruncated, 0, ""},
		{"broken chunk", "HTTP/1.1 200 OK\r\nX-Req: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz", continuation.LossTruncated, 0, ""},
	}
	for _, c := range cases {
		address := startUpstream(t, rawhttp.Text(c.answer)).Address()
		got := sendTo(t, address, false)
		assert.Equal(t, got.loss, c.loss, c.name)
		if c.loss != "" {
			assert.Assert(t, got.sent, c.name)
			continue
		}
		assert.Equal(t, got.answer.Status, c.status, c.name)
		assert.Equal(t, string(got.answer.Body), c.body, c.name)
	}
}

// Guards against a request that is reported as sent although no connection was
// made.
func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	got := sendTo(t, address, false)
	assert.Equal(t, got.loss, continuation.LossDial)
	assert.Assert(t, !got.sent)
}

// Guards against net/http sending a request again on its own.
func TestRequestIsSentOnce(t *testing.T) {
	for _, reuse := range []bool{false, true} {
		upstream := startUpstream(t, rawhttp.Text(""))
		sendTo(t, upstream.Address(), reuse)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, upstream.Requests(), int32(1))
	}
}

// leavingRecorder is a forward.Receiver that notes whether the upstream said that it
// leaves before its answer arrived.
type leavingRecorder struct {
	outcomeChannel
	leaving *atomic.Bool
}

func (r leavingRecorder) UpstreamLeaving() { r.leaving.Store(true) }

// Guards against a leaving mark that is lost, or that is taken for the upstream's own
// although another upstream at its address has sent it.
func TestLeavingMarkIsReported(t *testing.T) {
	for answer, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Req: r1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n":                 true,
		"HTTP/1.1 500 Error\r\nX-Req: r1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n":              true,
		"HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Length: 0\r\n\r\n":                                 false,
		"HTTP/1.1 421 Misdirected Request\r\nX-Id: u2\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Req: r2\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n":                 false,
	} {
		address := startUpstream(t, rawhttp.Text(answer)).Address()
		client := New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run", Answering: "X-Id", Leaving: "X-Leaving"}, EngineAPI{})
		got := leavingRecorder{make(outcomeChannel, 1), new(atomic.Bool)}
		client.Start(forward.Send{
			Upstream: model.Upstream{ID: "u", Address: address},
			Request:  &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}},
		}, got)
		<-got.outcomeChannel
		assert.Equal(t, got.leaving.Load(), want, answer)
		client.Close()
	}
}

// Guards against an engine that no longer runs a stream and is taken for one that cannot
// copy it at the moment: the stream would wait for events that never come.
func TestUnknownStreamIsReported(t *testing.T) {
	for status, want := range map[int]bool{404: true, 409: false, 421: false, 503: false} {
		address := startUpstream(t, rawhttp.Text(fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n", status))).Address()
		client := New(forwardwire.Names{}, EngineAPI{
			CopyPath:   "/copy",
			EncodeCopy: func(model.RequestID, string) ([]byte, error) { return []byte("{}"), nil },
		})
		result := make(chan error, 1)
		client.RequestCopy(model.Upstream{ID: "u", Address: address}, "r1", model.Upstream{ID: "v"}, time.Second, func(_ string, err error) { result <- err })
		err := <-result
		assert.Assert(t, err != nil)
		assert.Equal(t, errors.Is(err, forward.ErrStreamUnknown), want, "%d: %v", status, err)
		client.Close()
	}
}
