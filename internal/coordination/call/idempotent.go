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

// idempotentCall is an idempotent call with its attempts. Its fields are accessed
// only on a worker under the request's key.
type idempotentCall struct {
	m             *Manager
	req           Request
	done          func(Response, *model.Refusal)
	ctx           context.Context // cancelled when the call is answered
	cancel        context.CancelFunc
	hedge         *worker.Timer
	inFlight      int       // attempts without a result
	mayHaveRun    bool      // an attempt without a response may have run
	lastRetriable *Response // latest response with a retriable status
	finished      bool
}

func (m *Manager) startIdempotent(req Request, done func(Response, *model.Refusal)) {
	r := &idempotentCall{m: m, req: req, done: done}
	r.ctx, r.cancel = context.WithDeadline(context.Background(), req.Deadline)
	m.budget.Deposit()
	upstream, ok := r.pick()
	if !ok {
		r.finish(Response{}, refuseNoUpstream(req.Service))
		return
	}
	r.attempt(upstream)
	if wait, known := m.latencies.HedgeAfter(req.RouteName()); known {
		r.hedge = m.Pool.After(wait, worker.Key(req.ID), worker.Func(func() { r.tryAnother() }))
	}
}

// pick returns an upstream that has not received an attempt of this call.
func (r *idempotentCall) pick() (model.Upstream, bool) {
	upstream, ok := r.m.Pick(r.req)
	return upstream, ok && !slices.Contains(r.req.Tried, upstream.ID)
}

// tryAnother starts another attempt if the call is not answered, its deadline has
// not passed, another upstream is available and the retry budget allows it. It
// reports whether it started one.
func (r *idempotentCall) tryAnother() bool {
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

func (r *idempotentCall) attempt(upstream model.Upstream) {
	req := r.req
	r.req.Tried = append(slices.Clone(r.req.Tried), upstream.ID)
	r.inFlight++
	started := time.Now()
	r.m.recordAttempt(req, upstream, started)
	send := func(ctx context.Context) (Response, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(r.ctx, cancel)
		defer stop()
		return r.m.Sender.Send(ctx, upstream, req)
	}
	worker.Call(r.m.Pool, worker.Key(req.ID), time.Until(req.Deadline), send, func(resp Response, err error) {
		r.m.recordResult(req, upstream, resp, err, r.finished)
		r.observe(upstream, resp, err, time.Since(started))
		r.handleResult(resp, err)
	})
}

// observe reports the result of an attempt. An attempt that was cancelled because
// another one was faster is not a failure, but its duration is recorded.
func (r *idempotentCall) observe(upstream model.Upstream, resp Response, err error, took time.Duration) {
	if err == nil || r.finished {
		r.m.latencies.Record(r.req.RouteName(), took)
	}
	if err != nil && r.finished {
		r.m.Observe(upstream, r.req.RouteName(), evidence.Observation{FirstWait: took})
		return
	}
	r.m.observe(upstream, r.req, resp, err, took)
}

// handleResult ends the call with a response, starts another attempt, or waits for
// the attempts in flight.
func (r *idempotentCall) handleResult(resp Response, err error) {
	r.inFlight--
	if r.finished {
		return
	}
	if err == nil && !retriable(resp.Status) {
		r.finish(resp, nil)
		return
	}
	if err == nil {
		r.lastRetriable = &resp
	} else {
		r.mayHaveRun = r.mayHaveRun || wasSent(err)
	}
	if r.tryAnother() || r.inFlight > 0 {
		return
	}
	r.giveUp()
}

// giveUp ends the call after its last attempt failed.
func (r *idempotentCall) giveUp() {
	switch {
	case r.lastRetriable != nil:
		r.finish(*r.lastRetriable, nil)
	case r.mayHaveRun:
		r.finish(Response{}, refuseUnknown("no upstream answered; an attempt may have run"))
	default:
		r.finish(Response{}, refuseUnreachable())
	}
}

func (r *idempotentCall) finish(resp Response, refusal *model.Refusal) {
	r.finished = true
	r.hedge.Stop()
	r.cancel()
	r.done(resp, refusal)
}

// retriable reports whether another upstream may answer with a better status.
func retriable(status int) bool {
	return status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable ||
		status == http.StatusGatewayTimeout
}
