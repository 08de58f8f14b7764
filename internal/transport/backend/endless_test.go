package backend

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// endless answers with start, and then with repeated bytes until the caller closes the
// connection.
func endless(start, repeated string) rawhttp.Answer {
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	return func(_ int, conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
		return false
	}
}

// peakHeap returns the largest growth of the heap while run runs. The collector runs
// often meanwhile, so that little of the heap is garbage.
func peakHeap(run func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	runtime.GC()
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for peak := before; ; time.Sleep(time.Millisecond) {
		peak = max(peak, heap())
		select {
		case <-done:
			return peak - before
		default:
		}
	}
}

// Guards against an upstream whose answer does not end: the instance would run out of
// memory and end the requests of all its callers.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Req: r1\r\n"
	cases := []struct {
		name, start, repeated string
		stream                bool
		limit                 uint64 // bytes of memory for all requests
	}{
		{"status line", "HTTP/1.1 200 ", "a", false, 12 << 20},
		{"head line", whole + "X-Filler: ", "a", false, 12 << 20},
		{"head lines", whole, "X-Filler: aaaaaaaa\r\n", false, 12 << 20},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-Filler: aaaaaaaa\r\n\r\n", false, 12 << 20},
		{"body", whole + "\r\n", "a", false, 3 * maxBufferedBytes},
		{"chunk", whole + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "a", false, 3 * maxBufferedBytes},
		{"chunk extension", whole + "Transfer-Encoding: chunked\r\n\r\n1;", "a", false, 12 << 20},
		{"trailer", whole + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: aaaaaaaa\r\n", false, 12 << 20},
		{"event", whole + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "a", true, 3 * maxBufferedBytes},
		{"events without a position", whole + "\r\n", "data: a\n\n", true, 12 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startUpstream(t, endless(c.start, c.repeated)).Address()
			client := New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run"}, EngineAPI{})
			defer client.Close()
			// The endless answers keep the processors busy, so that a connection can
			// take longer than dialTimeout; the request would not get an answer at all.
			client.unpooled = newTransport(false, 5*time.Second)
			const requests = 16
			used := peakHeap(func() {
				var ended sync.WaitGroup
				for range requests {
					got := make(outcomeChannel, 1)
					client.Start(forward.Send{
						Upstream: model.Upstream{ID: "u", Address: address},
						Request:  &forward.Request{ID: "r1", Host: "h", Method: "POST", Path: "/p/", Header: forward.Header{"X-Req": {"r1"}}, Body: []byte("body")},
						Deadline: time.Now().Add(5 * time.Second),
						Stream:   c.stream,
					}, got)
					ended.Go(func() {
						select {
						case o := <-got:
							assert.Check(t, o.answer == nil && o.loss != "", "the answer counts as complete")
							assert.Check(t, o.loss != continuation.LossDial)
						case <-time.After(10 * time.Second):
							t.Error("the answer is still being read")
						}
					})
				}
				ended.Wait()
			})
			t.Logf("%d kB for each request", used/requests>>10)
			assert.Assert(t, used <= c.limit, "%d bytes for %d requests", used, requests)
		})
	}
}

// Guards against engines that answer control calls without end: a search for prompts asks
// hundreds of engines at once, and each answer may be large.
func TestEndlessAnswersToEngineCallsTakeBoundedMemory(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-Filler: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			engine := model.Upstream{ID: "u", Address: startUpstream(t, endless(start, "a")).Address()}
			client := New(forwardwire.Names{Request: "X-Req", NotRun: "X-Not-Run"}, EngineAPI{
				StatePath: "/state", CachedPromptsPath: "/prompts", CopyPath: "/copy",
				EncodeCopy:          func(model.RequestID, string) ([]byte, error) { return []byte("{}"), nil },
				DecodeState:         func([]byte) (forward.EngineState, error) { return forward.EngineState{}, nil },
				DecodeCopy:          func([]byte) (string, error) { return "handle", nil },
				DecodeCachedPrompts: func([]byte) ([]forward.CachedPart, error) { return nil, nil },
			})
			defer client.Close()
			client.unpooled = newTransport(false, 5*time.Second)
			const engines, timeout = 128, 10 * time.Second
			used := peakHeap(func() {
				var ended sync.WaitGroup
				refused := func(err error) {
					assert.Check(t, err != nil, "the answer counts as complete")
					ended.Done()
				}
				ended.Add(3 * engines)
				for range engines {
					client.CachedParts(engine, timeout, func(_ []forward.CachedPart, err error) { refused(err) })
					client.Probe(engine, timeout, func(_ forward.EngineState, err error) { refused(err) })
					client.RequestCopy(engine, "r", engine, timeout, func(_ string, err error) { refused(err) })
				}
				ended.Wait()
			})
			assert.Assert(t, used <= 3*maxBufferedBytes, "%d bytes for %d calls", used, 3*engines)
		})
	}
}
