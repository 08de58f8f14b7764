package call

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
	"gotest.tools/v3/assert"
)

// scriptedSender answers as set for each upstream and counts the attempts.
type scriptedSender struct {
	mu       sync.Mutex
	attempts map[model.UpstreamID]int
	answer   map[model.UpstreamID]func(context.Context) (Response, error)
}

func (s *scriptedSender) Send(ctx context.Context, upstream model.Upstream, _ Request) (Response, error) {
	s.mu.Lock()
	s.attempts[upstream.ID]++
	answer := s.answer[upstream.ID]
	s.mu.Unlock()
	return answer(ctx)
}

func status(code int, after time.Duration) func(context.Context) (Response, error) {
	return func(ctx context.Context) (Response, error) {
		if err := wait.Sleep(ctx, after); err != nil {
			return Response{}, &SendError{Sent: true, Err: err}
		}
		return Response{Status: code}, nil
	}
}

func failing(sent bool) func(context.Context) (Response, error) {
	return func(context.Context) (Response, error) {
		return Response{}, &SendError{Sent: sent, Err: errors.New("reset")}
	}
}

func newScriptedSender() *scriptedSender {
	return &scriptedSender{
		attempts: map[model.UpstreamID]int{},
		answer:   map[model.UpstreamID]func(context.Context) (Response, error){},
	}
}

func readRequest(n int) Request {
	return Request{ID: model.RequestID(fmt.Sprint("r", n)), Route: model.Route{Method: "GET", Path: "/record", Idempotent: true}}
}

// Guards against a failed call that is not retried on another upstream, and against
// a wrong outcome when all attempts fail.
func TestIdempotentCallIsRetriedOnAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		a, b    func(context.Context) (Response, error)
		status  int
		refusal string
	}{
		{"dead then live", failing(true), status(200, 0), 200, ""},
		{"503 then live", status(503, 0), status(200, 0), 200, ""},
		{"both 503", status(503, 0), status(503, 0), 503, ""},
		{"500 is an answer", status(500, 0), status(200, 0), 500, ""},
		{"none reached", failing(false), failing(false), 0, CodeUpstreamUnreachable},
		{"one reached", failing(true), failing(false), 0, CodeOutcomeUnknown},
		{"deadline", status(200, time.Hour), status(200, 0), 0, CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScriptedSender()
				s.answer["a"], s.answer["b"] = c.a, c.b
				m := newInstance("i0", nil, s, "a", "b")
				defer m.Pool.Close()
				got := &answers{list: map[model.RequestID][]Result{}}
				m.Submit(readRequest(0), got.done("r0", ""))
				settle(time.Minute)
				assert.Equal(t, len(got.list["r0"]), 1)
				assert.Equal(t, got.list["r0"][0].response.Status, c.status)
				assert.Equal(t, refusalCode(got.list["r0"][0]), c.refusal)
			})
		})
	}
}

// Guards against a call whose history does not show its upstreams, or shows the
// result of one attempt for another.
func TestCallHistoryIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedSender()
		s.answer["a"], s.answer["b"] = failing(true), status(200, time.Second)
		m := newInstance("i0", nil, s, "a", "b")
		defer m.Pool.Close()
		started := time.Now()
		m.Submit(readRequest(0), func(Response, *model.Refusal) {})
		synctest.Wait()
		running, ok := m.Explain("r0")
		assert.Assert(t, ok)
		settle(time.Minute)
		ended, _ := m.Explain("r0")
		assert.Equal(t, running.Outcome+running.Attempts[1].Result, "", "a history that was returned does not change")
		assert.DeepEqual(t, ended, call.Record{
			Request: "r0", Service: readRequest(0).Service, Route: "GET /record", Started: started, Ended: started.Add(time.Second),
			Outcome: "answered",
			Attempts: []call.AttemptRecord{
				{Upstream: "a", Version: running.Attempts[0].Version, Started: started, Result: "lost"},
				{Upstream: "b", Version: running.Attempts[1].Version, Started: started, Result: "2xx"},
			},
		})
		_, ok = m.Explain("r1")
		assert.Assert(t, !ok)
	})
}

// Guards against retries that multiply the load on a failing service: beyond the
// burst they are limited to a tenth of the calls.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedSender()
		s.answer["a"], s.answer["b"] = failing(true), failing(true)
		m := newInstance("i0", nil, s, "a", "b")
		defer m.Pool.Close()
		const calls = 1000
		for n := range calls {
			m.Submit(readRequest(n), func(Response, *model.Refusal) {})
			synctest.Wait()
		}
		assert.Equal(t, s.attempts["a"], calls)
		assert.Equal(t, s.attempts["b"], 109, "the burst of 10, and a tenth of the 999 calls after the first")
	})
}

// Guards against a call that waits for a slow upstream when another upstream is
// fast, and against a cancelled attempt that counts as a failure of its version.
func TestSlowCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedSender()
		s.answer["a"], s.answer["b"] = status(200, 10*time.Millisecond), status(200, 10*time.Millisecond)
		m := newInstance("i0", nil, s, "a", "b")
		defer m.Pool.Close()
		failures := 0
		m.Observe = func(_ model.Upstream, _ string, o evidence.Observation) {
			if o.Failed {
				failures++
			}
		}
		for n := range 40 {
			m.Submit(readRequest(n), func(Response, *model.Refusal) {})
			settle(time.Second)
		}
		assert.Equal(t, s.attempts["b"], 0)
		s.answer["a"] = status(200, 20*time.Second)
		start, took := time.Now(), time.Duration(0)
		m.Submit(readRequest(40), func(Response, *model.Refusal) { took = time.Since(start) })
		settle(time.Minute)
		assert.Assert(t, took > 0 && took < 100*time.Millisecond, "took %s", took)
		assert.Equal(t, s.attempts["b"], 1)
		assert.Equal(t, failures, 0)
	})
}

// Guards against memory that grows with the number of routes.
func TestLatenciesAreBounded(t *testing.T) {
	l := call.NewLatencies()
	for n := range 2000 {
		for range 20 {
			l.Record(fmt.Sprint(n), time.Second)
		}
	}
	_, first := l.HedgeAfter("0")
	_, last := l.HedgeAfter("1999")
	assert.Assert(t, first && !last)
}
