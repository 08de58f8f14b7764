package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// affinityFactor and affinitySlack bound the requests that cached prefixes draw to
	// one upstream: above mean*factor+slack requests in flight an upstream gets no
	// credit for its cache.
	affinityFactor = 1.25
	affinitySlack  = 2
	// randomSampleSize and cachedSampleSize are the numbers of candidates that are
	// compared. With 3 and 1 the 95th percentile of the time to the first
	// token near capacity rose from 123 to 189 ms.
	randomSampleSize = 2
	cachedSampleSize = 2
)

// Policy chooses one of the candidates. It returns -1 if there is none.
type Policy func(candidates []Candidate, w Work, rng *rand.Rand) int

// EarliestFinish chooses the candidate with the earliest estimated finish from a
// small random sample. If no candidate of the sample has the longest cached prefix, a
// few random candidates that have it are compared too. Comparing all candidates is
// worse: all instances read the same old reports, so they would all send to the same
// upstream until the next report.
func EarliestFinish(candidates []Candidate, w Work, rng *rand.Rand) int {
	limit := affinityLimit(candidates)
	best, bestFinish := -1, time.Duration(0)
	for _, i := range sampleCandidates(candidates, limit, rng) {
		c := candidates[i]
		c.CachedBytes = c.creditedBytes(limit)
		if finish := EstimateFinish(c, w).Finish; best < 0 || finish < bestFinish {
			best, bestFinish = i, finish
		}
	}
	return best
}

// sampleCandidates returns the indices of the candidates to compare.
func sampleCandidates(candidates []Candidate, limit float64, rng *rand.Rand) []int {
	all := make([]int, len(candidates))
	longest := 0
	for i := range candidates {
		all[i] = i
		longest = max(longest, candidates[i].creditedBytes(limit))
	}
	chosen := chooseRandom(all, randomSampleSize, rng)
	hasLongest := func(i int) bool { return candidates[i].creditedBytes(limit) == longest }
	if slices.ContainsFunc(chosen, hasLongest) {
		return chosen
	}
	cached := slices.DeleteFunc(all, func(i int) bool { return !hasLongest(i) })
	return append(chosen, chooseRandom(cached, cachedSampleSize, rng)...)
}

// creditedBytes returns the length of the cached prefix for which the candidate gets
// credit: none above limit requests in flight.
func (c *Candidate) creditedBytes(limit float64) int {
	if float64(c.Load.InFlight) > limit {
		return 0
	}
	return c.CachedBytes
}

// chooseRandom returns n different random items, or all items if there are fewer. It
// reorders items.
func chooseRandom(items []int, n int, rng *rand.Rand) []int {
	n = min(n, len(items))
	for i := range n {
		j := i + rng.IntN(len(items)-i)
		items[i], items[j] = items[j], items[i]
	}
	return slices.Clone(items[:n])
}

// affinityLimit is the number of requests in flight above which a candidate
// gets no credit for its cache.
func affinityLimit(candidates []Candidate) float64 {
	total := 0
	for i := range candidates {
		total += candidates[i].Load.InFlight
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
	if totalRequests(candidates[b].Load) < totalRequests(candidates[a].Load) {
		return b
	}
	return a
}

// totalRequests returns the requests that run or wait at the upstream, including
// those sent since its last report.
func totalRequests(l upstream.Load) int { return l.Running + l.Waiting + l.Sent }
