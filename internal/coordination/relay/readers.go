package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// ReconnectGrace is how long a streamed generation runs on without a caller.
const ReconnectGrace = 30 * time.Second

// Join counts one caller connection that reads the generation.
func (m *Manager) Join(id model.RequestID) bool {
	return m.opts.Generations.Update(id, func(r *generation.Record) { r.Readers++ })
}

// Leave ends one caller connection. Without a reader the generation ends after
// the grace time.
func (m *Manager) Leave(id model.RequestID, grace time.Duration) {
	m.opts.Generations.Update(id, func(r *generation.Record) {
		r.Readers--
		r.LeftAt = time.Now()
	})
	m.opts.Pool.After(grace, key(id), worker.Func(func() {
		r, ok := m.opts.Generations.Get(id)
		if ok && r.Readers == 0 && time.Since(r.LeftAt) >= grace {
			m.abandon(id)
		}
	}))
}
