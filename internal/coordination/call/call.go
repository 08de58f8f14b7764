// Package call runs calls to plain services. A non-idempotent call runs at most
// once, under a claim in the platform's table (the claims table). An idempotent
// call is retried and hedged on other upstreams.
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

// retryBudget limits retries to a burst and, beyond it, a tenth of the calls. It
// is refilled by calls and not over time, so an idle service saves up no more
// than the burst.
var retryBudget = call.BudgetOptions{RetriesPerCall: 0.1, Burst: 10}

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
	// Tried lists the upstreams that have received an attempt of this call. The
	// manager sets it for Options.Pick; callers leave it empty.
	Tried []model.UpstreamID
}

// RouteName returns the name of the request's route in evidence and latencies.
func (r Request) RouteName() string {
	return r.Route.Method + " " + r.Route.Path
}

// Response is a plain service's answer.
type Response = call.Response

// Sender makes one attempt. It sends at most one request, returns soon after ctx
// ends, and sends nothing after it has returned. Its errors are of type
// *SendError; after an error of another type the request counts as sent.
type Sender interface {
	Send(ctx context.Context, upstream model.Upstream, req Request) (Response, error)
}

// SendError says why an attempt has no response.
type SendError struct {
	Sent bool // a byte of the request may have been written to a connection
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

// Claim states. The instance that created the nonce changes ClaimHeld to ClaimDone
// or ClaimNotRun. A new claim, with a new nonce, changes ClaimNotRun to ClaimHeld.
// ClaimDone is final.
const (
	ClaimHeld   ClaimState = "claimed" // the call may have run or may still run
	ClaimDone   ClaimState = "done"    // the call has run; the row holds the result
	ClaimNotRun ClaimState = "not_run" // the call has not run and never will
)

// Claim is the row "calls/<organisation>/<service>/<key>".
type Claim struct {
	Nonce       string // identifies the single run that the claim allows
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
	// Pick chooses a version by its traffic share, and an upstream of this version
	// that is not in req.Tried. It returns false if there is none.
	Pick func(req Request) (model.Upstream, bool)
	// Observe receives the result of each attempt.
	Observe func(upstream model.Upstream, route string, o evidence.Observation)
}

// Manager runs the calls that this instance receives.
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
	m.history.Begin(call.Record{Request: req.ID, Service: req.Service, Route: req.RouteName(), Started: started})
	counted := func(resp Response, refusal *model.Refusal) {
		outcome := outcomeLabel(resp, refusal)
		m.metrics.countEnd(req, outcome, time.Since(started))
		m.history.SetOutcome(req.ID, outcome, time.Now())
		done(resp, refusal)
	}
	m.Pool.Post(worker.Key(req.ID), worker.Func(func() { m.start(req, counted) }))
}

func (m *Manager) start(req Request, done func(Response, *model.Refusal)) {
	req.Deadline = deadline(req, time.Now())
	if refusal := validate(req, time.Now()); refusal != nil {
		done(Response{}, refusal)
		return
	}
	if req.Route.Idempotent {
		m.startIdempotent(req, done)
		return
	}
	m.startOnce(req, done)
}

// deadline returns the earlier of the caller's deadline and the end of the route's
// timeout.
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

// validate returns a refusal if the call must not start, and else nil.
func validate(req Request, now time.Time) *model.Refusal {
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

// Explain returns the history of a call, if it is still kept.
func (m *Manager) Explain(id model.RequestID) (call.Record, bool) { return m.history.Get(id) }

// recordAttempt adds an attempt that is about to be sent to the call's history.
func (m *Manager) recordAttempt(req Request, upstream model.Upstream, now time.Time) {
	m.history.AddAttempt(req.ID, call.AttemptRecord{Upstream: upstream.ID, Version: upstream.Version, Started: now})
}

// recordResult adds the result of an attempt to the metrics and to the call's
// history. superseded means that another attempt of the call was faster.
func (m *Manager) recordResult(req Request, upstream model.Upstream, resp Response, err error, superseded bool) {
	result := resultLabel(resp, err, superseded)
	m.metrics.countAttempt(req, result)
	m.history.SetResult(req.ID, upstream.ID, result)
}

// observe reports one attempt as evidence for or against its version.
func (m *Manager) observe(upstream model.Upstream, req Request, resp Response, err error, took time.Duration) {
	m.Observe(upstream, req.RouteName(), evidence.Observation{
		Failed:    err != nil || resp.Status >= 500,
		FirstWait: took,
	})
}
