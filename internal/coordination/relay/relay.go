// Package relay carries generations from engines to callers and keeps them
// going when engines fail.
//
// Each generation has one attempt at a time. Tokens are accepted by position
// and only from the current attempt; a lost attempt is replaced as
// continuation.Next decides. All work items of one generation use its request
// ID as their key in the worker pool, so that they never run at the same time.
// The relay must not choose upstreams (package routing does) and must not
// encode messages.
//
// States of an attempt:
//
//	placing -> open            an engine was picked and the stream started
//	open    -> ended           the engine sent the end with the right token count
//	open    -> lost            reset, silence, gap, error status, engine leaving
//	lost    -> open            reattached, continued or restarted
//	lost    -> waiting         no engine of the version is usable
//	waiting -> open | ended    an engine became usable, or the wait timed out
package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// StreamRequest asks an engine for a stream.
type StreamRequest struct {
	Stream              model.StreamID
	Spec                model.GenerationSpec
	Version             string
	Continue            []string // accepted tokens, which the engine continues
	PreviousTraceParent string   // trace context of the previous attempt; empty for the first attempt
}

// Engines starts and ends streams on engines. Its methods do not block; what an
// engine sends is delivered to Events. Start and Attach return the trace context
// of the attempt's span, or "" if the span is not recorded.
type Engines interface {
	Start(up model.Upstream, req StreamRequest, events Events) (traceParent string)
	// Attach joins a running stream at the token position given by after.
	Attach(up model.Upstream, req StreamRequest, after int, timeout time.Duration, events Events) (traceParent string)
	// Cancel ends a stream on its engine.
	Cancel(up model.Upstream, stream model.StreamID)
	// Detach closes this instance's connections to a stream. The engine ends the
	// stream after its own grace time unless another instance reads it.
	Detach(stream model.StreamID)
}

// Events receives what one connection to an engine delivers, in order. Its
// methods are called on a network goroutine; implementations only post the
// event to the worker pool.
type Events interface {
	Tokens(stream string, position int, tokens []string)
	Ended(stream string, total int, reason string)
	Lost(kind continuation.Loss, detail continuation.Detail)
}

// Admission limits the number of generations in flight.
type Admission interface {
	// Enter calls admitted exactly once, on a worker under the request's key.
	Enter(spec model.GenerationSpec, admitted func(*model.Refusal))
	Leave(id model.RequestID)
}

// Copier replicates token logs to another instance. Its methods are called on a
// worker under the request's key.
type Copier interface {
	// GenerationOpened reports that an attempt of the generation has started.
	GenerationOpened(r generation.Record)
	// TokensAccepted reports that the log has new tokens or a new attempt.
	TokensAccepted(id model.RequestID)
	GenerationEnded(id model.RequestID)
}

// Guard limits how many engines one request can kill. suspicion.Manager
// implements it.
type Guard interface {
	// Place calls the callback then exactly once, on a worker under the request's
	// key, with the placement or the refusal.
	Place(req suspicion.PlaceRequest, then func(suspicion.Placement, *model.Refusal))
	Check(fp suspect.Fingerprint) suspicion.Verdict
	// EnginesRunningSuspects returns the engines that run a suspect request.
	EnginesRunningSuspects() map[model.UpstreamID]bool
	AttemptStarted(fp suspect.Fingerprint, up model.UpstreamID)
	AttemptStopped(fp suspect.Fingerprint, up model.UpstreamID)
	// ReleasePlacement releases a placement for which no attempt was started.
	ReleasePlacement(fp suspect.Fingerprint, where suspicion.Placement)
	EngineDied(up model.UpstreamID, incarnation uint64, running []suspicion.Running)
	RecordProgress(fp suspect.Fingerprint, position int)
	Finished(fp suspect.Fingerprint)
}

// Options configure a Manager.
type Options struct {
	Pool        *worker.Pool
	Generations *generation.Table
	Upstreams   *upstream.Table
	Router      *routing.Router
	Engines     Engines
	Admission   Admission
	Copier      Copier
	Guard       Guard
	// Observe receives the result of an attempt as evidence for or against the
	// version of its engine.
	Observe func(up model.Upstream, o evidence.Observation)
	NewLine func(model.RequestID) model.LineID
	// Decide chooses the action after a loss. Nil means continuation.Next;
	// package measure sets other rules here as a baseline to compare with.
	Decide    func(continuation.Situation) continuation.Action
	CopyAfter time.Duration // age of a generation from which its tokens are copied
	Retain    time.Duration // how long an ended generation is kept for reconnects
	Log       log.Interface
}

// Manager runs the generations of one instance.
type Manager struct {
	opts    Options
	metrics *metrics
}

// New returns a Manager.
func New(opts Options) *Manager {
	opts.Log = opts.Log.WithField("part", "relay")
	if opts.Decide == nil {
		opts.Decide = continuation.Next
	}
	return &Manager{opts: opts, metrics: newMetrics()}
}

func key(id model.RequestID) worker.Key { return worker.Key(id) }

// Submit starts a new generation. Its tokens and its end are written to the
// generation table.
func (m *Manager) Submit(spec model.GenerationSpec) {
	now := time.Now()
	m.opts.Generations.Insert(generation.Record{
		Spec:        spec,
		Fingerprint: suspicion.Fingerprint(spec),
		Line:        m.opts.NewLine(spec.Request),
		Created:     now,
		CopyAfter:   now.Add(m.opts.CopyAfter),
	})
	m.opts.Pool.Post(key(spec.Request), requestArrived{m, spec})
}

// finish ends the generation and schedules the removal of its record.
func (m *Manager) finish(id model.RequestID, end generation.End) {
	m.opts.Generations.Update(id, func(r *generation.Record) {
		if r.End == nil {
			r.End = &end
		}
	})
	if r, ok := m.opts.Generations.Get(id); ok {
		m.metrics.countEnd(r)
	}
	m.opts.Admission.Leave(id)
	m.opts.Copier.GenerationEnded(id)
	m.scheduleRemoval(id)
}

// scheduleRemoval removes the record of an ended generation after Options.Retain,
// so that callers can reconnect until then.
func (m *Manager) scheduleRemoval(id model.RequestID) {
	ended, _ := m.opts.Generations.Get(id)
	m.opts.Pool.After(m.opts.Retain, key(id), worker.Func(func() {
		if m.isCurrent(ended) {
			m.opts.Generations.Remove(id)
		}
	}))
}

// isCurrent reports whether the table still holds this record, neither removed
// nor replaced.
func (m *Manager) isCurrent(r generation.Record) bool {
	now, ok := m.opts.Generations.Get(r.Spec.Request)
	return ok && now.Epoch == r.Epoch
}

// refuse ends the generation with a refusal.
func (m *Manager) refuse(r generation.Record, refusal *model.Refusal) {
	m.opts.Log.WithField("request_id", string(r.Spec.Request)).
		WithField("code", refusal.Code).
		Warn("generation refused")
	m.finish(r.Spec.Request, generation.End{Refusal: refusal})
}
