package call

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// run is one idempotent call with its attempts. Items under the request's key
// alone touch its fields.
type run struct {
	m        *Manager
	req      Request
	done     func(Response, *model.Refusal)
	ctx      context.Context // ends when the call has its answer
	cancel   context.CancelFunc
	hedge    *worker.Timer
	open     int       // attempts without a result
	sent     bool      // an attempt without a response may have run
	last     *Response // last response that was worth a retry
	finished bool
}

func (m *Manager) startRun(req Request, done func(Response, *model.Refusal)) {
	r := &run{m: m, req: req, done: done}
	r.ctx, r.cancel = context.WithDeadline(context.Background(), req.Deadline)
	m.budget.Deposit()
	upstream, ok := r.pick()
	if !ok {
		r.finish(Response{}, refuseNoUpstream(req.Service))
		return
	}
	r.attempt(upstream)
	if wait, known := m.latencies.HedgeAfter(req.RouteName()); known {
		r.hedge = m.Pool.After(wait, worker.Key(req.ID), worker.Func(func() { r.again() }))
	}
}

// pick returns an upstream that has no attempt of this call yet.
func (r *run) pick() (model.Upstream, bool) {
	upstream, ok := r.m.Pick(r.req)
	return upstream, ok && !slices.Contains(r.req.Tried, upstream.ID)
}

// again starts another attempt if the call has no answer, and there is time,
// another upstream and budget. It reports whether it did.
func (r *run) again() bool {
	if r.finished || !time.Now().Before(r.req.Deadline) {
		return false
	}
	upstream, ok := r.pick()
	if !ok || !r.m.budget.Withdraw() {
		return false
	}
	r.attempt(upstream)
	return true
}

func (r *run) attempt(upstream model.Upstream) {
	req := r.req
	r.req.Tried = append(slices.Clone(r.req.Tried), upstream.ID)
	r.open++
	started := time.Now()
	r.m.begin(req, upstream, started)
	send := func(ctx context.Context) (Response, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(r.ctx, cancel)
		defer stop()
		return r.m.Sender.Send(ctx, upstream, req)
	}
	worker.Call(r.m.Pool, worker.Key(req.ID), time.Until(req.Deadline), send, func(resp Response, err error) {
		r.m.end(req, upstream, resp, err, r.finished)
		r.observe(upstream, resp, err, time.Since(started))
		r.after(resp, err)
	})
}

// observe counts an attempt. One that was cancelled because another was
// faster is no failure, but its time so far counts.
func (r *run) observe(upstream model.Upstream, resp Response, err error, took time.Duration) {
	if err == nil || r.finished {
		r.m.latencies.Record(r.req.RouteName(), took)
	}
	if err != nil && r.finished {
		r.m.Observe(upstream, r.req.RouteName(), evidence.Observation{FirstWait: took})
		return
	}
	r.m.observe(upstream, r.req, resp, err, took)
}

// after ends the call with a response, or retries, or waits for the attempts
// that are still open.
func (r *run) after(resp Response, err error) {
	r.open--
	if r.finished {
		return
	}
	if err == nil && !retriable(resp.Status) {
		r.finish(resp, nil)
		return
	}
	if err == nil {
		r.last = &resp
	} else {
		r.sent = r.sent || wasSent(err)
	}
	if r.again() || r.open > 0 {
		return
	}
	r.giveUp()
}

// giveUp answers after the last attempt failed.
func (r *run) giveUp() {
	switch {
	case r.last != nil:
		r.finish(*r.last, nil)
	case r.sent:
		r.finish(Response{}, unknown("no upstream answered; an attempt may have run"))
	default:
		r.finish(Response{}, refuseUnreachable())
	}
}

func (r *run) finish(resp Response, refusal *model.Refusal) {
	r.finished = true
	r.hedge.Stop()
	r.cancel()
	r.done(resp, refusal)
}

// retriable reports whether another upstream may do better.
func retriable(status int) bool {
	return status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}
