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

// engineCooldown is the time for which an engine gets no new work after its
// connection failed. By the end of it, the instances that watch the engine have
// reported its state.
const engineCooldown = 2 * time.Second

// handleLoss closes the attempt of the given number, if it is still the current
// one, and carries out the action that Options.Decide chooses.
func (m *Manager) handleLoss(id model.RequestID, number int, kind continuation.Loss, detail continuation.Detail) {
	r, ok := m.opts.Generations.Get(id)
	if !ok || r.End != nil || !r.Attempt.Open || r.Attempt.Number != number {
		return
	}
	if kind == continuation.LossLeaving {
		m.opts.Upstreams.Leave(r.Attempt.Upstream)
	}
	action := m.opts.Decide(m.situation(r, kind))
	if action == continuation.KeepAttempt {
		return
	}
	m.logLoss(r, kind, detail, action)
	m.metrics.countLoss(kind, action)
	r = m.closeAttempt(r, string(kind), countFailure(r, kind))
	if action != continuation.Reattach {
		m.recordLoss(r, kind)
	}
	m.applyAction(r, kind, detail, action)
}

func (m *Manager) situation(r generation.Record, kind continuation.Loss) continuation.Situation {
	return continuation.Situation{
		Loss:             kind,
		CanReattach:      !reattachFailed(r),
		Tokens:           len(r.Tokens),
		Shown:            r.ShownTokens,
		AlternativeReady: m.hasAlternative(r),
		Failures:         r.FruitlessAttempts + countFailure(r, kind),
		NeedsLostStream:  len(r.Tokens) < r.StreamOnly,
	}
}

// countFailure returns 1 for an attempt that reached an engine and delivered no token, and
// else 0.
func countFailure(r generation.Record, kind continuation.Loss) int {
	if len(r.Tokens) == r.Attempt.First && continuation.ReachedEngine(kind) {
		return 1
	}
	return 0
}

// reattachFailed reports whether the attempt was attached to a running stream
// and has received no token from it.
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

// closeAttempt closes the current attempt, releases its slot on the engine, and
// returns the updated record.
func (m *Manager) closeAttempt(r generation.Record, reason string, failures int) generation.Record {
	if !r.Attempt.Open {
		return r
	}
	after := r
	m.opts.Generations.Update(r.Spec.Request, func(r *generation.Record) {
		archiveAttempt(r, reason, time.Now())
		r.FruitlessAttempts += failures
		r.Resumes++
		if r.OutputLostAt.IsZero() && !r.FirstTokenAt.IsZero() {
			r.OutputLostAt = r.Attempt.LastSeen
		}
		after = *r
	})
	m.opts.Upstreams.Release(r.Attempt.Upstream)
	m.opts.Guard.AttemptStopped(r.Fingerprint, r.Attempt.Upstream)
	return after
}

// recordLoss marks the engine as failed where the loss concerns all of it, and
// records evidence against its version and against the request. The loss of a
// whole engine counts once and not for each of its streams. A loss of a suspect
// request does not count against the version, since the request explains it.
func (m *Manager) recordLoss(r generation.Record, kind continuation.Loss) {
	now := time.Now()
	row, ok := m.opts.Upstreams.Get(r.Attempt.Upstream)
	if !ok {
		return
	}
	counts := continuation.CountsAgainstVersion(kind) && m.opts.Guard.Check(r.Fingerprint) == suspicion.Unrestricted
	if continuation.ConcernsEngine(kind) {
		counts = counts && row.Usable(now)
		m.opts.Upstreams.RecordFailure(r.Attempt.Upstream, now, now.Add(engineCooldown))
	}
	if continuation.ProcessDied(kind, reattachFailed(r)) {
		running := []suspicion.Running{{Fingerprint: r.Fingerprint, Position: len(r.Tokens)}}
		m.opts.Guard.EngineDied(r.Attempt.Upstream, r.Attempt.Incarnation, running)
	}
	if counts {
		m.observe(r, true)
	}
}

// applyAction carries out the action chosen after a loss.
func (m *Manager) applyAction(r generation.Record, kind continuation.Loss, detail continuation.Detail, action continuation.Action) {
	id := r.Spec.Request
	row, exists := m.opts.Upstreams.Get(r.Attempt.Upstream)
	if action == continuation.Reattach && exists {
		m.opts.Upstreams.Acquire(r.Attempt.Upstream, time.Now())
		m.attach(r, row.Upstream)
		return
	}
	if exists {
		m.opts.Engines.Cancel(row.Upstream, r.Attempt.Stream)
	}
	switch action {
	case continuation.GiveUp:
		m.refuse(r, lossRefusal(r, kind, detail))
	case continuation.Restart:
		m.restartLine(id)
		m.place(id)
	case continuation.Wait:
		m.waitForEngine(r)
	default:
		m.place(id)
	}
}

// lossRefusal returns the refusal after the last loss. The engine's message is an answer
// to the request only if no other engine has answered with tokens, which the caller may
// have.
func lossRefusal(r generation.Record, kind continuation.Loss, detail continuation.Detail) *model.Refusal {
	if kind == continuation.LossRejected && len(r.Tokens) == 0 {
		return &model.Refusal{
			Code:    "rejected_by_engine",
			Message: fmt.Sprintf("The engine rejected the request: %s.", cmp.Or(detail.EngineMessage, detail.Cause)),
			Outcome: model.OutcomeUnknown,
		}
	}
	return noEngineRefusal(r)
}
