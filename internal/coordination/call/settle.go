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
	// settleLimit bounds the retries, and with them the entries that a long
	// outage of the table keeps. A row that stays claimed reads as unknown.
	settleLimit = 10 * time.Minute
)

// settling brings a claim's row to its final state in the background. Items
// under the request's key alone touch its fields.
type settling struct {
	call     *once
	target   Claim
	expected store.Revision
	waits    *backoff.ExponentialBackOff
	until    time.Time
}

// settle writes the target over the claim. The call's entry stays in the
// table until then, so that repeats on this instance see its result.
func (c *once) settle(target Claim) {
	target.EndedAt = time.Now()
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleFirstWait
	waits.MaxInterval = settleMaxWait
	s := &settling{call: c, target: target, expected: c.revision, waits: waits, until: target.EndedAt.Add(settleLimit)}
	if c.revision == store.NoRow {
		s.read() // the claim's write was never answered
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
			s.end()
			return
		}
		s.later()
	})
}

func (s *settling) read() {
	m := s.call.m
	get := func(ctx context.Context) (store.Keyed[Claim], error) {
		return m.Claims.Get(model.WithTraceParent(ctx, s.call.req.TraceParent), rowKey(s.call.key))
	}
	worker.Call(m.Pool, worker.Key(s.call.req.ID), claimTimeout, get, s.afterRead)
}

func (s *settling) afterRead(row store.Keyed[Claim], err error) {
	if readFailed(err) {
		s.later()
		return
	}
	expected, more := settleStep(row, err, s.target)
	if !more {
		s.end()
		return
	}
	s.expected = expected
	s.write()
}

// later reads the row back after a wait, since the last write may or may not
// have taken effect.
func (s *settling) later() {
	if time.Now().After(s.until) {
		log.WithField("part", "call").WithField("request_id", s.call.req.ID).
			WithField("state", s.target.State).Warn("Claim could not be settled; repeats get an unknown outcome.")
		s.end()
		return
	}
	s.call.m.Pool.After(s.waits.NextBackOff(), worker.Key(s.call.req.ID), worker.Func(s.read))
}

func (s *settling) end() {
	s.call.m.Calls.Remove(s.call.key, s.call.claim.Nonce)
}
