package forward

import (
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/outlier"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// failedAvoidTime is how long an upstream gets no new work after its connection
	// failed. A crashed upstream needs about a second to start again.
	failedAvoidTime = 1500 * time.Millisecond
	// minResendTime is the least time before the deadline at which a request is sent again.
	minResendTime = 20 * time.Millisecond
)

// placeCall sends a call to the upstream with the most free capacity.
func (r *activeRequest) placeCall() {
	if !r.admitted {
		r.enter(r.placeCall)
		return
	}
	up, ok := r.m.pickCallUpstream(r)
	switch {
	case !ok && r.attemptNumber == 0 && r.m.allLeave(r, time.Now()):
		r.hold(r.placeCall, refuseNoUpstream(r.service.Name, r.req))
		return
	case !ok:
		end, paused := r.m.firstPauseEnd(r, time.Now())
		if !paused || len(r.inFlight) > 0 || !r.waitForPause(end, r.placeCall) {
			r.settleCall()
		}
		return
	}
	r.endHold()
	a := &attempt{upstream: up, work: commitment.Work{Requests: 1}}
	r.executions++
	r.startAttempt(a, Send{ReuseConnection: r.route.Repeat == model.RepeatAny})
	r.watchSlowCall(a)
}

// watchSlowCall records a bad outcome if the upstream is slow to answer, and then
// sends an idempotent call to a second upstream as well.
func (r *activeRequest) watchSlowCall(a *attempt) {
	lateAfter := outlier.LateAfter(r.route.Objective)
	if lateAfter == 0 {
		return
	}
	r.m.opts.Pool.After(lateAfter, r.key, worker.Func(func() {
		if r.ended || r.inFlight[a.number] != a {
			return
		}
		r.recordOutcome(a, true, "slow")
		if r.route.Repeat != model.RepeatAny || len(r.inFlight) > 1 {
			return
		}
		r.tried[a.upstream.ID] = true
		if r.mayResend() {
			r.m.metrics.countResend(r.service.Name, "slow")
			r.placeCall()
		}
	}))
}

// handleAnswer delivers an upstream's complete answer or retries the request elsewhere.
// It cannot be delivered to a caller that has a part of a stream.
func (r *activeRequest) handleAnswer(a *attempt, answer Answer) {
	r.endReturnSlot(a, !answer.NotRun && answer.Status < 500)
	a.ran = !answer.NotRun && !answer.AddressReassigned
	r.endAttempt(a)
	if answer.Pause > 0 && !answer.AddressReassigned {
		r.handlePause(a, answer.Pause)
	}
	switch {
	case answer.AddressReassigned:
		r.m.opts.Upstreams.Leave(a.upstream.ID)
		r.m.opts.ConnectionFailed(a.upstream.ID, time.Now())
		r.m.findSuccessor(a.upstream, r.service, answer.CurrentUpstream)
		r.retryNotRun(a, "another upstream has the address")
	case answer.NotRun && answer.Pause == 0 && !r.route.Stream && r.executions == 1 && len(r.inFlight) == 0:
		r.handleTurnedAway(a)
	case answer.NotRun:
		r.retryNotRun(a, "upstream is full")
	case r.response.begun:
		// The engine has not continued the stream that another one began. That one ran
		// the request, so an error does not show that the request itself is at fault.
		r.clearSuspicion(false)
		r.handleLoss(a, continuation.LossStatus, "status "+strconv.Itoa(answer.Status)+" in place of events", true)
	case answer.Status >= 500 && r.route.Repeat != model.RepeatNever:
		r.clearSuspicion(false)
		r.recordOutcome(a, true, "status")
		r.lastFailure, r.hasLastFailure = answer, true
		r.retryOrSettle(a, "status")
	default:
		r.clearSuspicion(false)
		r.recordOutcome(a, answer.Status >= 500, "answer")
		r.m.opts.Upstreams.RecordOutput(a.upstream.ID, time.Now())
		r.deliver(answer)
	}
}

// retryNotRun continues with another upstream after one that did not run the request.
func (r *activeRequest) retryNotRun(a *attempt, cause string) {
	r.executions--
	r.retryOrSettle(a, cause)
}

// retryOrSettle tries another upstream, or ends the request if no retry is allowed.
func (r *activeRequest) retryOrSettle(a *attempt, cause string) {
	if row, known := r.m.opts.Upstreams.Get(a.upstream.ID); !known || row.WantsRequests(time.Now()) {
		r.tried[a.upstream.ID] = true // a paused upstream may take the request after its pause
	}
	r.logAttempt(a, cause)
	if r.route.Stream {
		r.placeStream()
		return
	}
	if !r.mayResend() {
		r.settleCall()
		return
	}
	r.m.metrics.countResend(r.service.Name, cause)
	r.placeCall()
}

// mayResend reports whether the route, the time left and the shared budget
// allow one more send. It charges the budget if they do.
func (r *activeRequest) mayResend() bool {
	if r.route.Repeat == model.RepeatNever && r.executions > 0 {
		return false
	}
	if r.executions >= max(r.route.MaxAttempts, 1) {
		return false
	}
	if !r.deadline.IsZero() && time.Until(r.deadline) < minResendTime {
		return false
	}
	if r.executions > 0 && !r.mayRunAgain() {
		return false
	}
	return r.takeResend()
}

// settleCall ends a call for which no further upstream is tried, unless an
// attempt is still in flight.
func (r *activeRequest) settleCall() {
	switch {
	case len(r.inFlight) > 0:
	case r.hasLastFailure:
		r.deliver(r.lastFailure)
	case r.executions == 0:
		r.refuse(r.busyRefusal())
	default:
		r.refuse(refuseUnknown("its connection broke"))
	}
}

// deliver passes an upstream's answer to the caller. A stream that has begun is aborted
// instead.
func (r *activeRequest) deliver(answer Answer) {
	if !r.response.answer(answer) {
		r.finishAborted("answer in place of events")
		return
	}
	r.finish("answered", answer.Status)
}

// handleLoss records the failure of an attempt and retries the request where allowed.
// sent says that a byte of the request may have reached the upstream.
func (r *activeRequest) handleLoss(a *attempt, kind continuation.Loss, cause string, sent bool) {
	r.endAttempt(a)
	switch {
	case kind == continuation.LossSilence && r.route.Stream:
		r.recordSilence(a)
	case continuation.ConcernsEngine(kind):
		now := time.Now()
		r.m.opts.Upstreams.RecordFailure(a.upstream.ID, now, now.Add(failedAvoidTime))
		r.m.opts.ConnectionFailed(a.upstream.ID, now)
		r.recordConnectionFailure(a)
	default:
		r.recordOutcome(a, true, string(kind))
	}
	r.m.metrics.countLoss(r.service.Name, kind)
	r.scheduleCrashCheck(a, kind, sent)
	if !sent {
		r.resendReserved = true // the budget limits what reaches upstreams
	}
	if r.route.Stream {
		r.handleStreamLoss(a, kind, cause, sent)
		return
	}
	description := string(kind) + ": " + cause
	if !sent {
		r.retryNotRun(a, description)
		return
	}
	r.retryOrSettle(a, description)
}

func (r *activeRequest) logAttempt(a *attempt, cause string) {
	r.lastLoss = cause
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("attempt", a.number).
		WithField("position", uint64(r.stream.accepted)).
		WithField("ran", r.executions).
		WithField("ms", time.Since(a.started).Milliseconds()).
		Info("attempt lost: " + cause)
}
