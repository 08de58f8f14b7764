package backend

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"gotest.tools/v3/assert"
)

// recorder is a forward.Receiver that keeps the events of a stream and how it
// ended.
type recorder struct {
	events []forward.Event
	ended  bool
	loss   continuation.Loss
}

func (r *recorder) UpstreamLeaving()                           {}
func (r *recorder) Answered(forward.Answer)                    {}
func (r *recorder) StreamBegan(int, forward.Header)            {}
func (r *recorder) EventsArrived(events []forward.Event)       { r.events = append(r.events, events...) }
func (r *recorder) StreamEnded()                               { r.ended = true }
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
				readEvents(in, answerlimit.NewBudget(maxBufferedBytes), r)
				return r
			},
			func(in *strings.Reader) *recorder {
				r := &recorder{}
				readEvents(iotest.OneByteReader(in), answerlimit.NewBudget(maxBufferedBytes), r)
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
		readEvents(bytes.NewReader(stream), answerlimit.NewBudget(maxBufferedBytes), got)
		assert.Assert(t, got.ended != (got.loss != ""))
		var joined []byte
		for _, e := range got.events {
			joined = append(joined, e.Raw...)
		}
		assert.Assert(t, bytes.HasPrefix(stream, joined))
	})
}
