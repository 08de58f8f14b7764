package call

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	settleFirstWait = 100 * time.Millisecond
	settleMaxWait   = 5 * time.Second
	// settleLimit ends the retries, which limits the entries that accumulate in
	// call.Table during a long outage of the claims table. Repeats of a call whose
	// row stays claimed get an unknown outcome.
	settleLimit = 10 * time.Minute
)

// settling writes the final state of a claim's row in the background, with
// retries. Its fields are accessed only on a worker under the request's key.
type settling struct {
	call     *onceCall
	target   Claim
	expected store.Revision
	waits    *backoff.ExponentialBackOff
	until    time.Time
}

// replaceClaim replaces the claim's row with target. The call's entry stays in call.Table
// until that is done, so that repeats on this instance get its result.
func (c *onceCall) replaceClaim(target Claim) {
	target.EndedAt = time.Now()
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleFirstWait
	waits.MaxInterval = settleMaxWait
	s := &settling{call: c, target: target, expected: c.revision, waits: waits, until: target.EndedAt.Add(settleLimit)}
	if c.revision == store.NoRow {
		s.read() // no answer has confirmed the write of the claim
		return
	}
	s.write()
}

func (s *settling) write() {
	m := s.call.m
	put := func(ctx context.Context) (store.Revision, error) {
		return m.Claims.Put(model.WithTraceParent(ctx, s.call.req.TraceParent), rowKey(s.call.key), s.target, s.expected)
	}
	worker.Call(m.Pool, worker.Key(s.call.req.ID), claimTimeout, put, func(_ store.Revision, err error) {
		if err == nil {
			s.removeCall()
			return
		}
		s.retryLater()
	})
}

func (s *settling) read() {
	m := s.call.m
	get := func(ctx context.Context) (store.Row[Claim], error) {
		return m.Claims.Get(model.WithTraceParent(ctx, s.call.req.TraceParent), rowKey(s.call.key))
	}
	worker.Call(m.Pool, worker.Key(s.call.req.ID), claimTimeout, get, s.afterRead)
}

func (s *settling) afterRead(row store.Row[Claim], err error) {
	if readFailed(err) {
		s.retryLater()
		return
	}
	expected, more := settleStep(row, err, s.target)
	if !more {
		s.removeCall()
		return
	}
	s.expected = expected
	s.write()
}

// retryLater reads the row after a backoff, since the last write may or may not
// have taken effect.
func (s *settling) retryLater() {
	if time.Now().After(s.until) {
		log.WithField("part", "call").WithField("request_id", s.call.req.ID).
			WithField("state", s.target.State).Warn("claim row was not updated within the retry limit; repeats get an unknown outcome")
		s.removeCall()
		return
	}
	s.call.m.Pool.After(s.waits.NextBackOff(), worker.Key(s.call.req.ID), worker.Func(s.read))
}

func (s *settling) removeCall() {
	s.call.m.Calls.Remove(s.call.key, s.call.claim.Nonce)
}
