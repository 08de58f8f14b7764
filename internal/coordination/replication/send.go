package replication

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/replica"
)

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
