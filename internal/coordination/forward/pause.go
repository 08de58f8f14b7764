package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/outlier"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// An upstream that turns a request away may ask this instance for a pause. No request is
// placed there until its end, and then few until the upstream has answered some. Streams
// that run there go on.

// CodePaused is the refusal code of a request that no upstream takes in time because of
// the pauses that all of them asked for.
const CodePaused = "upstreams_paused"

// handlePause keeps requests away from an upstream that asked for a pause.
func (r *activeRequest) handlePause(a *attempt, pause time.Duration) {
	now := time.Now()
	if !r.m.opts.Upstreams.Pause(a.upstream.ID, now, now.Add(pause)) {
		return
	}
	r.m.metrics.countPause(r.service.Name)
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("upstream", string(a.upstream.ID)).
		WithField("service", r.service.Name).WithField("pause_ms", pause.Milliseconds()).Info("upstream asks for a pause")
}

// takeReturnSlot counts the attempt if its upstream returns from a pause.
func (r *activeRequest) takeReturnSlot(a *attempt) {
	var first bool
	if a.returnSlot, first = r.m.opts.Upstreams.TakeReturnSlot(a.upstream.ID); first {
		r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("upstream", string(a.upstream.ID)).
			Info("upstream gets requests again after its pause")
	}
}

// endReturnSlot ends the count. served says that the upstream answered.
func (r *activeRequest) endReturnSlot(a *attempt, served bool) {
	if a.returnSlot {
		a.returnSlot = false
		r.m.opts.Upstreams.EndReturnRequest(a.upstream.ID, served)
	}
}

// firstPauseEnd returns the time at which the first upstream takes the request that only
// its pause or its return from one keeps from it; false means that there is none.
func (m *Manager) firstPauseEnd(r *activeRequest, now time.Time) (first time.Time, found bool) {
	for _, row := range m.filterByVersion(r, m.opts.Upstreams.Serving(r.service.Name), now) {
		if isUnavailable(row, r.tried) || row.WantsRequests(now) {
			continue
		}
		at := row.PausedUntil
		if !at.After(now) {
			at = now.Add(holdCheckInterval) // an answer to an earlier request makes room
		}
		if !found || at.Before(first) {
			first, found = at, true
		}
	}
	return first, found
}

// isUnavailable reports whether the request may not go to the upstream, whatever its
// pauses.
func isUnavailable(row upstream.Row, tried map[model.UpstreamID]bool) bool {
	return tried[row.Upstream.ID] || row.Report.Health == upstream.HealthLeaving || row.Report.Health == upstream.HealthDown
}

// waitForPause calls retry when an upstream may take the request again. If that is too
// late for the caller, it refuses the request at once, and it returns false if the
// request may have run.
func (r *activeRequest) waitForPause(end time.Time, retry func()) bool {
	now := time.Now()
	tooLate := !r.deadline.IsZero() && !end.Add(outlier.LateAfter(r.route.Objective)).Before(r.deadline)
	if tooLate || !r.beginHold() {
		if r.executions > 0 {
			return false
		}
		r.m.metrics.countPauseRefusal(r.service.Name)
		r.refuse(&model.Refusal{
			Code:       CodePaused,
			Message:    "All upstreams of service " + r.service.Name + " have asked for a pause.",
			Outcome:    model.OutcomeNotRun,
			RetryAfter: end.Sub(now),
		})
		return true
	}
	r.leaveAdmission()
	r.m.opts.Pool.After(min(end.Sub(now), holdCheckInterval), r.key, worker.Func(func() {
		if !r.ended {
			retry()
		}
	}))
	return true
}
