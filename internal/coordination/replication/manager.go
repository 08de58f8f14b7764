package replication

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/replica"
)

// Options are the parts that a Manager works with.
type Options struct {
	Self      model.InstanceID
	Pool      *worker.Pool
	Table     *generation.Table // own generations
	Instances *instance.Table
	Peers     Peers
	Holder    *Holder                                              // own copies, which Locate searches too
	Counters  Counters                                             // nil counts nothing
	NewLine   func(model.InstanceID, model.RequestID) model.LineID // nil means NewLine
}

// Manager copies the logs of own generations. Opened, Accepted and Ended run
// on a pool worker under the request's key.
type Manager struct {
	opts     Options
	progress *replica.ProgressTable
}

// NewManager returns a manager without logs.
func NewManager(opts Options) *Manager {
	if opts.Counters == nil {
		opts.Counters = noCounters{}
	}
	if opts.NewLine == nil {
		opts.NewLine = NewLine
	}
	return &Manager{opts: opts, progress: replica.NewProgressTable()}
}

// Opened starts the copying of a log. A repeat with the same line does
// nothing; a repeat with another line drops the old line's copy.
func (m *Manager) Opened(r generation.Record) {
	id := r.Spec.Request
	old, ok := m.progress.Get(id)
	if ok && old.Line == r.Line {
		return
	}
	if ok && old.Holder != "" {
		m.forget(id, old)
	}
	m.progress.Put(id, replica.Progress{Line: r.Line, Sent: old.Sent + 1})
	m.advance(id)
}

// Accepted copies new tokens of a log, now or once a message in flight is
// acknowledged. It is called for a new attempt too, before its first token:
// the holder then learns the stream to attach to before tokens of that stream
// are shown.
func (m *Manager) Accepted(id model.RequestID) {
	m.countUnprotected(id)
	m.advance(id)
}

// countUnprotected counts the new tokens of a log whose holder was given up.
// They are shown at once until another holder acknowledges the log.
func (m *Manager) countUnprotected(id model.RequestID) {
	p, ok := m.progress.Get(id)
	if !ok || p.Failures == 0 {
		return
	}
	r, ok := m.opts.Table.Get(id)
	if !ok || r.HoldBack || !copying(&r, time.Now()) {
		return
	}
	m.opts.Counters.Unprotected(max(0, len(r.Tokens)-p.Unprotected))
	m.progress.Update(id, func(p *replica.Progress) { p.Unprotected = len(r.Tokens) })
}

// Ended sends the rest and the end of a log. The record stays in the table
// until the holder has the end; after Remove the copy expires by itself.
func (m *Manager) Ended(id model.RequestID) {
	m.progress.Update(id, func(p *replica.Progress) { p.Ended = true })
	m.advance(id)
}

// Active returns the number of logs that are being copied.
func (m *Manager) Active() int {
	return m.progress.Len()
}

// advance takes the next steps for a log until one needs an answer or time.
func (m *Manager) advance(id model.RequestID) {
	p, ok := m.progress.Get(id)
	if !ok {
		return
	}
	r, ok := m.opts.Table.Get(id)
	if !ok || r.Line != p.Line {
		m.progress.Remove(id)
		return
	}
	if m.settle(&r, p) {
		return
	}
	now := time.Now()
	switch s := next(&r, p, m.usable(p.Holder), now); s.action {
	case doWait:
		m.wait(id, p, s.until.Sub(now))
	case doChoose:
		m.choose(&r, p)
	case doOpen:
		m.sendOpen(&r, p)
	case doAppend:
		m.sendAppend(&r, p)
	case doClose:
		m.sendClose(&r, p)
	case doDrop:
		m.forget(id, p)
		m.progress.Remove(id)
	}
}

