package call

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	claimTimeout   = time.Second // for one request to the table
	claimRetryWait = 100 * time.Millisecond
	// maxClaimSteps bounds the requests to the table before a call is refused.
	// Five cover a lost answer, a failed read and a row that was released in
	// between.
	maxClaimSteps = 5
)

// once is one at-most-once call. Items under the request's key alone touch
// its fields; what other requests see of it is in call.Table.
//
// The call is sent only by the instance that made the nonce, and only by the
// one transition to call.PhaseSending in the table. So barring the entry here
// is enough for "not run" to be true, whatever became of the claim's row.
type once struct {
	m         *Manager
	req       Request
	key       call.Key
	claim     Claim
	expected  store.Revision // revision that the next claim write replaces
	revision  store.Revision // revision of the row that holds the claim
	uncertain bool           // a claim write of ours may have taken effect
	steps     int            // requests made to the table
	expiry    *worker.Timer
}

// startOnce starts the call, or joins the one that runs under the same key.
func (m *Manager) startOnce(req Request, done func(Response, *model.Refusal)) {
	c := &once{m: m, req: req, key: keyOf(req)}
	c.claim = Claim{
		Nonce:     uuid.NewString(),
		Instance:  m.Instance,
		Request:   req.ID,
		BodyHash:  bodyHash(req),
		State:     ClaimHeld,
		ClaimedAt: time.Now(),
	}
	deliver := func(r call.Result) { done(r.Response, r.Refusal) }
	joined, result := m.Calls.Join(c.key, c.claim.Nonce, c.claim.BodyHash, call.Waiter{Request: req.ID, Deliver: deliver})
	switch joined {
	case call.JoinStarted:
		c.expiry = m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(c.expire))
		c.write()
	case call.JoinWaiting:
		m.limitWait(c.key, req, deliver)
	case call.JoinEnded:
		result.Response.Replayed = result.Refusal == nil
		deliver(result)
	case call.JoinBarred:
		deliver(call.Result{Refusal: refuseReleasing()})
	case call.JoinMismatch:
		deliver(call.Result{Refusal: refuseKeyReused()})
	case call.JoinFull:
		deliver(call.Result{Refusal: refuseOverloaded()})
	}
}

// limitWait ends the wait for another request's call at the deadline.
func (m *Manager) limitWait(key call.Key, req Request, deliver func(call.Result)) {
	m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(func() {
		if m.Calls.Leave(key, req.ID) {
			deliver(call.Result{Refusal: unknown("the call still runs for an earlier request")})
		}
	}))
}

// expire refuses a call that was not handed to the sender by its deadline.
func (c *once) expire() {
	if waiters, ok := c.m.Calls.Bar(c.key, c.claim.Nonce, call.PhaseClaiming); ok {
		c.m.deliver(waiters, call.Result{Refusal: refuseDeadline()})
	}
}

func (c *once) write() {
	c.steps++
	put := func(ctx context.Context) (store.Revision, error) {
		return c.m.Claims.Put(model.WithTraceParent(ctx, c.req.TraceParent), rowKey(c.key), c.claim, c.expected)
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), claimTimeout, put, func(revision store.Revision, err error) {
		d, uncertain := afterWrite(revision, err)
		c.uncertain = c.uncertain || uncertain
		c.do(d)
	})
}

func (c *once) read() {
	c.steps++
	get := func(ctx context.Context) (store.Keyed[Claim], error) {
		return c.m.Claims.Get(model.WithTraceParent(ctx, c.req.TraceParent), rowKey(c.key))
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), claimTimeout, get, func(row store.Keyed[Claim], err error) {
		d := afterRead(row, err, c.claim.Nonce, c.claim.BodyHash)
		if d.step == stepRead {
			c.readLater()
			return
		}
		c.do(d)
	})
}

func (c *once) readLater() {
	c.m.Pool.After(claimRetryWait, worker.Key(c.req.ID), worker.Func(func() {
		c.do(decision{step: stepRead})
	}))
}

// do takes one step. A claim write that cannot be read back within
// maxClaimSteps ends in a refusal.
func (c *once) do(d decision) {
	if c.steps >= maxClaimSteps && (d.step == stepRead || d.step == stepWrite) {
		d.step = stepGiveUp
	}
	switch d.step {
	case stepSend:
		c.revision = d.revision
		c.send()
	case stepWrite:
		c.expected = d.expected
		c.write()
	case stepRead:
		c.read()
	case stepAnswer:
		c.refuse(d.result, false)
	case stepGiveUp:
		c.refuse(call.Result{Refusal: refuseClaims()}, c.uncertain)
	}
}

// refuse bars the call before it answers. release frees the row of a claim
// that may be ours.
func (c *once) refuse(result call.Result, release bool) {
	c.expiry.Stop()
	waiters, _ := c.m.Calls.Bar(c.key, c.claim.Nonce, call.PhaseClaiming)
	c.m.deliver(waiters, result)
	if !release {
		c.m.Calls.Remove(c.key, c.claim.Nonce)
		return
	}
	c.release()
}

// send hands the claimed call to the sender, once. The upstream is chosen
// after the claim, so that it is not one that left in the meantime.
func (c *once) send() {
	upstream, ok := c.m.Pick(c.req)
	if !ok {
		c.refuse(call.Result{Refusal: refuseNoUpstream(c.req.Service)}, true)
		return
	}
	if !time.Now().Before(c.req.Deadline) {
		c.refuse(call.Result{Refusal: refuseDeadline()}, true)
		return
	}
	if !c.m.Calls.Send(c.key, c.claim.Nonce) {
		c.release() // expire barred it
		return
	}
	c.expiry.Stop()
	started := time.Now()
	c.m.begin(c.req, upstream, started)
	attempt := func(ctx context.Context) (Response, error) {
		return c.m.Sender.Send(ctx, upstream, c.req)
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), time.Until(c.req.Deadline), attempt, func(resp Response, err error) {
		c.m.end(c.req, upstream, resp, err, false)
		c.m.observe(upstream, c.req, resp, err, time.Since(started))
		c.sent(resp, err)
	})
}

// sent ends the call after the sender returned.
func (c *once) sent(resp Response, err error) {
	result, released := outcomeOf(resp, err)
	if released {
		// The sender has returned and sends nothing more, so the call is barred.
		waiters, _ := c.m.Calls.Bar(c.key, c.claim.Nonce, call.PhaseSending)
		c.m.deliver(waiters, result)
		c.release()
		return
	}
	c.m.deliver(c.m.Calls.End(c.key, c.claim.Nonce, result), result)
	if result.Refusal != nil {
		// The row stays claimed, which reads as an unknown outcome everywhere.
		c.m.Calls.Remove(c.key, c.claim.Nonce)
		return
	}
	c.settle(finish(c.claim, resp))
}

// release marks the row as not run, so that the key can be used again.
func (c *once) release() {
	target := c.claim
	target.State = ClaimNotRun
	c.settle(target)
}

// deliver hands the result to the waiters, each under its own key.
func (m *Manager) deliver(waiters []call.Waiter, result call.Result) {
	for _, w := range waiters {
		m.Pool.Post(worker.Key(w.Request), worker.Func(func() { w.Deliver(result) }))
	}
}
