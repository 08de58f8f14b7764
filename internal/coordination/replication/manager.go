package replication

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/replica"
)

// Options holds the settings and dependencies of a Manager.
type Options struct {
	Self      model.InstanceID
	Pool      *worker.Pool
	Table     *generation.Table // generations that this instance owns
	Instances *instance.Table
	Peers     Peers
	Holder    *Holder                                              // copies on this instance, which are searched too; may be nil
	Counters  Counters                                             // nil disables counting
	NewLine   func(model.InstanceID, model.RequestID) model.LineID // nil means the function NewLine
}

// Manager copies the logs of the generations that this instance owns.
// GenerationOpened, TokensAccepted and GenerationEnded run on a pool worker under the request's key.
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

// GenerationOpened starts the copying of a log. A second call with the same line does
// nothing; a call with another line drops the copy of the old line.
func (m *Manager) GenerationOpened(r generation.Record) {
	id := r.Spec.Request
	old, ok := m.progress.Get(id)
	if ok && old.Line == r.Line {
		return
	}
	if ok && old.Holder != "" {
		m.sendDrop(id, old)
	}
	m.progress.Put(id, replica.Progress{Line: r.Line, LastMessage: old.LastMessage + 1})
	m.advance(id)
}

// TokensAccepted copies new tokens of a log, at once or after the message in flight
// is acknowledged. It is also called for a new attempt before the attempt's
// first token, so that the holder has the stream to attach to before tokens of
// that stream are shown.
func (m *Manager) TokensAccepted(id model.RequestID) {
	m.countUnprotected(id)
	m.advance(id)
}

// countUnprotected counts the new tokens of a log whose holder was given up.
// Such tokens are shown at once until another holder acknowledges the log.
func (m *Manager) countUnprotected(id model.RequestID) {
	p, ok := m.progress.Get(id)
	if !ok || p.Failures == 0 {
		return
	}
	r, ok := m.opts.Table.Get(id)
	if !ok || r.ShowOnlyCopied || !copyDue(&r, time.Now()) {
		return
	}
	m.opts.Counters.Unprotected(max(0, len(r.Tokens)-p.Unprotected))
	m.progress.Update(id, func(p *replica.Progress) { p.Unprotected = len(r.Tokens) })
}

// GenerationEnded sends the remaining tokens and the end of a log. The record must stay
// in the table until the holder has acknowledged the end. If it is removed
// earlier, the copy stays until it expires.
func (m *Manager) GenerationEnded(id model.RequestID) {
	m.progress.Update(id, func(p *replica.Progress) { p.Ended = true })
	m.advance(id)
}

// Active returns the number of logs that are being copied.
func (m *Manager) Active() int {
	return m.progress.Len()
}

// advance takes the next steps for a log until it has to wait for an answer or
// for a timer.
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
	if m.guardNewAttempt(&r, p) {
		return
	}
	now := time.Now()
	switch s := nextStep(&r, p, m.holderUsable(p.Holder), now); s.action {
	case doWait:
		m.scheduleAdvance(id, p, s.until.Sub(now))
	case doChoose:
		m.chooseHolder(&r, p)
	case doOpen:
		m.sendOpen(&r, p)
	case doAppend:
		m.sendAppend(&r, p)
	case doClose:
		m.sendClose(&r, p)
	case doDrop:
		m.sendDrop(id, p)
		m.progress.Remove(id)
	}
}

// guardNewAttempt keeps tokens of a new attempt from being shown on the line
// before the holder knows the attempt: a takeover could otherwise attach to
// the stream of an older attempt and confuse its tokens with those that were
// shown. If another instance may still have an older copy of the line, the
// record forks a new line instead; guardNewAttempt then reports true and has
// called advance.
func (m *Manager) guardNewAttempt(r *generation.Record, p replica.Progress) bool {
	id := r.Spec.Request
	switch {
	case r.Attempt.Number <= p.ShowableAttempt:
		return false
	case p.ShowableAttempt == 0:
		m.progress.Update(id, func(p *replica.Progress) { p.ShowableAttempt = r.Attempt.Number })
		return false
	case p.StaleCopyPossible:
		m.fork(r)
		m.advance(id)
		return true
	}
	if !r.ShowOnlyCopied {
		m.holdBack(id, min(r.Attempt.First, len(r.Tokens)))
	}
	return false
}

