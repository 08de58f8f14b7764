package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// A request that arrives before the first rules are read, or while no upstream of
// its service is known, is held for a short time. Both happen at the end of an
// outage of the store, and most callers retry only once.

const (
	// maxHoldTime is the longest time for which a request is held. Entries that
	// expired during an outage of the store are registered again within about two
	// seconds of its return.
	maxHoldTime = 2500 * time.Millisecond
	// maxHoldShare is the share of the caller's time limit that a hold may use, so
	// that a caller that is refused afterwards has time to try elsewhere.
	maxHoldShare = 1.0 / 3
	// holdCheckInterval is the time between two checks whether a held request can continue.
	holdCheckInterval = 50 * time.Millisecond
	// maxHeldRequests bounds the requests that an instance holds, and so the memory
	// that their bodies take.
	maxHeldRequests = 256
)

// hold calls retry after holdCheckInterval, or refuses the request if its hold
// time is over.
func (r *activeRequest) hold(retry func(), refusal *model.Refusal) {
	r.leaveAdmission()
	now := time.Now()
	if r.holdUntil.IsZero() {
		if !r.beginHold() {
			r.refuse(refusal)
			return
		}
		r.holdUntil = r.req.Arrived.Add(holdTime(r.req))
		r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("cause", refusal.Code).
			WithField("until_ms", r.holdUntil.Sub(now).Milliseconds()).Info("request held")
	}
	if !now.Before(r.holdUntil) {
		r.refuse(refusal)
		return
	}
	r.m.opts.Pool.After(holdCheckInterval, r.key, worker.Func(func() {
		if !r.ended {
			retry()
		}
	}))
}

// beginHold counts the request as held, and reports false if too many are.
func (r *activeRequest) beginHold() bool {
	if r.held {
		return true
	}
	if r.m.heldCount.Add(1) > maxHeldRequests {
		r.m.heldCount.Add(-1)
		return false
	}
	r.held = true
	return true
}

// mayReleaseStream reports whether a held stream may be sent now. All instances
// release their held streams as soon as the first engines are known again, before
// they learn what the other instances send. The pacing keeps the prompts that all
// instances send together to what the known engines can read.
func (m *Manager) mayReleaseStream(prompt, engines int) bool {
	readTime := float64(prompt) / assumedPrefillRate * float64(time.Second)
	instances := max(m.opts.Instances(), 1)
	interval := time.Duration(readTime * float64(instances) / float64(max(engines, 1)))
	return m.streamReleases.tryPass(time.Now(), interval, instances-1)
}

// pacer admits one stream in each interval. Where there are other instances, the
// first stream waits for a random part of the interval, so that the instances do
// not all start at the same moment.
type pacer struct {
	mu      sync.Mutex // leaf lock: no other lock is taken while it is held
	nextDue time.Time  // when the next stream may pass
}

// tryPass reports whether a stream may pass now. If so, it sets the time of the next one.
func (p *pacer) tryPass(now time.Time, interval time.Duration, others int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.nextDue) > maxHoldTime { // no stream was held recently
		p.nextDue = now.Add(time.Duration(rand.Float64() * float64(others) / float64(others+1) * float64(interval)))
	}
	p.nextDue = earlier(p.nextDue, now.Add(interval)) // the interval shrinks as more engines become known
	if now.Before(p.nextDue) {
		return false
	}
	p.nextDue = now.Add(interval)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recheckHeldStream tries after holdCheckInterval to place the stream again. It
// first searches for an engine that has the prompt in its cache, if that is needed.
func (r *activeRequest) recheckHeldStream() {
	r.m.opts.Pool.After(holdCheckInterval, r.key, worker.Func(func() {
		if r.ended {
			return
		}
		if r.needsPromptSearch() {
			r.m.locatePrompt(r, func() { r.m.opts.Pool.Post(r.key, worker.Func(r.placeStream)) })
			return
		}
		r.placeStream()
	}))
}

// endHold stops counting the request as held.
func (r *activeRequest) endHold() {
	if r.held {
		r.held = false
		r.m.heldCount.Add(-1)
	}
}

// holdTime returns the longest time for which the request may be held.
func holdTime(req *Request) time.Duration {
	if req.Deadline.IsZero() {
		return maxHoldTime
	}
	return min(maxHoldTime, time.Duration(maxHoldShare*float64(req.Deadline.Sub(req.Arrived))))
}

// maxMissingRetryAfter is the longest Retry-After while there are no rules or no
// upstreams. A restart of the store takes about that long. Callers retry only once
// or twice, and within a third of their time limit.
const maxMissingRetryAfter = 2 * time.Second

// retryAfterMissing returns the Retry-After while there are no rules or no upstreams.
func retryAfterMissing(req *Request) time.Duration {
	if req.Deadline.IsZero() {
		return maxMissingRetryAfter
	}
	return min(maxMissingRetryAfter, max(time.Duration(maxHoldShare*float64(time.Until(req.Deadline))), 0))
}
