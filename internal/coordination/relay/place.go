package relay

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// requestArrived is the work item that passes a new generation to admission.
type requestArrived struct {
	m    *Manager
	spec model.GenerationSpec
}

// Run implements worker.Item.
func (i requestArrived) Run() {
	id := i.spec.Request
	i.m.opts.Admission.Enter(i.spec, func(refusal *model.Refusal) {
		r, ok := i.m.opts.Generations.Get(id)
		if !ok || r.End != nil {
			return
		}
		if refusal != nil {
			i.m.refuse(r, refusal)
			return
		}
		i.m.place(id)
	})
}

// place finds an engine for the generation and starts a stream on it. All
// attempts of a line run on the same version.
func (m *Manager) place(id model.RequestID) {
	r, ok := m.unplaced(id)
	if !ok {
		return
	}
	request := suspicion.PlaceRequest{
		ID:             id,
		Fingerprint:    r.Fingerprint,
		Engines:        func() []model.UpstreamID { return m.candidates(id) },
		HandedToEngine: r.Attempt.Number > 0,
	}
	if r.ShownTokens == 0 {
		request.Deadline = r.Spec.Deadline // an answer that has begun may continue past the deadline
	}
	m.opts.Guard.Place(request, func(where suspicion.Placement, refusal *model.Refusal) {
		m.startPlaced(request, where, refusal)
	})
}

// unplaced returns the record and whether the generation needs an engine.
func (m *Manager) unplaced(id model.RequestID) (generation.Record, bool) {
	r, ok := m.opts.Generations.Get(id)
	return r, ok && r.End == nil && !r.Attempt.Open
}

// candidates returns the engines that may take the generation now.
func (m *Manager) candidates(id model.RequestID) []model.UpstreamID {
	r, ok := m.opts.Generations.Get(id)
	if !ok {
		return nil
	}
	version, now := m.version(r).Version, time.Now()
	var ids []model.UpstreamID
	for _, row := range m.opts.Upstreams.Serving(r.Spec.Model) {
		if row.Upstream.Runs(version, r.Spec.Adapter) && row.Usable(now) {
			ids = append(ids, row.Upstream.ID)
		}
	}
	return ids
}

// startPlaced starts an attempt on an engine that the guard's placement allows.
func (m *Manager) startPlaced(request suspicion.PlaceRequest, where suspicion.Placement, refusal *model.Refusal) {
	r, ok := m.unplaced(request.ID)
	if !ok {
		m.opts.Guard.ReleasePlacement(request.Fingerprint, where) // the generation ended while the placement was pending
		return
	}
	if refusal != nil {
		m.refuse(r, refusal)
		return
	}
	engine, ok := m.pick(r, where)
	if !ok {
		m.opts.Guard.ReleasePlacement(r.Fingerprint, where)
		m.waitForEngine(r)
		return
	}
	m.opts.Guard.AttemptStarted(r.Fingerprint, engine.upstream.ID)
	m.start(r, engine)
}

