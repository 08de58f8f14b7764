package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// affinityFactor and affinitySlack bound how far cached prefixes may pile
	// work on one upstream: beyond mean*factor+slack requests in flight it gets
	// no credit for its cache.
	affinityFactor = 1.25
	affinitySlack  = 2
)

// Policy chooses one of the candidates. It returns -1 if there is none.
type Policy func(candidates []Candidate, w Work, rng *rand.Rand) int

// EarliestFinish chooses the candidate with the least estimated finish. Ties
// are broken at random, so that instances with the same view do not all choose
// the same upstream.
func EarliestFinish(candidates []Candidate, w Work, rng *rand.Rand) int {
	limit := affinityLimit(candidates)
	best, bestFinish, ties := -1, time.Duration(0), 0
	for i, c := range candidates {
		if float64(c.Row.InFlight) > limit {
			c.CachedBytes = 0
		}
		finish := EstimateFinish(c, w).Finish
		switch {
		case best < 0 || finish < bestFinish:
			best, bestFinish, ties = i, finish, 1
		case finish == bestFinish:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// affinityLimit is the number of requests in flight above which a candidate
// gets no credit for its cache.
func affinityLimit(candidates []Candidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.Row.InFlight
	}
	mean := float64(total) / float64(max(len(candidates), 1))
	return mean*affinityFactor + affinitySlack
}

// LeastLoadedOfTwo chooses the less loaded of two random candidates. It is the
// baseline that EarliestFinish is measured against.
func LeastLoadedOfTwo(candidates []Candidate, _ Work, rng *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	a, b := rng.IntN(len(candidates)), rng.IntN(len(candidates))
	if load(candidates[b]) < load(candidates[a]) {
		return b
	}
	return a
}

func load(c Candidate) int {
	return c.Row.Report.Running + c.Row.Report.Waiting + c.Row.Sent
}
