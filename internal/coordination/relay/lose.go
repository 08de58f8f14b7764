package relay

import (
	"cmp"
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// downTime keeps new work away from an engine whose connection failed, until
// its watchers report on it.
const downTime = 2 * time.Second

// lose ends the attempt of the given number, if it is still the current one,
// and does what next decides.
func (m *Manager) lose(id model.RequestID, number int, kind continuation.Loss, detail continuation.Detail) {
	r, ok := m.opts.Generations.Get(id)
	if !ok || r.End != nil || !r.Attempt.Open || r.Attempt.Number != number {
		return
	}
	if kind == continuation.LossLeaving {
		m.opts.Upstreams.Leave(r.Attempt.Upstream)
	}
	action := m.opts.Decide(m.situation(r, kind))
	if action == continuation.Stay {
		return
	}
	m.logLoss(r, kind, detail, action)
	m.metrics.countLoss(kind, action)
	r = m.closeAttempt(r, string(kind), failureOf(r))
	if action != continuation.Reattach {
		m.learnFrom(r, kind)
	}
	m.follow(r, kind, detail, action)
}

func (m *Manager) situation(r generation.Record, kind continuation.Loss) continuation.Situation {
	return continuation.Situation{
		Loss:       kind,
		Rejoinable: !reattachFailed(r),
		Tokens:     len(r.Tokens),
		Shown:      r.Shown,
		OtherReady: m.usable(r),
		Failures:   r.Failures + failureOf(r),
		StreamOnly: len(r.Tokens) < r.StreamOnly,
	}
}

// failureOf is 1 for an attempt that brought no token, else 0.
func failureOf(r generation.Record) int {
	if len(r.Tokens) == r.Attempt.First {
		return 1
	}
	return 0
}

// reattachFailed reports whether the attempt joined a stream that brought no
// token since.
func reattachFailed(r generation.Record) bool {
	return r.Attempt.Attached && len(r.Tokens) == r.Attempt.First
}

func (m *Manager) logLoss(r generation.Record, kind continuation.Loss, detail continuation.Detail, action continuation.Action) {
	m.opts.Log.WithField("request_id", string(r.Spec.Request)).
		WithField("upstream", string(r.Attempt.Upstream)).
		WithField("attempt", r.Attempt.Number).
		WithField("tokens", len(r.Tokens)).
		WithField("detail", detail.Cause).
		WithField("next", string(action)).
		Warn("stream lost: " + string(kind))
}

// closeAttempt ends the current attempt, frees its place on the engine, and
// returns the record as it is after.
func (m *Manager) closeAttempt(r generation.Record, reason string, failures int) generation.Record {
	if !r.Attempt.Open {
		return r
	}
	after := r
	m.opts.Generations.Update(r.Spec.Request, func(r *generation.Record) {
		closeRecord(r, reason, time.Now())
		r.Failures += failures
		r.Resumes++
		if r.LostAt.IsZero() && !r.FirstAt.IsZero() {
			r.LostAt = r.Attempt.LastSeen
		}
		after = *r
	})
	m.opts.Upstreams.Release(r.Attempt.Upstream)
	m.opts.Guard.Stopped(r.Print, r.Attempt.Upstream)
	return after
}

// learnFrom marks the engine and counts evidence on its version and on the
// request. A loss that concerns the whole engine counts once for all its
// streams, and a loss that a known suspect explains does not count.
func (m *Manager) learnFrom(r generation.Record, kind continuation.Loss) {
	now := time.Now()
	row, ok := m.opts.Upstreams.Get(r.Attempt.Upstream)
	if !ok {
		return
	}
	counts := continuation.CountsAgainstVersion(kind) && m.opts.Guard.Check(r.Print) == suspicion.Free
	if continuation.ConcernsEngine(kind) {
		counts = counts && row.Usable(now)
		m.opts.Upstreams.Failed(r.Attempt.Upstream, now, now.Add(downTime))
	}
	if continuation.DiedUnder(kind, reattachFailed(r)) {
		running := []suspicion.Running{{Fingerprint: r.Print, Position: len(r.Tokens)}}
		m.opts.Guard.EngineDied(r.Attempt.Upstream, r.Attempt.Incarnation, running)
	}
	if counts {
		m.observe(r, true)
	}
}

// follow carries out the action after a loss.
func (m *Manager) follow(r generation.Record, kind continuation.Loss, detail continuation.Detail, action continuation.Action) {
	id := r.Spec.Request
	row, known := m.opts.Upstreams.Get(r.Attempt.Upstream)
	if action == continuation.Reattach && known {
		m.opts.Upstreams.Acquire(r.Attempt.Upstream, time.Now())
		m.attach(r, row.Upstream)
		return
	}
	if known {
		m.opts.Engines.Cancel(row.Upstream, r.Attempt.Stream)
	}
	switch action {
	case continuation.GiveUp:
		m.refuse(r, gaveUp(r, kind, detail))
	case continuation.Restart:
		m.restartLine(id)
		m.place(id)
	case continuation.Wait:
		m.waitForEngine(r)
	default:
		m.place(id)
	}
}

func gaveUp(r generation.Record, kind continuation.Loss, detail continuation.Detail) *model.Refusal {
	if kind == continuation.LossRejected {
		return &model.Refusal{
			Code:    "rejected_by_engine",
			Message: fmt.Sprintf("The engine rejected the request: %s.", cmp.Or(detail.Said, detail.Cause)),
			Outcome: model.OutcomeUnknown,
		}
	}
	return noEngine(r)
}
