package backend

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// recorder is a forward.Receiver that keeps the events of a stream and how it
// ended.
type recorder struct {
	events []forward.Event
	ended  bool
	closed bool
	loss   continuation.Loss
}

func (r *recorder) UpstreamLeaving()                           {}
func (r *recorder) Answered(forward.Answer)                    {}
func (r *recorder) StreamBegan(int, forward.Header)            {}
func (r *recorder) EventsArrived(events []forward.Event)       { r.events = append(r.events, events...) }
func (r *recorder) StreamEnded()                               { r.ended = true }
func (r *recorder) ConnectionClosed()                          { r.closed = true }
func (r *recorder) Lost(k continuation.Loss, _ string, _ bool) { r.loss = k }

// Guards against events that are split, joined or changed, and against a stream
// that ends within an event and counts as complete.
func TestReadEvents(t *testing.T) {
	cases := []struct {
		name, stream string
		events       int
		ended        bool
		loss         continuation.Loss
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, true, ""},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", 1, true, ""},
		{"cut within an event", "id: 1\ndata: a\n\nid: 2\nda", 1, false, continuation.LossTruncated},
		{"no position", "data: a\n\n", 0, false, continuation.LossReset},
		{"empty", "", 0, true, ""},
	}
	for _, c := range cases {
		for _, read := range []func(*strings.Reader) *recorder{
			func(in *strings.Reader) *recorder {
				r := &recorder{}
				readEvents(in, true, answerlimit.NewBudget(maxBufferedBytes), r)
				return r
			},
			func(in *strings.Reader) *recorder {
				r := &recorder{}
				readEvents(iotest.OneByteReader(in), true, answerlimit.NewBudget(maxBufferedBytes), r)
				return r
			},
		} {
			got := read(strings.NewReader(c.stream))
			assert.Equal(t, len(got.events), c.events, c.name)
			assert.Equal(t, got.ended, c.ended, c.name)
			assert.Equal(t, got.loss, c.loss, c.name)
		}
	}
}

// Guards against bytes of an upstream that crash the process, or that reach the
// caller changed.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id:18446744073709551615\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		got := &recorder{}
		readEvents(bytes.NewReader(stream), true, answerlimit.NewBudget(maxBufferedBytes), got)
		assert.Assert(t, got.ended != (got.loss != ""))
		var joined []byte
		for _, e := range got.events {
			joined = append(joined, e.Raw...)
		}
		assert.Assert(t, bytes.HasPrefix(stream, joined))
	})
}

// Guards against the end of a connection that counts as the end of a stream: an engine
// that crashes ends an answer without a length in the same way.
func TestOnlyDelimitedStreamsEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Type: text/event-stream\r\n"
	const event = "id: 1\ndata: a\n\n"
	cases := []struct {
		name, answer string
		want         recorder
	}{
		{"length", head + "Content-Length: 15\r\n\r\n" + event, recorder{ended: true}},
		{"empty", head + "Content-Length: 0\r\n\r\n", recorder{ended: true}},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n", recorder{ended: true}},
		{"no length", head + "\r\n" + event, recorder{closed: true}},
		{"no length, empty", head + "\r\n", recorder{closed: true}},
		{"no length, HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + event, recorder{closed: true}},
		{"cut length", head + "Content-Length: 99\r\n\r\n" + event, recorder{loss: continuation.LossTruncated}},
		{"cut chunks", head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n", recorder{loss: continuation.LossTruncated}},
		{"cut event", head + "\r\n" + event + "id: 2\n", recorder{loss: continuation.LossTruncated}},
	}
	for _, c := range cases {
		address := startUpstream(t, rawhttp.Text(c.answer)).Address()
		client := New(forwardwire.Names{Request: "X-Req"}, EngineAPI{})
		got := &recorder{}
		client.run(t.Context(), forward.Send{
			Upstream: model.Upstream{ID: "u", Address: address},
			Request:  &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}},
			Stream:   true,
		}, got)
		client.Close()
		assert.Equal(t, got.ended, c.want.ended, c.name)
		assert.Equal(t, got.closed, c.want.closed, c.name)
		assert.Equal(t, got.loss, c.want.loss, c.name)
	}
}
