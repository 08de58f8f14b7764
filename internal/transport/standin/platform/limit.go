package platform

import (
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// limit is a rate that can be changed while it is in use. The zero value does
// not limit.
type limit struct {
	limiter atomic.Pointer[rate.Limiter]
}

// set changes the rate to the given calls/s, zero meaning no limit. It allows
// bursts of one second's calls, and of one call at least. Setting the rate
// that is in force keeps its state.
func (l *limit) set(perSecond float64) {
	if perSecond <= 0 {
		l.limiter.Store(nil)
		return
	}
	if old := l.limiter.Load(); old != nil && old.Limit() == rate.Limit(perSecond) {
		return
	}
	l.limiter.Store(rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))))
}

// take counts one call. It returns zero when the call is within the rate, or
// else the whole seconds after which one more call is.
func (l *limit) take() int {
	limiter := l.limiter.Load()
	if limiter == nil || limiter.Allow() {
		return 0
	}
	return int(math.Ceil(1 / float64(limiter.Limit())))
}
