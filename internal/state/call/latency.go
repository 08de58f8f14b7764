package call

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

const (
	maxRoutes        = 512 // routes beyond it are not hedged
	latencyMin       = int64(time.Millisecond / time.Microsecond)
	latencyMax       = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
	latencyQuantile  = 95
	latencyEvery     = 20   // samples between two readings of the percentile
	latencyWindow    = 1000 // samples after which the histogram starts afresh
	latencyMinSample = 20   // fewer samples give no 95th percentile
)

// Latencies holds the latency of each route. mu has lock.RankCall and guards
// routes. The number of routes and the size of each histogram are bounded.
type Latencies struct {
	mu     lock.Mutex
	routes map[string]*latency
}

type latency struct {
	histogram *hdrhistogram.Histogram
	quantile  time.Duration
}

// NewLatencies returns an empty table.
func NewLatencies() *Latencies {
	return &Latencies{mu: lock.New(lock.RankCall), routes: map[string]*latency{}}
}

// Record adds one attempt's latency.
func (l *Latencies) Record(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.route(route)
	if r == nil {
		return
	}
	value := min(max(d.Microseconds(), latencyMin), latencyMax)
	if err := r.histogram.RecordValue(value); err != nil {
		return // out of the histogram's range, which min and max rule out
	}
	n := r.histogram.TotalCount()
	if n%latencyEvery == 0 && n >= latencyMinSample {
		r.quantile = time.Duration(r.histogram.ValueAtQuantile(latencyQuantile)) * time.Microsecond
	}
	if n >= latencyWindow {
		r.histogram.Reset()
	}
}

// route returns the route's entry, or nil when there are too many. The caller
// holds mu.
func (l *Latencies) route(name string) *latency {
	if r, ok := l.routes[name]; ok {
		return r
	}
	if len(l.routes) >= maxRoutes {
		return nil
	}
	r := &latency{histogram: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
	l.routes[name] = r
	return r
}

// HedgeAfter returns the route's 95th percentile, or false when too few
// attempts were seen.
func (l *Latencies) HedgeAfter(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok || r.quantile == 0 {
		return 0, false
	}
	return r.quantile, true
}