// settle keeps tokens of a new attempt from being shown on the line before
// the holder knows the attempt: a takeover could otherwise attach to the
// stream of an older attempt and take its tokens for those that were shown.
// If another instance may still have an older copy of the line, the record
// forks a new line instead; settle then reports true and has called advance.
func (m *Manager) settle(r *generation.Record, p replica.Progress) bool {
	id := r.Spec.Request
	switch {
	case r.Attempt.Number <= p.Settled:
		return false
	case p.Settled == 0:
		m.progress.Update(id, func(p *replica.Progress) { p.Settled = r.Attempt.Number })
		return false
	case p.Abandoned:
		m.fork(r)
		m.advance(id)
		return true
	}
	if !r.HoldBack {
		m.holdBack(id, min(r.Attempt.First, len(r.Tokens)))
	}
	return false
}

// fork gives the tokens of the current attempt a line of their own. No copy
// of another instance is taken for that line.
func (m *Manager) fork(r *generation.Record) {
	id := r.Spec.Request
	line := m.opts.NewLine(m.opts.Self, id)
	m.opts.Table.Update(id, func(r *generation.Record) {
		parent := generation.Fork{Line: r.Line, Position: min(r.Attempt.First, len(r.Tokens))}
		r.Forks = append([]generation.Fork{parent}, r.Forks...)
		r.Line, r.LineCopied, r.HoldBack = line, false, false
	})
	m.progress.Update(id, func(p *replica.Progress) {
		p.Line, p.Settled, p.Abandoned = line, r.Attempt.Number, false
		p.Sending, p.Opened, p.Acked, p.Attempt = false, false, 0, 0
		p.Sent++
	})
}

// wait looks at the log again after the delay.
func (m *Manager) wait(id model.RequestID, p replica.Progress, delay time.Duration) {
	if p.Waiting {
		return
	}
	m.progress.Update(id, func(p *replica.Progress) { p.Waiting = true })
	m.opts.Pool.After(delay, worker.Key(id), worker.Func(func() {
		m.progress.Update(id, func(p *replica.Progress) { p.Waiting = false })
		m.advance(id)
	}))
}

func (m *Manager) usable(id model.InstanceID) bool {
	in, ok := m.opts.Instances.Get(id)
	return ok && mayHold(in)
}

// choose takes the holder at place Choice of the rendezvous order. While
// there is none, tokens are shown without a copy.
func (m *Manager) choose(r *generation.Record, p replica.Progress) {
	id := r.Spec.Request
	self, _ := m.opts.Instances.Get(m.opts.Self)
	self.ID = m.opts.Self
	holders := lostLast(r, Holders(id, self, m.opts.Instances.All()))
	if len(holders) == 0 {
		m.showAll(id)
		m.progress.Update(id, func(p *replica.Progress) {
			p.Holder = ""
			p.RetryAt = time.Now().Add(noHolderDelay)
		})
		return
	}
	if p.Holder != "" {
		m.showAll(id)
	}
	holder := holders[p.Choice%len(holders)]
	m.progress.Update(id, func(p *replica.Progress) {
		p.Abandoned = p.Abandoned || p.Holder != ""
		p.Holder, p.Opened, p.Acked, p.Attempt = holder.ID, false, 0, 0
	})
	m.advance(id)
}

// showAll stops holding back tokens. Tokens of an attempt that the holder
// does not know go to a new line.
func (m *Manager) showAll(id model.RequestID) {
	r, ok := m.opts.Table.Get(id)
	if !ok || !r.HoldBack {
		return
	}
	if p, ok := m.progress.Get(id); ok && r.Attempt.Number > p.Settled {
		m.fork(&r)
		return
	}
	m.opts.Table.Update(id, func(r *generation.Record) { r.HoldBack = false })
}

// holdBack shows only copied tokens from now on.
func (m *Manager) holdBack(id model.RequestID, copied int) {
	m.opts.Table.Update(id, func(r *generation.Record) {
		r.HoldBack, r.Copied = true, copied
	})
}

type noCounters struct{}

func (noCounters) Unprotected(int) {}
func (noCounters) Copied(int)      {}
func (noCounters) TakenOver()      {}
