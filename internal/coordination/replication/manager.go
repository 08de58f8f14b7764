package replication

import (
	"context"
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

func (m *Manager) sendOpen(r *generation.Record, p replica.Progress) {
	message := Open{Header: header(m.opts.Self, r), Attempt: r.Attempt}
	m.send(r, p, openTimeout, func(ctx context.Context, to model.Instance) (Ack, error) {
		return m.opts.Peers.Open(ctx, to, message)
	})
}

func (m *Manager) sendAppend(r *generation.Record, p replica.Progress) {
	message := Append{Request: r.Spec.Request, Line: r.Line, First: p.Acked}
	if copying(r, time.Now()) {
		message.Tokens = batch(r, p.Acked)
		if p.Failures == 0 && !r.HoldBack {
			m.holdBack(r.Spec.Request, p.Acked)
		}
	}
	if p.Attempt < r.Attempt.Number {
		attempt := r.Attempt
		message.Attempt = &attempt
	}
	m.send(r, p, AckTimeout, func(ctx context.Context, to model.Instance) (Ack, error) {
		return m.opts.Peers.Append(ctx, to, message)
	})
}

func (m *Manager) sendClose(r *generation.Record, p replica.Progress) {
	if len(r.Tokens)-p.Acked > maxBatchTokens {
		m.sendAppend(r, p)
		return
	}
	message := Close{Request: r.Spec.Request, Line: r.Line, First: p.Acked, Tokens: batch(r, p.Acked), End: r.End}
	m.send(r, p, openTimeout, func(ctx context.Context, to model.Instance) (Ack, error) {
		return m.opts.Peers.Close(ctx, to, message)
	})
}

func batch(r *generation.Record, first int) []string {
	return r.Tokens[first:min(len(r.Tokens), first+maxBatchTokens)]
}

// holdBack shows only copied tokens from now on.
func (m *Manager) holdBack(id model.RequestID, copied int) {
	m.opts.Table.Update(id, func(r *generation.Record) {
		r.HoldBack, r.Copied = true, copied
	})
}

// send starts one message to the log's holder and posts its result.
func (m *Manager) send(r *generation.Record, p replica.Progress, timeout time.Duration,
	call func(context.Context, model.Instance) (Ack, error),
) {
	id := r.Spec.Request
	to, _ := m.opts.Instances.Get(p.Holder)
	number, traceParent := p.Sent+1, r.Spec.TraceParent
	sent := sent{attempt: r.Attempt.Number, opening: !p.Opened, closing: p.Ended && p.Opened}
	m.progress.Update(id, func(p *replica.Progress) {
		p.Sending, p.Sent = true, number
	})
	worker.Call(m.opts.Pool, worker.Key(id), timeout,
		func(ctx context.Context) (Ack, error) {
			return call(model.WithTraceParent(ctx, traceParent), to)
		},
		func(ack Ack, err error) {
			if p, ok := m.progress.Get(id); !ok || p.Sent != number {
				return
			}
			m.answered(id, ack, err, sent)
		})
}

// sent describes a message in flight.
type sent struct {
	attempt int // attempt that the holder knows once it acknowledges
	opening bool
	closing bool
}

// answered takes the result of a message.
func (m *Manager) answered(id model.RequestID, ack Ack, err error, s sent) {
	r, ok := m.opts.Table.Get(id)
	if !ok {
		m.progress.Remove(id)
		return
	}
	if err != nil || ack.Refused {
		m.giveUp(&r)
		m.advance(id)
		return
	}
	held := min(ack.Held, len(r.Tokens))
	closed := s.closing && ack.Known && held == len(r.Tokens)
	if closed {
		m.progress.Remove(id)
		return
	}
	m.acknowledged(id, ack.Known, held, s)
	if ack.Known && s.attempt >= r.Attempt.Number && held >= r.Attempt.First {
		m.lineCopied(&r)
	}
	switch {
	case ack.Known && copying(&r, time.Now()):
		m.copied(&r, held)
	case !ack.Known || s.attempt >= r.Attempt.Number:
		m.showAll(id)
	}
	m.advance(id)
}

// acknowledged stores what the holder has. Only tokens prove that a holder
// keeps up, so an acknowledged header does not reset the failures.
func (m *Manager) acknowledged(id model.RequestID, known bool, held int, s sent) {
	grown := 0
	m.progress.Update(id, func(p *replica.Progress) {
		grown = max(held-p.Acked, 0)
		p.Sending, p.Opened = false, known
		p.Acked, p.Attempt = held, s.attempt
		if known {
			p.Settled = max(p.Settled, s.attempt)
		}
		if !s.opening {
			p.Failures, p.Choice = 0, p.Choice%maxChoices
		}
	})
	m.opts.Counters.Copied(grown)
}

// copied shows the tokens that the holder has, and starts to hold back once
// it has them all.
func (m *Manager) copied(r *generation.Record, held int) {
	if r.HoldBack && r.Copied != held || !r.HoldBack && held == len(r.Tokens) {
		m.holdBack(r.Spec.Request, held)
	}
}

// lineCopied lets events name the record's own line. The copy can be continued
// by the stream of the attempt that it knows.
func (m *Manager) lineCopied(r *generation.Record) {
	if r.LineCopied {
		return
	}
	m.opts.Table.Update(r.Spec.Request, func(r *generation.Record) { r.LineCopied = true })
}

// giveUp turns to the next holder after a message without an acknowledgement.
func (m *Manager) giveUp(r *generation.Record) {
	id := r.Spec.Request
	if r.HoldBack {
		m.opts.Counters.Unprotected(len(r.Tokens) - r.Copied)
	}
	m.showAll(id)
	m.progress.Update(id, func(p *replica.Progress) {
		p.Unprotected = len(r.Tokens)
		p.Sending, p.Opened, p.Acked, p.Attempt = false, false, 0, 0
		p.Holder, p.Abandoned = "", true
		p.Choice++
		p.Failures++
		p.RetryAt = time.Now().Add(retryDelay(p.Failures))
	})
}

// forget tells a holder to drop its copy, without waiting for an answer.
func (m *Manager) forget(id model.RequestID, p replica.Progress) {
	to, ok := m.opts.Instances.Get(p.Holder)
	if !ok {
		return
	}
	message := Close{Request: id, Line: p.Line, Drop: true}
	worker.Call(m.opts.Pool, worker.Key(id), openTimeout,
		func(ctx context.Context) (Ack, error) { return m.opts.Peers.Close(ctx, to, message) },
		func(Ack, error) {})
}

type noCounters struct{}

func (noCounters) Unprotected(int) {}
func (noCounters) Copied(int)      {}
func (noCounters) TakenOver()      {}
