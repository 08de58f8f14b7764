package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// A sound engine may be silent for a second or so and then go on. A silent stream may
// move to another engine, by the rules of continuation.Silence, but silence alone ends
// neither a stream nor a call, and one silent stream does not count as a failure of its
// engine.

// silenceLimits derives the limits on silence from the route. A loss must be detected
// early enough to resume from a copy within the longest allowed pause. Before the
// first event the engine may be reading the prompts of other requests, so exceeding
// that limit only causes a probe of the engine.
func silenceLimits(route model.HostRoute) continuation.Limits {
	gap, objective := route.MaxGap, route.Objective
	if gap == 0 {
		gap = defaultMaxGap
	}
	if objective == 0 {
		objective = defaultObjective
	}
	return continuation.Limits{
		Factor:          6,
		Min:             gap * 4 / 10,
		Max:             gap / 2,
		FirstFactor:     1.2,
		MinFirst:        objective * 3 / 10,
		MaxFirst:        objective * 6 / 10,
		MaxFirstResumed: gap * 4 / 10,
	}
}

// silenceLimit returns how long the attempt may bring no event before its silence is
// checked.
func (r *activeRequest) silenceLimit(a *attempt) time.Duration {
	return silenceLimits(r.route).Timeout(a.pace, a.eventCount > 0, a.fromCopy)
}

// scheduleSilenceCheck runs checkSilence after the delay, in place of the check that was
// scheduled before.
func (r *activeRequest) scheduleSilenceCheck(a *attempt, delay time.Duration) {
	a.silenceTimer.Stop()
	a.silenceTimer = r.m.opts.Pool.After(delay, r.key, worker.Func(func() {
		if !r.ended && r.inFlight[a.number] == a {
			r.checkSilence(a)
		}
	}))
}

// endSilence notes that the attempt has brought an event.
func (r *activeRequest) endSilence(a *attempt) {
	a.unansweredSince, a.forgotten, a.denied = time.Time{}, false, false
	if a.eventCount == 1 || a.probed { // the next check is scheduled too late
		a.probed = false
		r.scheduleSilenceCheck(a, r.silenceLimit(a))
	}
}

// checkSilence leaves or probes the engine of an attempt that has brought no event for
// the allowed time.
func (r *activeRequest) checkSilence(a *attempt) {
	limit, silent := r.silenceLimit(a), time.Since(a.lastSeen)
	if silent < limit {
		r.scheduleSilenceCheck(a, limit-silent)
		return
	}
	if r.moveSilent(a, "no event for "+silent.String()) {
		return
	}
	if !a.probed && (a.eventCount > 0 || a.fromCopy) {
		r.logStay(a, silent)
	}
	r.probe(a)
}

// moveSilent moves the stream of a silent attempt to another engine if that is allowed,
// and reports whether it did. A resend is taken from the budget before the attempt ends,
// so that a stream never waits for the budget without an engine.
func (r *activeRequest) moveSilent(a *attempt, cause string) bool {
	if !r.silence(a).MayMove() || !r.reserveResend() {
		return false
	}
	kind := continuation.LossSilence
	if a.forgotten || a.denied {
		kind = continuation.LossNoStream
	}
	r.handleLoss(a, kind, cause, true)
	return true
}

// moveUnknown moves the stream of a silent attempt whose engine answered that it does
// not run the stream, if that is allowed, and reports whether it did. An attempt that is
// not silent goes on, as its last events may be on their way.
func (r *activeRequest) moveUnknown(a *attempt) bool {
	if time.Since(a.lastSeen) < r.silenceLimit(a) {
		return false
	}
	a.denied = true
	return r.moveSilent(a, "engine no longer has the request")
}

// silence describes a silent attempt to the rules of package continuation.
func (r *activeRequest) silence(a *attempt) continuation.Silence {
	s := continuation.Silence{
		PromptRead:       a.eventCount > 0 || a.fromCopy,
		SendsLeft:        r.sendsLeft(),
		AlternativeReady: r.hasAlternative(a),
		Lost:             a.forgotten || a.denied || r.isStuck(a),
	}
	if source := r.copyForResume(a); source != nil {
		_, s.CopyReady = r.m.usableHolder(source.holder.ID)
	}
	if !a.unansweredSince.IsZero() {
		s.Unanswered = time.Since(a.unansweredSince)
	}
	return s
}

