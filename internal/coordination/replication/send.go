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
	message := Open{Header: newHeader(m.opts.Self, r), Attempt: r.Attempt}
	m.send(r, p, openTimeout, func(ctx context.Context, to model.Instance) (Ack, error) {
		return m.opts.Peers.Open(ctx, to, message)
	})
}

func (m *Manager) sendAppend(r *generation.Record, p replica.Progress) {
	message := Append{Request: r.Spec.Request, Line: r.Line, First: p.AckedTokens}
	if copyDue(r, time.Now()) {
		message.Tokens = batch(r, p.AckedTokens)
		if p.Failures == 0 && !r.ShowOnlyCopied {
			m.holdBack(r.Spec.Request, p.AckedTokens)
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
	if len(r.Tokens)-p.AckedTokens > maxBatchTokens {
		m.sendAppend(r, p)
		return
	}
	message := Close{Request: r.Spec.Request, Line: r.Line, First: p.AckedTokens, Tokens: batch(r, p.AckedTokens), End: r.End}
	m.send(r, p, openTimeout, func(ctx context.Context, to model.Instance) (Ack, error) {
		return m.opts.Peers.Close(ctx, to, message)
	})
}

func batch(r *generation.Record, first int) []string {
	return r.Tokens[first:min(len(r.Tokens), first+maxBatchTokens)]
}

// send sends one message to the log's holder. The result is handled under the
// request's key, unless a later message was sent meanwhile.
func (m *Manager) send(r *generation.Record, p replica.Progress, timeout time.Duration,
	call func(context.Context, model.Instance) (Ack, error),
) {
	id := r.Spec.Request
	to, _ := m.opts.Instances.Get(p.Holder)
	number, traceParent := p.LastMessage+1, r.Spec.TraceParent
	inFlight := inFlightMessage{attempt: r.Attempt.Number, opening: !p.Opened, closing: p.Ended && p.Opened}
	m.progress.Update(id, func(p *replica.Progress) {
		p.Sending, p.LastMessage = true, number
	})
	worker.Call(m.opts.Pool, worker.Key(id), timeout,
		func(ctx context.Context) (Ack, error) {
			return call(model.WithTraceParent(ctx, traceParent), to)
		},
		func(ack Ack, err error) {
			if p, ok := m.progress.Get(id); !ok || p.LastMessage != number {
				return
			}
			m.handleResult(id, ack, err, inFlight)
		})
}

// inFlightMessage describes a message that was sent and not answered yet.
type inFlightMessage struct {
	attempt int // number of the attempt that the holder knows once it acknowledges
	opening bool
	closing bool
}

// handleResult handles a holder's answer to a message, or the lack of one.
func (m *Manager) handleResult(id model.RequestID, ack Ack, err error, message inFlightMessage) {
	r, ok := m.opts.Table.Get(id)
	if !ok {
		m.progress.Remove(id)
		return
	}
	if err != nil || ack.Refused {
		m.giveUpHolder(&r)
		m.advance(id)
		return
	}
	held := min(ack.HeldTokens, len(r.Tokens))
	closed := message.closing && ack.Exists && held == len(r.Tokens)
	if closed {
		m.progress.Remove(id)
		return
	}
	m.recordAck(id, ack.Exists, held, message)
	if ack.Exists && message.attempt >= r.Attempt.Number && held >= r.Attempt.First {
		m.markLineCopied(&r)
	}
	switch {
	case ack.Exists && copyDue(&r, time.Now()):
		m.updateHoldBack(&r, held)
	case !ack.Exists || message.attempt >= r.Attempt.Number:
		m.stopHoldBack(id)
	}
	m.advance(id)
}

// recordAck records what the holder has. Only acknowledged tokens prove that a
// holder keeps up, so an acknowledged header does not reset the failures.
func (m *Manager) recordAck(id model.RequestID, copyExists bool, held int, message inFlightMessage) {
	newlyAcked := 0
	m.progress.Update(id, func(p *replica.Progress) {
		newlyAcked = max(held-p.AckedTokens, 0)
		p.Sending, p.Opened = false, copyExists
		p.AckedTokens, p.Attempt = held, message.attempt
		if copyExists {
			p.ShowableAttempt = max(p.ShowableAttempt, message.attempt)
		}
		if !message.opening {
			p.Failures, p.HolderIndex = 0, p.HolderIndex%maxHolderCandidates
		}
	})
	m.opts.Counters.Copied(newlyAcked)
}

// updateHoldBack shows the tokens that the holder has. If tokens are not held
// back, it starts to hold them back once the holder has all of them.
func (m *Manager) updateHoldBack(r *generation.Record, held int) {
	if r.ShowOnlyCopied && r.CopiedTokens != held || !r.ShowOnlyCopied && held == len(r.Tokens) {
		m.holdBack(r.Spec.Request, held)
	}
}

// markLineCopied records that a holder has a copy of the record's own line, so
// that events may name the line. The stream of the attempt that the holder
// knows can continue the copy.
func (m *Manager) markLineCopied(r *generation.Record) {
	if r.LineCopied {
		return
	}
	m.opts.Table.Update(r.Spec.Request, func(r *generation.Record) { r.LineCopied = true })
}

// giveUpHolder gives up a holder that refused a message or did not acknowledge
// it, so that the next holder is chosen.
func (m *Manager) giveUpHolder(r *generation.Record) {
	id := r.Spec.Request
	if r.ShowOnlyCopied {
		m.opts.Counters.Unprotected(len(r.Tokens) - r.CopiedTokens)
	}
	m.stopHoldBack(id)
	m.progress.Update(id, func(p *replica.Progress) {
		p.Unprotected = len(r.Tokens)
		p.Sending, p.Opened, p.AckedTokens, p.Attempt = false, false, 0, 0
		p.Holder, p.StaleCopyPossible = "", true
		p.HolderIndex++
		p.Failures++
		p.RetryAt = time.Now().Add(retryDelay(p.Failures))
	})
}

// sendDrop tells a holder to drop its copy, and ignores the answer.
func (m *Manager) sendDrop(id model.RequestID, p replica.Progress) {
	to, ok := m.opts.Instances.Get(p.Holder)
	if !ok {
		return
	}
	message := Close{Request: id, Line: p.Line, Drop: true}
	worker.Call(m.opts.Pool, worker.Key(id), openTimeout,
		func(ctx context.Context) (Ack, error) { return m.opts.Peers.Close(ctx, to, message) },
		func(Ack, error) {})
}