// fork moves the tokens of the current attempt to a new line. No other
// instance has a copy that could be taken over for that line.
func (m *Manager) fork(r *generation.Record) {
	id := r.Spec.Request
	line := m.opts.NewLine(m.opts.Self, id)
	m.opts.Table.Update(id, func(r *generation.Record) {
		parent := generation.Fork{Line: r.Line, Position: min(r.Attempt.First, len(r.Tokens))}
		r.Forks = append([]generation.Fork{parent}, r.Forks...)
		r.Line, r.LineCopied, r.ShowOnlyCopied = line, false, false
	})
	m.progress.Update(id, func(p *replica.Progress) {
		p.Line, p.ShowableAttempt, p.StaleCopyPossible = line, r.Attempt.Number, false
		p.Sending, p.Opened, p.AckedTokens, p.Attempt = false, false, 0, 0
		p.LastMessage++
	})
}

// scheduleAdvance calls advance again after the delay, unless a timer for the
// log is already set.
func (m *Manager) scheduleAdvance(id model.RequestID, p replica.Progress, delay time.Duration) {
	if p.TimerSet {
		return
	}
	m.progress.Update(id, func(p *replica.Progress) { p.TimerSet = true })
	m.opts.Pool.After(delay, worker.Key(id), worker.Func(func() {
		m.progress.Update(id, func(p *replica.Progress) { p.TimerSet = false })
		m.advance(id)
	}))
}

func (m *Manager) holderUsable(id model.InstanceID) bool {
	in, ok := m.opts.Instances.Get(id)
	return ok && canHold(in)
}

// chooseHolder makes the instance at index HolderIndex of the rendezvous order
// the holder. While no instance can hold copies, tokens are shown without a copy.
func (m *Manager) chooseHolder(r *generation.Record, p replica.Progress) {
	id := r.Spec.Request
	self, _ := m.opts.Instances.Get(m.opts.Self)
	self.ID = m.opts.Self
	holders := moveLostOwnersLast(r, Holders(id, self, m.opts.Instances.All()))
	if len(holders) == 0 {
		m.stopHoldBack(id)
		m.progress.Update(id, func(p *replica.Progress) {
			p.Holder = ""
			p.RetryAt = time.Now().Add(noHolderRetryDelay)
		})
		return
	}
	if p.Holder != "" {
		m.stopHoldBack(id)
	}
	holder := holders[p.HolderIndex%len(holders)]
	m.progress.Update(id, func(p *replica.Progress) {
		p.StaleCopyPossible = p.StaleCopyPossible || p.Holder != ""
		p.Holder, p.Opened, p.AckedTokens, p.Attempt = holder.ID, false, 0, 0
	})
	m.advance(id)
}

// stopHoldBack shows all tokens of a log. If the holder does not know the
// current attempt, its tokens move to a new line.
func (m *Manager) stopHoldBack(id model.RequestID) {
	r, ok := m.opts.Table.Get(id)
	if !ok || !r.ShowOnlyCopied {
		return
	}
	if p, ok := m.progress.Get(id); ok && r.Attempt.Number > p.ShowableAttempt {
		m.fork(&r)
		return
	}
	m.opts.Table.Update(id, func(r *generation.Record) { r.ShowOnlyCopied = false })
}

// holdBack limits the shown tokens to the copied ones.
func (m *Manager) holdBack(id model.RequestID, copied int) {
	m.opts.Table.Update(id, func(r *generation.Record) {
		r.ShowOnlyCopied, r.CopiedTokens = true, copied
	})
}

type noCounters struct{}

func (noCounters) Unprotected(int) {}
func (noCounters) Copied(int)      {}
func (noCounters) TakenOver()      {}
