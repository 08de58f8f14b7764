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
	claimTimeout   = time.Second // for one request to the claims table
	claimRetryWait = 100 * time.Millisecond
	// maxTableRequests limits the requests to the claims table before a call is
	// refused. Five requests cover a lost answer, a failed read, and a row that is
	// released between a read and a write.
	maxTableRequests = 5
)

// onceCall is an at-most-once call. Its fields are accessed only on a worker under
// the request's key; other requests see its entry in call.Table.
//
// Only the instance that created the nonce sends the call, and only after the
// single transition of its entry in call.Table to call.PhaseSending. Barring the
// entry therefore guarantees the outcome "not run", whatever the claim's row says.
type onceCall struct {
	m             *Manager
	req           Request
	key           call.Key
	claim         Claim
	expected      store.Revision // revision that the next claim write replaces
	revision      store.Revision // revision of the row that holds the claim
	uncertain     bool           // a write of the claim may have taken effect
	tableRequests int            // requests made to the claims table
	expiry        *worker.Timer
}

// startOnce starts the call, or waits for the result of the call that runs under
// the same idempotency key.
func (m *Manager) startOnce(req Request, done func(Response, *model.Refusal)) {
	c := &onceCall{m: m, req: req, key: keyOf(req)}
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
	case call.JoinCancelled:
		deliver(call.Result{Refusal: refuseReleasing()})
	case call.JoinMismatch:
		deliver(call.Result{Refusal: refuseKeyReused()})
	case call.JoinFull:
		deliver(call.Result{Refusal: refuseOverloaded()})
	}
}

// limitWait ends the wait for the call of another request at the deadline.
func (m *Manager) limitWait(key call.Key, req Request, deliver func(call.Result)) {
	m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(func() {
		if m.Calls.RemoveWaiter(key, req.ID) {
			deliver(call.Result{Refusal: refuseUnknown("the call still runs for an earlier request")})
		}
	}))
}

// expire refuses a call that was not passed to the sender by its deadline.
func (c *onceCall) expire() {
	if waiters, ok := c.m.Calls.Cancel(c.key, c.claim.Nonce, call.PhaseClaiming); ok {
		c.m.deliver(waiters, call.Result{Refusal: refuseDeadline()})
	}
}

func (c *onceCall) write() {
	c.tableRequests++
	put := func(ctx context.Context) (store.Revision, error) {
		return c.m.Claims.Put(model.WithTraceParent(ctx, c.req.TraceParent), rowKey(c.key), c.claim, c.expected)
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), claimTimeout, put, func(revision store.Revision, err error) {
		d, uncertain := afterWrite(revision, err)
		c.uncertain = c.uncertain || uncertain
		c.takeStep(d)
	})
}

func (c *onceCall) read() {
	c.tableRequests++
	get := func(ctx context.Context) (store.Row[Claim], error) {
		return c.m.Claims.Get(model.WithTraceParent(ctx, c.req.TraceParent), rowKey(c.key))
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), claimTimeout, get, func(row store.Row[Claim], err error) {
		d := afterRead(row, err, c.claim.Nonce, c.claim.BodyHash)
		if d.step == stepRead {
			c.readLater()
			return
		}
		c.takeStep(d)
	})
}

func (c *onceCall) readLater() {
	c.m.Pool.After(claimRetryWait, worker.Key(c.req.ID), worker.Func(func() {
		c.takeStep(decision{step: stepRead})
	}))
}

// takeStep executes one step. After maxTableRequests it refuses the call instead
// of making another request to the claims table.
func (c *onceCall) takeStep(d decision) {
	if c.tableRequests >= maxTableRequests && (d.step == stepRead || d.step == stepWrite) {
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

// refuse cancels the call, so that it is never sent, and then answers its waiters. If
// release is set, the row may hold this call's claim and is released.
func (c *onceCall) refuse(result call.Result, release bool) {
	c.expiry.Stop()
	waiters, _ := c.m.Calls.Cancel(c.key, c.claim.Nonce, call.PhaseClaiming)
	c.m.deliver(waiters, result)
	if !release {
		c.m.Calls.Remove(c.key, c.claim.Nonce)
		return
	}
	c.release()
}

// send passes the claimed call to the sender, once. It chooses the upstream only
// now, as an upstream chosen before the claim may have left since.
func (c *onceCall) send() {
	upstream, ok := c.m.Pick(c.req)
	if !ok {
		c.refuse(call.Result{Refusal: refuseNoUpstream(c.req.Service)}, true)
		return
	}
	if !time.Now().Before(c.req.Deadline) {
		c.refuse(call.Result{Refusal: refuseDeadline()}, true)
		return
	}
	if !c.m.Calls.BeginSending(c.key, c.claim.Nonce) {
		c.release() // expire has cancelled the call
		return
	}
	c.expiry.Stop()
	started := time.Now()
	c.m.recordAttempt(c.req, upstream, started)
	attempt := func(ctx context.Context) (Response, error) {
		return c.m.Sender.Send(ctx, upstream, c.req)
	}
	worker.Call(c.m.Pool, worker.Key(c.req.ID), time.Until(c.req.Deadline), attempt, func(resp Response, err error) {
		c.m.recordResult(c.req, upstream, resp, err, false)
		c.m.observe(upstream, c.req, resp, err, time.Since(started))
		c.handleSent(resp, err)
	})
}

// handleSent ends the call after the sender has returned.
func (c *onceCall) handleSent(resp Response, err error) {
	result, released := resultOfSend(resp, err)
	if released {
		// The call was not sent, and the sender sends nothing after it has
		// returned, so the call can be cancelled.
		waiters, _ := c.m.Calls.Cancel(c.key, c.claim.Nonce, call.PhaseSending)
		c.m.deliver(waiters, result)
		c.release()
		return
	}
	c.m.deliver(c.m.Calls.End(c.key, c.claim.Nonce, result), result)
	if result.Refusal != nil {
		// The row stays claimed, so repeats on any instance get an unknown
		// outcome.
		c.m.Calls.Remove(c.key, c.claim.Nonce)
		return
	}
	c.replaceClaim(claimWithResponse(c.claim, resp))
}

// release marks the row as not run, so that its idempotency key can be used again.
func (c *onceCall) release() {
	target := c.claim
	target.State = ClaimNotRun
	c.replaceClaim(target)
}

// deliver passes the result to each waiter, on a worker under the waiter's key.
func (m *Manager) deliver(waiters []call.Waiter, result call.Result) {
	for _, w := range waiters {
		m.Pool.Post(worker.Key(w.Request), worker.Func(func() { w.Deliver(result) }))
	}
}
