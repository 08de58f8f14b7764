// Package forward sends callers' requests to upstreams and returns their answers.
// It does not interpret the content of either.
//
// A request is matched to a route, which says whether the request may be repeated.
// Calls (call.go) have one complete answer. Streams (stream.go) have events with
// rising positions. A lost stream continues at another upstream by the rules of
// package continuation, from a copy of the engine's memory where there is one.
// Requests that crash the upstreams which run them, or share a part
// of their prompts with such requests, are refused (crash.go).
//
// All steps of one request are items under one key of the worker pool, so that
// they never overlap. State that concerns other requests is in the shared tables.
package forward

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/admission"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Header holds header fields by canonical name.
type Header = map[string][]string

// Position is the number of an event in its stream, counted from 1. Zero is the
// position before the first event.
type Position uint64

// PromptPart is a section of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// GenerationWork is the work that a request asks of an engine. It is zero for requests
// that do not describe their work.
type GenerationWork struct {
	PromptTokens int
	OutputTokens int // upper limit
	Parts        []PromptPart
}

// Request is a caller's request.
type Request struct {
	ID           model.RequestID // set by the caller, new for each of its attempts
	Host         string
	Method       string
	Path         string
	Query        string // raw, without the question mark
	EmptyQuery   bool   // the target has a question mark and nothing after it
	Header       Header // fields that are forwarded to the upstream
	Body         []byte
	Credential   string
	Arrived      time.Time
	Deadline     time.Time // until which the caller waits; zero means unknown
	LastPosition Position  // position of the last event that the caller has
	Work         GenerationWork
	// TraceParent is the W3C trace context of the caller's span; empty unless the
	// span is recorded.
	TraceParent string
}

// Reply is the caller's side of a request. Its methods do not block, and are
// called by one item of the worker pool at a time.
type Reply interface {
	// Answer sends a complete answer.
	Answer(a Answer)
	// Begin starts a stream of events.
	Begin(status int, header Header)
	// Events sends complete events as the upstream encoded them.
	Events(raw []byte)
	// End completes a stream. Nothing follows.
	End()
	// Abort aborts a stream that has begun, so that the caller does not take it for complete.
	Abort()
	// Refuse sends a refusal, an answer that comes from this system and not from an upstream.
	Refuse(r *model.Refusal)
}

// Budget bounds the resends of requests over all instances.
type Budget interface {
	// CountRequest counts one request for the service.
	CountRequest(service string)
	// TakeResend takes one resend from the service's budget. It returns false if the
	// budget is used up.
	TakeResend(service string) bool
}

// Options configure a Manager.
type Options struct {
	Pool          *worker.Pool
	Rules         *rules.Table
	Upstreams     *upstream.Table
	Commitments   *commitment.Table
	Locations     *location.Table
	Outcomes      *outcome.Table
	Moves         *move.Table
	Suspects      *suspect.Table
	Organisations *organisation.Table // requests that wait for room
	Demand        *demand.Table
	Sender        Sender
	Budget        Budget
	FailureDomain model.FailureDomain // of this instance
	// FailureDomains is the number of failure domains that the settings name. With fewer
	// than two, no shares of work that leaves the domain are planned.
	FailureDomains int
	// CellMembers returns the number of other live instances of the cell, and OtherCells the
	// number of other cells that have one.
	CellMembers func() int
	OtherCells  func() int
	// PrefersEngine reports whether this instance's cell prefers the engine at an address.
	PrefersEngine func(address string) bool
	// Instances returns the number of live instances, this one included.
	Instances    func() int
	Policy       Policy // chooses engines for streams
	StateChanged func() // called when the state that this instance sends to the others changed
	// SuccessorFound is called with an engine that was found at the address of a lost one.
	SuccessorFound func(model.Upstream)
	// UpstreamLeft is called when an upstream said in an answer that it leaves.
	UpstreamLeft func(id model.UpstreamID)
	// ConnectionFailed is called when the connection to an upstream failed here.
	ConnectionFailed func(id model.UpstreamID, at time.Time)
	// PublishCrashes is called with the recorded crashes of a request. widely says that
	// they go to all instances and not only to those of the cell.
	PublishCrashes func(rows suspect.Rows, widely bool)
	// RunsTrials reports whether this instance is the one that runs requests with the
	// fingerprint although they are known to have crashed upstreams.
	RunsTrials func(fp suspect.Fingerprint) bool
	Log        log.Interface
}

