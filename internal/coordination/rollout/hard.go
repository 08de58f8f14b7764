package rollout

import "math"

const (
	// hardRun failures in a row are hard evidence.
	hardRun = 3
	// hardWindow is the number of last results of which half must fail.
	hardWindow = 10
	// hardOldBound is the old version's failure rate from which failures of
	// the new one prove nothing.
	hardOldBound = 0.05
	// maxDoublings bounds the growth of both lengths; 4 windows fit in Results.
	maxDoublings = 2
)

// Results holds the last 64 results of a version on one route, the newest in
// bit 0; a set bit is a failure.
type Results struct {
	bits  uint64
	count int
}

// Add appends a result.
func (r *Results) Add(failed bool) {
	r.bits <<= 1
	if failed {
		r.bits |= 1
	}
	r.count = min(r.count+1, 64)
}

// failuresOfLast counts the failures of the last n results.
func (r *Results) failuresOfLast(n int) int {
	failures := 0
	for i := range min(n, r.count) {
		failures += int(r.bits >> i & 1)
	}
	return failures
}

// Rate is the failure rate of the old version over its recent results.
type Rate struct {
	Requests, Failures float64
}

// Add counts a result. Old results lose half of their weight with every 200.
func (r *Rate) Add(failed bool) {
	if r.Requests >= 200 {
		r.Requests /= 2
		r.Failures /= 2
	}
	r.Requests++
	if failed {
		r.Failures++
	}
}

// Hard reports hard evidence against the target: a run of failures or half of
// the last results, while the old version fails rarely. Both lengths double
// with each lifted stop of the move: with hundreds of instances, three
// failures in a row happen by chance at a failure rate of 2%, and pooled
// evidence has just shown that the last ones were such.
func Hard(r Results, old Rate, lifts int) bool {
	if old.Requests > 0 && old.Failures/old.Requests >= hardOldBound {
		return false
	}
	factor := 1 << min(lifts, maxDoublings)
	run, window := hardRun*factor, hardWindow*factor
	if r.count >= run && r.failuresOfLast(run) == run {
		return true
	}
	return r.count >= window/2 && r.failuresOfLast(window) >= window/2
}

// logRatio returns log(a)/log(b).
func logRatio(a, b float64) float64 {
	return math.Log(a) / math.Log(b)
}