// sendsLeft returns the number of further sends that the route and the recorded crashes
// allow now.
func (r *activeRequest) sendsLeft() int {
	if r.route.Repeat == model.RepeatNever || r.pendingCrashChecks > 0 || !r.mayRunAgain() {
		return 0
	}
	return max(r.route.MaxAttempts, 1) - r.executions
}

// hasAlternative reports whether another engine that is not suspected to have failed may
// take over from the attempt's.
func (r *activeRequest) hasAlternative(a *attempt) bool {
	ready, _ := r.m.eligibleUpstreams(r, time.Now())
	for _, row := range ready {
		if row.Upstream.ID != a.upstream.ID {
			return r.stream.consecutiveFailures+1 < continuation.MaxFailures
		}
	}
	return false
}

// isStuck reports whether the attempt has been silent for longer than a live engine may be.
func (r *activeRequest) isStuck(a *attempt) bool {
	stuck := time.Duration(maxEventWait * float64(r.route.Objective))
	return stuck > 0 && time.Since(a.lastSeen) > stuck
}

// usableHolder returns the row of the engine that holds a copy, and whether a stream may
// resume there.
func (m *Manager) usableHolder(id model.UpstreamID) (row upstream.Row, usable bool) {
	row, known := m.opts.Upstreams.Get(id)
	now := time.Now()
	return row, known && row.Report.Health != upstream.HealthLeaving && row.WantsRequests(now) && !m.mayHaveFailed(row, now)
}

// reserveResend takes a resend from the budget for the next send. It returns false if
// the budget is used up.
func (r *activeRequest) reserveResend() bool {
	r.resendReserved = r.resendReserved || r.m.opts.Budget.TakeResend(r.service.Name)
	return r.resendReserved
}

// takeResend uses the reserved resend or takes one from the budget. It returns false if
// the budget is used up.
func (r *activeRequest) takeResend() bool {
	if r.resendReserved {
		r.resendReserved = false
		return true
	}
	return r.m.opts.Budget.TakeResend(r.service.Name)
}

// recordSilence keeps new work away from an engine that a stream left for its silence,
// until the engine answers a probe or sends output to any stream. Only an unanswered
// probe counts as a connection failure of the engine, of which other instances hear.
func (r *activeRequest) recordSilence(a *attempt) {
	if !a.unansweredSince.IsZero() { // the failure has been recorded
		r.recordConnectionFailure(a)
		return
	}
	r.recordOutcome(a, true, string(continuation.LossSilence))
	now := time.Now()
	row, known := r.m.opts.Upstreams.Get(a.upstream.ID)
	if !known || now.Sub(row.LastOutputAt) < silenceLimits(r.route).Min {
		return // other streams have output from the engine
	}
	r.m.opts.Upstreams.RecordFailure(a.upstream.ID, now, now.Add(failedAvoidTime))
	r.m.metrics.countProbe(r.service.Name)
	r.m.opts.Sender.Probe(a.upstream, probeTimeout, func(_ EngineState, err error) {
		r.m.opts.Pool.Post(r.key, worker.Func(func() {
			if err != nil {
				r.recordUnansweredProbe(a)
				return
			}
			r.m.opts.Upstreams.RecordOutput(a.upstream.ID, time.Now())
		}))
	})
}

// recordUnansweredProbe records a connection failure of the attempt's engine, unless a
// stream here has had output from it since the probe began.
func (r *activeRequest) recordUnansweredProbe(a *attempt) {
	now := time.Now()
	if row, known := r.m.opts.Upstreams.Get(a.upstream.ID); !known || now.Sub(row.LastOutputAt) < probeTimeout {
		return
	}
	r.m.opts.Upstreams.RecordFailure(a.upstream.ID, now, now.Add(failedAvoidTime))
	r.m.opts.ConnectionFailed(a.upstream.ID, now)
}

func (r *activeRequest) logStay(a *attempt, silent time.Duration) {
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("attempt", a.number).
		WithField("position", uint64(r.stream.accepted)).
		WithField("silent_ms", silent.Milliseconds()).
		WithField("sends_left", r.sendsLeft()).
		Info("stream stays at its silent engine")
}
