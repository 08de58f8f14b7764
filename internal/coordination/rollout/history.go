package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// horizonMinutes is the age at which evidence is no longer read.
	horizonMinutes = 60
	// rateWindowMinutes is the time span of the traffic estimate. With fewer
	// than minRateRequests in it, the estimate covers horizonMinutes.
	rateWindowMinutes = 10
	minRateRequests   = 50
)

// sumKey identifies one sum of counts over all instances.
type sumKey struct {
	minute int64
	route  string
	target bool // the target version, not the previous one
}

// history turns successive readings of the pooled evidence into batches. A batch
// holds the difference between a reading and the one before it.
type history struct {
	serves     string
	plan       model.VersionPlan
	fromMinute int64 // first minute whose target counts belong to the move
	lastCounts map[sumKey]evidence.Counts
	requests   map[sumKey]uint64 // of the last reading, for the traffic estimate
}

// newHistory returns a history that ignores the target's counts before the given
// minute.
func newHistory(serves string, plan model.VersionPlan, from int64) *history {
	return &history{serves: serves, plan: plan, fromMinute: from, lastCounts: map[sumKey]evidence.Counts{}}
}

// prime excludes the target's present counts from later batches. It is called
// for a move that begins now, since the target may have had traffic under an
// earlier move.
func (h *history) prime(sums map[evidence.SumKey]evidence.Counts) {
	for c, counts := range h.sumsByKey(sums) {
		if c.target {
			h.lastCounts[c] = counts
		}
	}
}

// versions returns the two versions of the move.
func (h *history) versions() []model.VersionKey {
	return []model.VersionKey{
		{Serves: h.serves, Version: h.plan.Target},
		{Serves: h.serves, Version: h.plan.Previous},
	}
}

// nextBatches returns the counts that are new in this reading, one batch for each
// minute.
func (h *history) nextBatches(sums map[evidence.SumKey]evidence.Counts, now time.Time) []Batch {
	oldest := minuteOf(now) - horizonMinutes
	byMinute := map[int64]map[string]RouteCounts{}
	h.requests = map[sumKey]uint64{}
	for c, counts := range h.sumsByKey(sums) {
		if c.minute < oldest || c.target && c.minute < h.fromMinute {
			continue
		}
		h.requests[c] = counts.Requests
		delta := subtractCounts(counts, h.lastCounts[c])
		h.lastCounts[c] = counts
		addDelta(byMinute, c, delta)
	}
	for c := range h.lastCounts {
		if c.minute < oldest {
			delete(h.lastCounts, c)
		}
	}
	return sortedBatches(byMinute, now)
}

// sumsByKey returns the sums of the move's two versions by key.
func (h *history) sumsByKey(sums map[evidence.SumKey]evidence.Counts) map[sumKey]evidence.Counts {
	cells := make(map[sumKey]evidence.Counts, len(sums))
	for key, counts := range sums {
		target := key.Version.Version == h.plan.Target
		cells[sumKey{minute: key.Minute, route: key.Route, target: target}] = counts
	}
	return cells
}

// addDelta adds new counts of one version to their minute and route.
func addDelta(byMinute map[int64]map[string]RouteCounts, c sumKey, delta evidence.Counts) {
	if delta == (evidence.Counts{}) {
		return
	}
	routes := byMinute[c.minute]
	if routes == nil {
		routes = map[string]RouteCounts{}
		byMinute[c.minute] = routes
	}
	rc := routes[c.route]
	rc.Route = c.route
	if c.target {
		rc.New = delta
	} else {
		rc.Old = delta
	}
	routes[c.route] = rc
}

// sortedBatches returns the deltas sorted by minute and route. The batch of the
// current minute carries the present time instead of the start of the minute, so
// that the start of a fault is estimated more exactly.
func sortedBatches(byMinute map[int64]map[string]RouteCounts, now time.Time) []Batch {
	var list []Batch
	for minute, routes := range byMinute {
		b := Batch{At: time.Unix(minute*60, 0)}
		if minute >= minuteOf(now) {
			b.At = now
		}
		for _, rc := range routes {
			b.Routes = append(b.Routes, rc)
		}
		slices.SortFunc(b.Routes, func(x, y RouteCounts) int { return cmp.Compare(x.Route, y.Route) })
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y Batch) int { return x.At.Compare(y.At) })
	return list
}

// rates estimates the requests per second of each route, for both versions
// together.
func (h *history) rates(now time.Time) map[string]float64 {
	short := h.ratesOver(now, rateWindowMinutes)
	if short.requests >= minRateRequests {
		return short.rates
	}
	return h.ratesOver(now, horizonMinutes).rates
}

// trafficEstimate holds the requests in a time span and the requests per second
// of each route.
type trafficEstimate struct {
	requests uint64
	rates    map[string]float64
}

// ratesOver estimates the traffic from the counts of the last minutes.
func (h *history) ratesOver(now time.Time, minutes int64) trafficEstimate {
	first := minuteOf(now) - minutes + 1
	counts := map[string]uint64{}
	earliest := minuteOf(now)
	e := trafficEstimate{rates: map[string]float64{}}
	for c, n := range h.requests {
		if c.minute < first {
			continue
		}
		earliest = min(earliest, c.minute)
		counts[c.route] += n
		e.requests += n
	}
	elapsed := max(10, now.Sub(time.Unix(earliest*60, 0)).Seconds())
	for route, n := range counts {
		e.rates[route] = float64(n) / elapsed
	}
	return e
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }
