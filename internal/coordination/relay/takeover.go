package relay

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Adopt takes over a generation from its copied log, for a caller that has
// seen the tokens of a line up to position. The record has a line of its own
// and the attempt that the lost owner had under way. Adopt reports false if
// this instance runs a line by now that the caller can read. Another line,
// which this instance ran before it was paused, is replaced.
func (m *Manager) Adopt(ctx context.Context, r generation.Record, line model.LineID, position int) bool {
	adopted, err := worker.Do(ctx, m.opts.Pool, key(r.Spec.Request), func() bool { return m.adopt(r, line, position) })
	return err == nil && adopted
}

func (m *Manager) adopt(r generation.Record, line model.LineID, position int) bool {
	old, exists := m.opts.Generations.Get(r.Spec.Request)
	if exists && old.Holds(line, position) {
		return false
	}
	r.Print = suspicion.Fingerprint(r.Spec)
	r.Version = r.Attempt.Version
	r.CopyAfter = time.Now()
	r.LostAt = r.Attempt.LastSeen
	r.Attempt.Open = false
	r.Shown = position
	r.StreamOnly = position
	r.TakenOver = r.Attempt.Stream
	if exists {
		// What the old attempts still bring has lower numbers and is stale.
		r.Attempt.Number = max(r.Attempt.Number, old.Attempt.Number)
		m.displace(old, r.Attempt.Stream)
	}
	r = m.opts.Generations.Replace(r)
	if r.End != nil {
		m.forgetLater(r.Spec.Request)
		return true
	}
	m.goOn(r)
	return true
}

// displace ends the work on a record that is about to be replaced. The stream
// that the new record attaches to runs on.
func (m *Manager) displace(old generation.Record, keep model.StreamID) {
	if old.End != nil {
		return
	}
	m.opts.Log.WithField("request_id", string(old.Spec.Request)).Info("older line is replaced")
	if row, known := m.opts.Upstreams.Get(old.Attempt.Upstream); known && old.Attempt.Open && old.Attempt.Stream != keep {
		m.opts.Engines.Cancel(row.Upstream, old.Attempt.Stream)
	}
	m.closeAttempt(old, "line replaced", 0)
	m.opts.Admission.Leave(old.Spec.Request)
}

// goOn continues a generation whose owner was lost.
func (m *Manager) goOn(r generation.Record) {
	resumed := r.Spec
	resumed.Priority = model.PriorityResume
	m.opts.Admission.Enter(resumed, func(*model.Refusal) {
		if !m.current(r) {
			return
		}
		row, known := m.opts.Upstreams.Get(r.Attempt.Upstream)
		if !known {
			m.withoutStream(r)
			return
		}
		m.opts.Upstreams.Acquire(r.Attempt.Upstream, time.Now())
		m.attach(r, row.Upstream)
	})
}

// withoutStream continues a generation whose engine stream is out of reach.
func (m *Manager) withoutStream(r generation.Record) {
	if len(r.Tokens) < r.StreamOnly {
		m.refuse(r, noEngine(r))
		return
	}
	m.place(r.Spec.Request)
}
