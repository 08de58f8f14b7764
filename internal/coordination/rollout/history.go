package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// horizon is the age in minutes at which evidence is no longer read.
	horizon = 60
	// rateWindow is the span in minutes of the traffic estimate; with fewer
	// than rateFew requests in it, the whole horizon is used.
	rateWindow = 10
	rateFew    = 50
)

// cell names one sum over all instances.
type cell struct {
	minute int64
	route  string
	target bool
}

// history turns readings of the pooled evidence into batches: what each
// reading counts beyond the one before.
type history struct {
	serves   string
	plan     model.VersionPlan
	from     int64 // first minute whose target counts belong to the move
	seen     map[cell]evidence.Counts
	requests map[cell]uint64 // of the last reading, for the traffic estimate
}

// newHistory returns a history that takes the target's counts from the given
// minute on.
func newHistory(serves string, plan model.VersionPlan, from int64) *history {
	return &history{serves: serves, plan: plan, from: from, seen: map[cell]evidence.Counts{}}
}

// prime makes the counts so far part of the past, for a move that begins now:
// the target may have had traffic under an earlier move.
func (h *history) prime(sums map[evidence.Cell]evidence.Counts) {
	for c, counts := range h.cells(sums) {
		if c.target {
			h.seen[c] = counts
		}
	}
}

// versions returns the versions whose sums are read.
func (h *history) versions() []model.VersionKey {
	return []model.VersionKey{
		{Serves: h.serves, Version: h.plan.Target},
		{Serves: h.serves, Version: h.plan.Previous},
	}
}

// next returns the batches that the reading adds, one for each minute.
func (h *history) next(sums map[evidence.Cell]evidence.Counts, now time.Time) []Batch {
	oldest := minuteOf(now) - horizon
	byMinute := map[int64]map[string]RouteCounts{}
	h.requests = map[cell]uint64{}
	for c, counts := range h.cells(sums) {
		if c.minute < oldest || c.target && c.minute < h.from {
			continue
		}
		h.requests[c] = counts.Requests
		delta := since(counts, h.seen[c])
		h.seen[c] = counts
		addDelta(byMinute, c, delta)
	}
	for c := range h.seen {
		if c.minute < oldest {
			delete(h.seen, c)
		}
	}
	return batches(byMinute, now)
}

// cells returns the sums of the move's two versions.
func (h *history) cells(sums map[evidence.Cell]evidence.Counts) map[cell]evidence.Counts {
	cells := make(map[cell]evidence.Counts, len(sums))
	for key, counts := range sums {
		target := key.Version.Version == h.plan.Target
		cells[cell{minute: key.Minute, route: key.Route, target: target}] = counts
	}
	return cells
}

func addDelta(byMinute map[int64]map[string]RouteCounts, c cell, delta evidence.Counts) {
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

// batches sorts the deltas by minute and route. Those of the current minute
// carry the present time, so that a fault is placed within the minute.
func batches(byMinute map[int64]map[string]RouteCounts, now time.Time) []Batch {
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

// rates estimates the traffic of each route, of both versions together.
func (h *history) rates(now time.Time) map[string]float64 {
	short := h.ratesOver(now, rateWindow)
	if short.requests >= rateFew {
		return short.rates
	}
	return h.ratesOver(now, horizon).rates
}

type estimate struct {
	requests uint64
	rates    map[string]float64
}

func (h *history) ratesOver(now time.Time, minutes int64) estimate {
	first := minuteOf(now) - minutes + 1
	counts := map[string]uint64{}
	earliest := minuteOf(now)
	e := estimate{rates: map[string]float64{}}
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
