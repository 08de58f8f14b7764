package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// ReconnectGrace is how long a streamed generation continues without a caller.
const ReconnectGrace = 30 * time.Second

// AddReader registers a caller connection that reads the generation. The returned
// function removes it. A generation without a reader ends after ReconnectGrace.
func (m *Manager) AddReader(id model.RequestID) (leave func()) {
	var epoch uint64
	m.opts.Generations.Update(id, func(r *generation.Record) {
		r.Readers++
		epoch = r.Epoch
	})
	return func() { m.leave(id, epoch) }
}

func (m *Manager) leave(id model.RequestID, epoch uint64) {
	m.opts.Generations.Update(id, func(r *generation.Record) {
		if r.Epoch == epoch {
			r.Readers--
			r.ReadersLeftAt = time.Now()
		}
	})
	m.opts.Pool.After(ReconnectGrace, key(id), worker.Func(func() {
		r, ok := m.opts.Generations.Get(id)
		if ok && r.Epoch == epoch && r.End == nil && r.Readers == 0 && time.Since(r.ReadersLeftAt) >= ReconnectGrace {
			m.endAfterGrace(r)
		}
	}))
}

// Abandon ends a generation whose caller left and cannot reconnect.
func (m *Manager) Abandon(id model.RequestID) {
	m.opts.Pool.Post(key(id), worker.Func(func() {
		r, ok := m.opts.Generations.Get(id)
		if !ok || r.End != nil {
			return
		}
		if row, exists := m.opts.Upstreams.Get(r.Attempt.Upstream); exists && r.Attempt.Open {
			m.opts.Engines.Cancel(row.Upstream, r.Attempt.Stream)
		}
		m.endCallerLeft(r)
	}))
}

// endAfterGrace ends a generation whose caller did not reconnect to this
// instance. It does not cancel the engine stream: another instance may have
// taken the generation over while this one was paused, and read that stream.
func (m *Manager) endAfterGrace(r generation.Record) {
	if r.Attempt.Open {
		m.opts.Engines.Detach(r.Attempt.Stream)
	}
	m.endCallerLeft(r)
}

func (m *Manager) endCallerLeft(r generation.Record) {
	m.closeAttempt(r, "caller left", 0)
	m.finish(r.Spec.Request, generation.End{Refusal: &model.Refusal{
		Code:    "caller_left",
		Message: "The caller closed the connection and did not come back.",
		Outcome: model.OutcomeUnknown,
	}})
}
