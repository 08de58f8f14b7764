package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// ReconnectGrace is how long a streamed generation runs on without a caller.
const ReconnectGrace = 30 * time.Second

// Join counts one caller connection that reads the generation. The returned
// function ends it; without a reader the generation ends after ReconnectGrace.
func (m *Manager) Join(id model.RequestID) (leave func()) {
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
			r.LeftAt = time.Now()
		}
	})
	m.opts.Pool.After(ReconnectGrace, key(id), worker.Func(func() {
		r, ok := m.opts.Generations.Get(id)
		if ok && r.Epoch == epoch && r.End == nil && r.Readers == 0 && time.Since(r.LeftAt) >= ReconnectGrace {
			m.abandon(r)
		}
	}))
}
