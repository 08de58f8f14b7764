package call

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

const (
	maxRoutes         = 512 // calls of further routes are not hedged
	minLatencyMicros  = int64(time.Millisecond / time.Microsecond)
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 2
	hedgePercentile   = 95
	samplesPerUpdate  = 20   // samples between two updates of the percentile
	samplesPerReset   = 1000 // samples after which the histogram is reset
	minSamples        = 20   // no percentile is read from fewer samples
)

// Latencies holds a latency histogram for each route. mu has lock.RankCall and
// guards routes. The number of routes and the size of each histogram are bounded.
type Latencies struct {
	mu     lock.Mutex
	routes map[string]*latency
}

type latency struct {
	histogram  *hdrhistogram.Histogram
	percentile time.Duration
}

// NewLatencies returns an empty table.
func NewLatencies() *Latencies {
	return &Latencies{mu: lock.New(lock.RankCall), routes: map[string]*latency{}}
}

// Record adds one attempt's latency.
func (l *Latencies) Record(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routeLatency(route)
	if r == nil {
		return
	}
	value := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	if err := r.histogram.RecordValue(value); err != nil {
		return // only for a value out of range, which min and max rule out
	}
	n := r.histogram.TotalCount()
	if n%samplesPerUpdate == 0 && n >= minSamples {
		r.percentile = time.Duration(r.histogram.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	if n >= samplesPerReset {
		r.histogram.Reset()
	}
}

// routeLatency returns the route's entry and creates it if needed, or returns nil
// if there are maxRoutes others. The caller holds mu.
func (l *Latencies) routeLatency(name string) *latency {
	if r, ok := l.routes[name]; ok {
		return r
	}
	if len(l.routes) >= maxRoutes {
		return nil
	}
	r := &latency{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
	l.routes[name] = r
	return r
}

// HedgeAfter returns the 95th percentile of the route's latency, after which an
// attempt is hedged, or false when there are too few samples.
func (l *Latencies) HedgeAfter(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok || r.percentile == 0 {
		return 0, false
	}
	return r.percentile, true
}