// outcomeOf returns the outcome that a refusal reports: not run until the first
// attempt has been handed to an engine, and unknown after that.
func outcomeOf(r generation.Record) model.Outcome {
	if r.Attempt.Number == 0 {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// version returns the version on which the next attempt must run, and the reason.
func (m *Manager) version(r generation.Record) routing.VersionChoice {
	if r.Version != "" {
		return routing.VersionChoice{Version: r.Version, Rule: generation.VersionOfLine}
	}
	return m.opts.Router.ChooseVersionWithRule(r.Spec.Model, r.Spec.Request)
}

// pickedEngine is the engine chosen for an attempt, with the reason for the choice.
type pickedEngine struct {
	upstream     model.Upstream
	estimate     routing.Estimate
	choiceReason generation.Choice
}

// pick chooses the engine for the next attempt. A placement that names an
// engine is followed. Otherwise pick avoids the engine of the last attempt and
// the engines that run a suspect request, unless no other engine is left.
func (m *Manager) pick(r generation.Record, where suspicion.Placement) (pickedEngine, bool) {
	version := m.version(r)
	choice := generation.Choice{Version: version.Rule, Share: version.Share}
	placement := routing.Placement{
		Serves:  r.Spec.Model,
		Version: version.Version,
		Adapter: r.Spec.Adapter,
		Work:    remainingWork(r),
		Blocks:  prefix.Blocks(r.Spec.Prompt),
		Now:     time.Now(),
	}
	if where.Upstream != "" {
		placement.Exclude = func(id model.UpstreamID) bool { return id != where.Upstream }
		choice.Upstream = generation.UpstreamQuarantine
		return m.routerPick(placement, choice)
	}
	occupied := m.opts.Guard.EnginesRunningSuspects()
	placement.Exclude = func(id model.UpstreamID) bool {
		return (r.Attempt.Number > 0 && id == r.Attempt.Upstream) || occupied[id]
	}
	choice.Upstream = generation.UpstreamEarliest
	if engine, ok := m.routerPick(placement, choice); ok {
		return engine, true
	}
	placement.Exclude = nil
	choice.Upstream = generation.UpstreamNoOther
	return m.routerPick(placement, choice)
}

func (m *Manager) routerPick(p routing.Placement, choice generation.Choice) (pickedEngine, bool) {
	up, estimate, ok := m.opts.Router.Pick(p)
	return pickedEngine{upstream: up, estimate: estimate, choiceReason: choice}, ok
}

func remainingWork(r generation.Record) routing.Work {
	bytes := len(r.Spec.Prompt)
	for _, t := range r.Tokens {
		bytes += len(t)
	}
	return routing.Work{PromptBytes: bytes, Tokens: r.Spec.Sampling.MaxTokens - len(r.Tokens)}
}

// start opens a new attempt on the engine.
func (m *Manager) start(r generation.Record, engine pickedEngine) {
	up, number := engine.upstream, r.Attempt.Number+1
	row, _ := m.opts.Upstreams.Get(up.ID)
	stream := model.StreamID(fmt.Sprintf("%s.%s.%d", r.Spec.Request, r.Line, number))
	now := time.Now()
	attempt := generation.Attempt{
		Number:      number,
		Stream:      stream,
		Upstream:    up.ID,
		Incarnation: row.Report.Incarnation,
		Version:     up.Version,
		First:       len(r.Tokens),
		Started:     now,
		LastSeen:    now,
		Expected:    engine.estimate.FirstToken,
		Choice:      engine.choiceReason,
		Open:        true,
	}
	earlier := r.Attempt.TraceParent
	r = m.openAttempt(r.Spec.Request, attempt)
	req := StreamRequest{Stream: stream, Spec: r.Spec, Version: up.Version, Continue: r.Tokens, PreviousTraceParent: earlier}
	if len(r.Tokens) > 0 || number > 1 {
		req.Spec.Priority = model.PriorityResume
	}
	r = m.storeTraceParent(r, m.opts.Engines.Start(up, req, m.newConnEvents(r, up)))
	m.armSilenceCheck(r)
	m.opts.Copier.GenerationOpened(r)
	m.opts.Copier.TokensAccepted(r.Spec.Request)
}

// attach opens a new attempt that reads the stream of the last attempt.
func (m *Manager) attach(r generation.Record, up model.Upstream) {
	now := time.Now()
	attempt := r.Attempt
	attempt.Number++
	attempt.Started = now
	attempt.LastSeen = now
	attempt.First = len(r.Tokens)
	attempt.Attached = true
	attempt.Choice = generation.Choice{Version: generation.VersionOfLine, Upstream: generation.UpstreamStream}
	attempt.Open = true
	attempt.TraceParent = ""
	m.opts.Guard.AttemptStarted(r.Fingerprint, up.ID)
	earlier := r.Attempt.TraceParent
	r = m.openAttempt(r.Spec.Request, attempt)
	req := StreamRequest{Stream: attempt.Stream, Spec: r.Spec, Version: up.Version, PreviousTraceParent: earlier}
	r = m.storeTraceParent(r, m.opts.Engines.Attach(up, req, len(r.Tokens), reattachTimeout, m.newConnEvents(r, up)))
	m.armSilenceCheck(r)
	m.opts.Copier.GenerationOpened(r) // a line that was taken over has no copy yet
}

func (m *Manager) openAttempt(id model.RequestID, a generation.Attempt) generation.Record {
	var opened generation.Record
	m.opts.Generations.Update(id, func(r *generation.Record) {
		r.Attempt = a
		r.Version = a.Version
		opened = *r
	})
	return opened
}

// storeTraceParent stores the trace context of the current attempt. The span of
// the next attempt, on this instance or on one that takes over, links to it.
func (m *Manager) storeTraceParent(r generation.Record, traceParent string) generation.Record {
	if traceParent == "" {
		return r
	}
	m.opts.Generations.Update(r.Spec.Request, func(now *generation.Record) {
		now.Attempt.TraceParent = traceParent
		r = *now
	})
	return r
}

// waitForEngine schedules another placement after placementRetryInterval, or
// refuses the generation if it has waited for too long.
func (m *Manager) waitForEngine(r generation.Record) {
	waitingSince := r.OutputLostAt
	if waitingSince.IsZero() {
		waitingSince = r.Created
	}
	waited := time.Since(waitingSince)
	switch {
	case r.ShownTokens == 0 && waited < continuation.MaxUnplacedWait && !pastDeadline(r):
	case r.ShownTokens > 0 && waited < continuation.MaxContinuationWait:
	default:
		m.refuse(r, noEngineRefusal(r))
		return
	}
	id := r.Spec.Request
	if r.ShownTokens == 0 && r.Version != "" {
		m.restartLine(id)
	}
	m.opts.Pool.After(placementRetryInterval, key(id), worker.Func(func() {
		if m.isCurrent(r) {
			m.place(id)
		}
	}))
}

func pastDeadline(r generation.Record) bool {
	return !r.Spec.Deadline.IsZero() && time.Now().After(r.Spec.Deadline)
}

func noEngineRefusal(r generation.Record) *model.Refusal {
	if r.ShownTokens > 0 {
		return &model.Refusal{
			Code:    "continuation_unavailable",
			Message: fmt.Sprintf("No engine of version %q of model %q is left to continue the answer.", r.Version, r.Spec.Model),
			Outcome: model.OutcomeUnknown,
		}
	}
	return &model.Refusal{
		Code:       "no_engine",
		Message:    fmt.Sprintf("No engine of model %q is available.", r.Spec.Model),
		Outcome:    outcomeOf(r),
		RetryAfter: time.Second,
	}
}

// restartLine discards the accepted tokens, if none has been shown, so that the
// next attempt begins a new line on any allowed version. It reports whether it
// discarded them.
func (m *Manager) restartLine(id model.RequestID) bool {
	restarted := false
	m.opts.Generations.Update(id, func(r *generation.Record) {
		if r.ShownTokens > 0 {
			return
		}
		r.Line = m.opts.NewLine(id)
		r.Forks = nil
		r.LineCopied = false
		r.Tokens = nil
		r.CopiedTokens = 0
		r.Version = ""
		restarted = true
	})
	return restarted
}

// hasAlternative reports whether an engine other than the current one runs the
// record's version and may take work.
func (m *Manager) hasAlternative(r generation.Record) bool {
	now := time.Now()
	for _, row := range m.opts.Upstreams.Serving(r.Spec.Model) {
		if isAlternative(row, r, now) {
			return true
		}
	}
	return false
}

func isAlternative(row upstream.Row, r generation.Record, now time.Time) bool {
	return row.Upstream.Runs(r.Version, r.Spec.Adapter) && row.Upstream.ID != r.Attempt.Upstream && row.Usable(now)
}