// Manager forwards the requests of one instance.
type Manager struct {
	opts           Options
	metrics        *metrics
	admission      *admission.Manager
	supplies       supplyCache
	requestSerial  atomic.Uint64
	heldCount      atomic.Int64 // requests that wait for rules or upstreams
	streamReleases pacer        // of held streams
	// promptSearches holds the latest search of each service. Only items under
	// promptSearchKey access it.
	promptSearches map[string]*promptSearch
	running        runningRequests
	localities     localityPlans
}

// New returns a Manager.
func New(opts Options) *Manager {
	opts.Log = opts.Log.WithField("part", "forward")
	m := &Manager{opts: opts, metrics: newMetrics(), promptSearches: map[string]*promptSearch{}}
	m.admission = m.newAdmission()
	return m
}

// Submit starts forwarding a request. The returned function reports that the
// caller disconnected.
func (m *Manager) Submit(req *Request, reply Reply) (left func()) {
	r := &activeRequest{
		m:        m,
		req:      req,
		response: response{reply: reply},
		key:      worker.Key(fmt.Sprintf("forward/%d", m.requestSerial.Add(1))),
	}
	m.running.add(r)
	m.opts.Pool.Post(r.key, worker.Func(r.handleArrival))
	return func() { m.opts.Pool.Post(r.key, worker.Func(r.callerLeft)) }
}

// activeRequest is the state of one request from its arrival to its end. Only items
// under its key access its fields.
type activeRequest struct {
	m        *Manager
	req      *Request
	response response
	key      worker.Key

	route         model.HostRoute
	service       model.BackendService
	organisation  model.OrganisationID
	priority      int       // 0 is the most urgent
	revision      uint64    // of the rules that chose the route
	deadline      time.Time // for the answer; zero means none
	deadlineTimer *worker.Timer

	attemptNumber  int                       // of the newest attempt
	lastUpstream   model.UpstreamID          // of the newest attempt
	inFlight       map[int]*attempt          // attempts that have not ended, by number
	tried          map[model.UpstreamID]bool // upstreams whose attempt failed or is slow
	executions     int                       // attempts that an upstream may have run
	lastLoss       string                    // why the newest lost attempt was lost; empty if none was
	lastFailure    Answer                    // an upstream's error answer, delivered if no other attempt succeeds
	hasLastFailure bool
	resendReserved bool // the budget has been charged for the next send
	stream         streamState
	ended          bool

	cachedFingerprints []suspect.Fingerprint // computed on first use; empty before
	onTrial            bool                  // runs although it is known to have crashed upstreams
	brokenUpstreams    []model.UpstreamID    // upstreams whose connections broke before an answer
	pendingCrashChecks int                   // checks whether one of brokenUpstreams crashed

	entering bool // waits for a place or its refusal
	entry    int  // number of the newest request for a place
	admitted bool // has a place
	// admittedBefore says that the request has had a place. It is not counted again.
	admittedBefore bool
	held           bool      // counted in Manager.heldCount
	holdUntil      time.Time // end of the hold; zero if there was none
}

// handleArrival admits the request and starts its first attempt, or holds or refuses it.
func (r *activeRequest) handleArrival() {
	if r.m.running.areEnding() {
		r.refuse(RefuseLeaving())
		return
	}
	current := r.m.opts.Rules.Index()
	if current == nil {
		r.hold(r.handleArrival, refuseNotReady(r.req))
		return
	}
	admitted, refusal := Admit(current, r.req)
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	r.route, r.organisation = admitted.Route, admitted.Organisation
	r.service, r.revision = admitted.Service, current.Rules.Revision
	r.priority = current.Priority(r.organisation, r.route)
	r.deadline = Deadline(r.req, r.route)
	r.tried = map[model.UpstreamID]bool{}
	r.inFlight = map[int]*attempt{}
	if r.refuseIfCrashing() {
		return
	}
	r.m.opts.Budget.CountRequest(r.service.Name)
	r.m.opts.Demand.RecordArrival(r.service.Name, time.Now())
	if !r.deadline.IsZero() {
		r.deadlineTimer = r.m.opts.Pool.After(time.Until(r.deadline), r.key, worker.Func(r.handleDeadline))
	}
	if r.route.Stream {
		r.stream.delivered = r.req.LastPosition
		r.stream.accepted = r.req.LastPosition
		if r.needsPromptSearch() {
			r.m.locatePrompt(r, func() { r.m.opts.Pool.Post(r.key, worker.Func(r.placeStream)) })
			return
		}
		r.placeStream()
		return
	}
	r.placeCall()
}

