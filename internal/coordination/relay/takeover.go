package relay

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Adopt takes over a generation from the copy of its token log, for a caller
// that has seen the tokens of the given line up to position. The record r has a
// new line and the last attempt of the lost owner. Adopt reports false if this
// instance already runs a line that contains what the caller has seen. If it
// runs another line, as after a pause of its process, r replaces that line.
func (m *Manager) Adopt(ctx context.Context, r generation.Record, line model.LineID, position int) bool {
	adopted, err := worker.Do(ctx, m.opts.Pool, key(r.Spec.Request), func() bool { return m.adopt(r, line, position) })
	return err == nil && adopted
}

func (m *Manager) adopt(r generation.Record, line model.LineID, position int) bool {
	old, exists := m.opts.Generations.Get(r.Spec.Request)
	if exists && old.Contains(line, position) {
		return false
	}
	r.Fingerprint = suspicion.Fingerprint(r.Spec)
	r.Version = r.Attempt.Version
	r.CopyAfter = time.Now()
	r.OutputLostAt = r.Attempt.LastSeen
	r.Attempt.Open = false
	r.ShownTokens = position
	r.StreamOnly = position
	r.TakenOver = r.Attempt.Stream
	if exists {
		// Output that still arrives for the old attempts has lower attempt
		// numbers, so it is rejected as stale.
		r.Attempt.Number = max(r.Attempt.Number, old.Attempt.Number)
		m.stopReplaced(old, r.Attempt.Stream)
	}
	r = m.opts.Generations.Replace(r)
	if r.End != nil {
		m.scheduleRemoval(r.Spec.Request)
		return true
	}
	m.resume(r)
	return true
}

// stopReplaced ends the work on a record that is about to be replaced. It does
// not cancel keepStream, to which the new record attaches.
func (m *Manager) stopReplaced(old generation.Record, keepStream model.StreamID) {
	if old.End != nil {
		return
	}
	m.opts.Log.WithField("request_id", string(old.Spec.Request)).Info("generation replaced by one taken over from another instance")
	if row, exists := m.opts.Upstreams.Get(old.Attempt.Upstream); exists && old.Attempt.Open && old.Attempt.Stream != keepStream {
		m.opts.Engines.Cancel(row.Upstream, old.Attempt.Stream)
	}
	m.closeAttempt(old, "line replaced", 0)
	m.opts.Admission.Leave(old.Spec.Request)
}

// resume continues a generation whose owning instance was lost.
func (m *Manager) resume(r generation.Record) {
	resumed := r.Spec
	resumed.Priority = model.PriorityResume
	m.opts.Admission.Enter(resumed, func(*model.Refusal) {
		if !m.isCurrent(r) {
			return
		}
		row, exists := m.opts.Upstreams.Get(r.Attempt.Upstream)
		if !exists {
			m.resumeWithoutStream(r)
			return
		}
		m.opts.Upstreams.Acquire(r.Attempt.Upstream, time.Now())
		m.attach(r, row.Upstream)
	})
}

// resumeWithoutStream continues a generation whose engine is no longer known, so
// that its stream cannot be read.
func (m *Manager) resumeWithoutStream(r generation.Record) {
	if len(r.Tokens) < r.StreamOnly {
		m.refuse(r, noEngineRefusal(r))
		return
	}
	m.place(r.Spec.Request)
}
