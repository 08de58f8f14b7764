package platform

import (
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// rateLimit is a rate limit that can be changed while it is in use. The zero
// value admits every call.
type rateLimit struct {
	limiter atomic.Pointer[rate.Limiter]
}

// set changes the rate to the given calls/s; zero means no limit. A burst may
// hold the calls of one second, but at least one call. Setting the current rate
// again keeps the state of the limiter.
func (l *rateLimit) set(perSecond float64) {
	if perSecond <= 0 {
		l.limiter.Store(nil)
		return
	}
	if old := l.limiter.Load(); old != nil && old.Limit() == rate.Limit(perSecond) {
		return
	}
	l.limiter.Store(rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))))
}

// take counts one call and returns zero if the call is within the rate. Otherwise
// it returns the number of seconds, rounded up, until one more call is admitted.
func (l *rateLimit) take() int {
	limiter := l.limiter.Load()
	if limiter == nil || limiter.Allow() {
		return 0
	}
	return int(math.Ceil(1 / float64(limiter.Limit())))
}