// Deadline returns the earlier of the caller's deadline and the route's; zero means that
// there is none.
func Deadline(req *Request, route model.HostRoute) time.Time {
	if route.Timeout == 0 {
		return req.Deadline
	}
	limit := req.Arrived.Add(route.Timeout)
	if req.Deadline.IsZero() || limit.Before(req.Deadline) {
		return limit
	}
	return req.Deadline
}

// handleDeadline ends a request that is still unanswered at its deadline.
func (r *activeRequest) handleDeadline() {
	if r.ended {
		return
	}
	r.endUnanswered(r.busyRefusal, refuseDeadline())
}

// endUnanswered ends a request that gets no more time. An upstream's error answer is
// delivered unless another attempt still runs. Otherwise the request is refused, with
// what notRun returns if no upstream can have run it, and with unknown if one may have.
// notRun is called only for that case: a busy refusal moves the next time of return on.
func (r *activeRequest) endUnanswered(notRun func() *model.Refusal, unknown *model.Refusal) {
	switch {
	case len(r.inFlight) > 0 || r.response.begun:
		r.refuse(unknown)
	case r.hasLastFailure:
		r.deliver(r.lastFailure)
	case r.executions == 0:
		r.refuse(notRun())
	default:
		r.refuse(unknown)
	}
}

// outcomeAborted is the outcome of a stream whose caller got a part of the answer and
// then a closed connection. A request that is refused has the refusal's code.
const outcomeAborted = "stream_aborted"

// callerLeft ends the request without an answer after its caller disconnected.
func (r *activeRequest) callerLeft() {
	if r.ended {
		return
	}
	r.finish("caller left", 0)
}

// refuse ends a request with a refusal. A stream that has begun is aborted instead.
func (r *activeRequest) refuse(refusal *model.Refusal) {
	if r.ended {
		return
	}
	if !r.response.refuse(refusal) {
		r.finishAborted(refusal.Code)
		return
	}
	r.finish(refusal.Code, 0)
}

// finishAborted ends a request whose response had begun and was aborted.
func (r *activeRequest) finishAborted(cause string) {
	r.m.metrics.countAbortedStream(r.service.Name, cause)
	r.finish(outcomeAborted, 0)
}

// finish ends all attempts and logs the outcome.
func (r *activeRequest) finish(outcome string, status int) {
	r.ended = true
	r.endHold()
	r.endTrial()
	r.deadlineTimer.Stop()
	for _, a := range r.inFlight {
		r.discardRequestedCopy(a)
		r.endAttempt(a)
	}
	r.leaveAdmission()
	r.m.running.remove(r)
	took := time.Since(r.req.Arrived)
	r.m.metrics.countRequest(r.route, outcome, took)
	fields := log.Fields{
		"request_id": string(r.req.ID),
		"route":      r.route.Name,
		"service":    r.service.Name,
		"revision":   r.revision,
		"attempts":   r.attemptNumber,
		"upstream":   string(r.lastUpstream),
		"position":   uint64(r.stream.accepted),
		"status":     status,
		"ms":         took.Milliseconds(),
	}
	if r.lastLoss != "" {
		fields["last_loss"] = r.lastLoss
	}
	if r.route.Stream {
		fields["first_ms"] = r.stream.firstEventDelay.Milliseconds()
		fields["pause_ms"] = r.stream.longestPause.Milliseconds()
	}
	r.m.opts.Log.WithFields(fields).Info("request ended: " + outcome)
}
