package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// connEvents posts the events of one engine connection to the worker pool.
type connEvents struct {
	m      *Manager
	id     model.RequestID
	number int // attempt number
	up     model.Upstream
	stream model.StreamID
}

func (m *Manager) newConnEvents(r generation.Record, up model.Upstream) Events {
	return &connEvents{m: m, id: r.Spec.Request, number: r.Attempt.Number, up: up, stream: r.Attempt.Stream}
}

// Tokens implements Events.
func (e *connEvents) Tokens(stream string, position int, tokens []string) {
	e.m.opts.Pool.Post(key(e.id), tokensArrived{e, continuation.Connection{Number: e.number, Stream: stream}, position, tokens, time.Now()})
}

// Ended implements Events.
func (e *connEvents) Ended(stream string, total int, reason string) {
	e.m.opts.Pool.Post(key(e.id), streamEnded{e, continuation.Connection{Number: e.number, Stream: stream}, total, reason})
}

// Lost implements Events.
func (e *connEvents) Lost(kind continuation.Loss, detail continuation.Detail) {
	e.m.opts.Pool.Post(key(e.id), connectionLost{e, kind, detail})
}

// tokensArrived is the work item for tokens received on one connection.
type tokensArrived struct {
	*connEvents
	from     continuation.Connection
	position int
	tokens   []string
	at       time.Time
}

// Run implements worker.Item.
func (i tokensArrived) Run() {
	verdict, first, r := i.apply()
	switch verdict {
	case continuation.Accepted:
		if first {
			i.m.armSilenceCheck(r)
		}
		i.m.opts.Guard.RecordProgress(r.Fingerprint, len(r.Tokens))
		i.m.opts.Copier.TokensAccepted(i.id)
	case continuation.Stale:
		i.cancelStale(r)
	case continuation.Gap:
		i.m.handleLoss(i.id, i.number, continuation.LossGap, continuation.Detail{})
	case continuation.WrongStream:
		i.m.handleLoss(i.id, i.number, continuation.LossWrongStream, continuation.Detail{})
	}
}

// apply appends the tokens that the record does not have yet and returns the
// updated record. first reports whether they are the first tokens of the attempt.
func (i tokensArrived) apply() (verdict continuation.Verdict, first bool, after generation.Record) {
	verdict = continuation.Stale
	i.m.opts.Generations.Update(i.id, func(r *generation.Record) {
		var skip int
		verdict, skip = continuation.Accept(currentOf(r.Attempt), len(r.Tokens), i.from, i.position, len(i.tokens))
		if verdict == continuation.Accepted {
			first = len(r.Tokens) == r.Attempt.First
			appendTokens(r, i.tokens[skip:], i.at)
		}
		after = *r
	})
	return verdict, first, after
}

func appendTokens(r *generation.Record, tokens []string, at time.Time) {
	if len(r.Tokens) > r.Attempt.First {
		interval := at.Sub(r.Attempt.LastSeen) / time.Duration(len(tokens))
		r.Attempt.Interval = continuation.Smooth(r.Attempt.Interval, interval)
	}
	if r.FirstTokenAt.IsZero() {
		r.FirstTokenAt = at
	}
	if !r.OutputLostAt.IsZero() {
		r.OutageDurations = append(r.OutageDurations, at.Sub(r.OutputLostAt))
		r.OutputLostAt = time.Time{}
	}
	if len(r.Tokens) == r.Attempt.First {
		r.Attempt.FirstWait = at.Sub(r.Attempt.Started)
	}
	r.Append(tokens)
	r.Attempt.LastSeen = at
	r.FruitlessAttempts = 0
}

// cancelStale cancels the stream of an older attempt, unless the current
// attempt reads the same stream, or is about to attach to it after a takeover.
func (i tokensArrived) cancelStale(r generation.Record) {
	attaching := r.TakenOver == i.stream && len(r.History) == 0
	if r.Attempt.Stream == i.stream && (r.Attempt.Open || attaching) {
		return
	}
	i.m.opts.Engines.Cancel(i.up, i.stream)
}

// streamEnded is the work item for the end of the stream on one connection.
type streamEnded struct {
	*connEvents
	from   continuation.Connection
	total  int
	reason string
}

// Run implements worker.Item.
func (i streamEnded) Run() {
	r, ok := i.m.opts.Generations.Get(i.id)
	if !ok || r.End != nil {
		return
	}
	switch continuation.AcceptEnd(currentOf(r.Attempt), len(r.Tokens), i.from, i.total) {
	case continuation.Duplicate:
		i.m.complete(r, i.reason)
	case continuation.Gap:
		i.m.handleLoss(i.id, i.number, continuation.LossGap, continuation.Detail{Cause: "wrong token count at the end"})
	case continuation.WrongStream:
		i.m.handleLoss(i.id, i.number, continuation.LossWrongStream, continuation.Detail{})
	}
}

