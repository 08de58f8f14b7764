// Package call runs calls to plain services: non-idempotent ones at most once
// under a claim in the platform's table, idempotent ones with retries.
package call

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// defaultTimeout applies to a call without a deadline on a route without one.
const defaultTimeout = 30 * time.Second

// retryBudget lets retries be a tenth of the calls beyond the burst. It counts
// calls and not time, so an idle service saves up no more than the burst.
var retryBudget = call.BudgetOptions{Share: 0.1, Burst: 10}

// Request is a caller's call to a plain service.
type Request struct {
	ID             model.RequestID
	Organisation   model.OrganisationID
	Service        string
	Route          model.Route
	Method         string
	Path           string
	Query          string // raw query string without the question mark
	Header         map[string][]string
	Body           []byte
	IdempotencyKey string
	Deadline       time.Time // zero means the route's timeout
	TraceParent    string    // W3C trace context of the caller's span
	// Tried lists the upstreams that already got an attempt of this call. The
	// manager sets it for Options.Pick; callers leave it empty.
	Tried []model.UpstreamID
}

// RouteName names the request's route in evidence and latency figures.
func (r Request) RouteName() string {
	return r.Route.Method + " " + r.Route.Path
}

// Response is a plain service's answer.
type Response = call.Response

// Sender makes one attempt. It sends at most one request, returns soon after
// ctx ends, and sends nothing once it has returned. Its errors are of type
// *SendError; an error of another type counts as sent.
type Sender interface {
	Send(ctx context.Context, upstream model.Upstream, req Request) (Response, error)
}

// SendError says why an attempt has no response.
type SendError struct {
	Sent bool // a byte of the request may have been handed to a connection
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "call may have run: " + e.Err.Error()
	}
	return "call was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ClaimState is the state of a claim row.
type ClaimState string

// Claim states. ClaimHeld becomes ClaimDone or ClaimNotRun by a write of the
// instance that holds the nonce; ClaimNotRun becomes ClaimHeld under a new
// nonce; ClaimDone is final.
const (
	ClaimHeld   ClaimState = "claimed" // may have run, may run
	ClaimDone   ClaimState = "done"    // has run, the result is in the row
	ClaimNotRun ClaimState = "not_run" // has not run and never runs
)

// Claim is the row "calls/<organisation>/<service>/<key>".
type Claim struct {
	Nonce       string // names the one run that the claim allows
	Instance    model.InstanceID
	Request     model.RequestID
	BodyHash    string // hex SHA-256 of method, path, query and body
	State       ClaimState
	ClaimedAt   time.Time
	EndedAt     time.Time
	Status      int
	Header      map[string][]string
	Body        []byte
	BodyOmitted bool // the response exceeded maxRecordedBytes
}

// Options configure a Manager. All fields are required except Observe.
type Options struct {
	Pool     *worker.Pool
	Instance model.InstanceID
	Calls    *call.Table
	Claims   store.Rows[Claim]
	Sender   Sender
	// Pick chooses the version by share and an upstream of it that is not in
	// req.Tried. It reports false when there is none.
	Pick func(req Request) (model.Upstream, bool)
	// Observe receives the result of each attempt.
	Observe func(upstream model.Upstream, route string, o evidence.Observation)
}

// Manager runs calls.
type Manager struct {
	Options
	budget    *call.Budget
	latencies *call.Latencies
	metrics   *metrics
	history   *call.History
}

// New returns a Manager.
func New(opts Options) *Manager {
	if opts.Observe == nil {
		opts.Observe = func(model.Upstream, string, evidence.Observation) {}
	}
	return &Manager{Options: opts, budget: call.NewBudget(retryBudget), latencies: call.NewLatencies(), metrics: newMetrics(), history: call.NewHistory()}
}

// Submit runs the call. done is called exactly once, on a worker under the
// request's key, unless the pool closes first.
func (m *Manager) Submit(req Request, done func(Response, *model.Refusal)) {
	started := time.Now()
	m.history.Begin(call.Past{Request: req.ID, Service: req.Service, Route: req.RouteName(), Started: started})
	counted := func(resp Response, refusal *model.Refusal) {
		outcome := outcomeLabel(resp, refusal)
		m.metrics.countEnd(req, outcome, time.Since(started))
		m.history.End(req.ID, outcome, time.Now())
		done(resp, refusal)
	}
	m.Pool.Post(worker.Key(req.ID), worker.Func(func() { m.start(req, counted) }))
}

func (m *Manager) start(req Request, done func(Response, *model.Refusal)) {
	req.Deadline = deadline(req, time.Now())
	if refusal := check(req, time.Now()); refusal != nil {
		done(Response{}, refusal)
		return
	}
	if req.Route.Idempotent {
		m.startRun(req, done)
		return
	}
	m.startOnce(req, done)
}

// deadline returns the earlier of the caller's deadline and the route's.
func deadline(req Request, now time.Time) time.Time {
	timeout := req.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	limit := now.Add(timeout)
	if !req.Deadline.IsZero() && req.Deadline.Before(limit) {
		return req.Deadline
	}
	return limit
}

// check refuses a call that cannot be started.
func check(req Request, now time.Time) *model.Refusal {
	switch {
	case !now.Before(req.Deadline):
		return refuseDeadline()
	case req.Route.Idempotent:
		return nil
	case req.IdempotencyKey == "":
		return refuseKeyRequired(req)
	case len(req.IdempotencyKey) > maxKeyBytes:
		return refuseKeyInvalid()
	default:
		return nil
	}
}

// Explain returns what is remembered of a call.
func (m *Manager) Explain(id model.RequestID) (call.Past, bool) { return m.history.Get(id) }

// begin remembers an attempt that is about to be sent.
func (m *Manager) begin(req Request, upstream model.Upstream, now time.Time) {
	m.history.Attempt(req.ID, call.PastAttempt{Upstream: upstream.ID, Version: upstream.Version, Started: now})
}

// end counts and remembers the result of an attempt. superseded means that
// another attempt of the call was faster.
func (m *Manager) end(req Request, upstream model.Upstream, resp Response, err error, superseded bool) {
	result := resultOf(resp, err, superseded)
	m.metrics.countAttempt(req, result)
	m.history.Result(req.ID, upstream.ID, result)
}

// observe reports one attempt as evidence for its version.
func (m *Manager) observe(upstream model.Upstream, req Request, resp Response, err error, took time.Duration) {
	m.Observe(upstream, req.RouteName(), evidence.Observation{
		Failed:    err != nil || resp.Status >= 500,
		FirstWait: took,
	})
}
