package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

const (
	// returnShare is the part of the caller's remaining time that Retry-After takes at
	// most. Callers do not return after a longer one.
	returnShare = 1.0 / 3
	// unknownReturnLimit is the longest Retry-After of a caller whose deadline is unknown.
	unknownReturnLimit = 2 * time.Second
	// defaultReturnInterval is the time between two returns while no request has ended yet.
	defaultReturnInterval = 10 * time.Millisecond
	// minReturn is the shortest Retry-After. A caller that returns earlier finds the
	// state that refused it.
	minReturn = 20 * time.Millisecond
)

// pacedReturn returns the time after which a refused caller should return, and moves the
// queue's next return on. Callers are told to return one after the other, at the rate at
// which the service ends requests and not before the expected wait is over, so that those
// refused first return first. A time beyond the caller's limit is replaced by one in the
// last half of the limit, spread by the request's key.
func pacedReturn(q *organisation.Queue, id model.RequestID, wait time.Duration, places int, callerDeadline, now time.Time) time.Duration {
	interval := defaultReturnInterval
	if q.HoldTime > 0 && places > 0 {
		interval = max(time.Duration(float64(q.HoldTime)/float64(places)), 1)
	}
	limit := unknownReturnLimit
	if !callerDeadline.IsZero() {
		limit = max(time.Duration(returnShare*float64(callerDeadline.Sub(now))), 0)
	}
	at := now.Add(max(wait, minReturn))
	if q.NextReturn.After(at) {
		at = q.NextReturn
	}
	after := at.Sub(now)
	if after > limit {
		spread := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
		return time.Duration((1 + spread) / 2 * float64(limit))
	}
	q.NextReturn = at.Add(interval)
	return after
}