// complete ends a generation whose answer is complete.
func (m *Manager) complete(r generation.Record, reason string) {
	id := r.Spec.Request
	m.opts.Generations.Update(id, func(r *generation.Record) { archiveAttempt(r, "", time.Now()) })
	m.opts.Upstreams.Release(r.Attempt.Upstream)
	m.opts.Upstreams.RecordOutput(r.Attempt.Upstream, time.Now())
	m.opts.Guard.Finished(r.Fingerprint)
	m.opts.Guard.AttemptStopped(r.Fingerprint, r.Attempt.Upstream)
	m.observe(r, false)
	m.finish(id, generation.End{FinishReason: reason})
}

// archiveAttempt closes the current attempt and adds it to the record's history.
func archiveAttempt(r *generation.Record, reason string, now time.Time) {
	r.Attempt.Open = false
	r.History = append(r.History, generation.EndedAttempt{
		Attempt: r.Attempt,
		Ended:   now,
		Tokens:  len(r.Tokens) - r.Attempt.First,
		Reason:  reason,
	})
}

// observe reports the attempt as evidence for or against its version.
func (m *Manager) observe(r generation.Record, failed bool) {
	row, ok := m.opts.Upstreams.Get(r.Attempt.Upstream)
	if !ok {
		return
	}
	o := evidence.Observation{Failed: failed, Pace: r.Attempt.Interval}
	if !r.Attempt.Attached && r.Attempt.First == 0 {
		o.FirstWait = r.Attempt.FirstWait
	}
	m.opts.Observe(row.Upstream, o)
}

// connectionLost is the work item for the failure of one connection.
type connectionLost struct {
	*connEvents
	kind   continuation.Loss
	detail continuation.Detail
}

// Run implements worker.Item.
func (i connectionLost) Run() {
	i.m.handleLoss(i.id, i.number, i.kind, i.detail)
}

// silenceCheck ends an attempt whose stream has been silent for too long, if the
// generation goes on without it, and otherwise reschedules itself. The check that
// waits for the first token stops once that token has arrived: the limit is
// shorter from then on, and the arrival of the token has scheduled a check of its
// own.
type silenceCheck struct {
	m          *Manager
	id         model.RequestID
	number     int
	afterFirst bool // the first token has arrived; the check waits for later ones
}

// Run implements worker.Item.
func (i silenceCheck) Run() {
	r, ok := i.m.opts.Generations.Get(i.id)
	if !ok || r.End != nil || !r.Attempt.Open || r.Attempt.Number != i.number || hasToken(r) != i.afterFirst {
		return
	}
	if left := time.Until(silenceDeadline(r)); left > 0 {
		i.m.opts.Pool.After(left, key(i.id), i)
		return
	}
	if !i.m.mayMoveSilent(r) {
		i.m.opts.Pool.After(minSilence, key(i.id), i)
		return
	}
	i.m.handleLoss(i.id, i.number, continuation.LossSilence, continuation.Detail{})
}

// mayMoveSilent reports whether the generation goes on if the silent attempt is closed.
// A sound engine may pause, so silence alone does not end a generation while its engine
// may still go on.
func (m *Manager) mayMoveSilent(r generation.Record) bool {
	s := m.situation(r, continuation.LossSilence)
	goesOn := s.AlternativeReady && !s.NeedsLostStream && s.Failures < continuation.MaxFailures
	return goesOn || time.Since(r.Attempt.LastSeen) >= continuation.MaxContinuationWait
}

func (m *Manager) armSilenceCheck(r generation.Record) {
	due := silenceCheck{m, r.Spec.Request, r.Attempt.Number, hasToken(r)}
	m.opts.Pool.After(time.Until(silenceDeadline(r)), key(r.Spec.Request), due)
}

// silenceDeadline returns the time at which the silent attempt counts as lost.
func silenceDeadline(r generation.Record) time.Time {
	resumed := r.Attempt.Number > 1 && r.ShownTokens > 0
	return r.Attempt.LastSeen.Add(tokenSilence.Timeout(paceOf(r.Attempt), hasToken(r), resumed))
}

// hasToken reports whether the attempt has delivered a token.
func hasToken(r generation.Record) bool { return len(r.Tokens) > r.Attempt.First }

var _ worker.Item = silenceCheck{}
