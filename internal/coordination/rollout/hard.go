package rollout

import "math"

const (
	// hardRunLength failures in a row are hard evidence.
	hardRunLength = 3
	// hardWindowLength is the number of latest results of which half must be
	// failures.
	hardWindowLength = 10
	// maxOldFailureRate is the failure rate of the old version from which on
	// failures of the new version are no evidence.
	maxOldFailureRate = 0.05
	// maxDoublings bounds the growth of both lengths: a window of 40 results
	// must fit into the 64 bits of Results.
	maxDoublings = 2
)

// ResultWindow holds the last 64 results of a version on one route, the newest in
// bit 0; a set bit is a failure.
type ResultWindow struct {
	bits  uint64
	count int
}

// Add appends a result.
func (r *ResultWindow) Add(failed bool) {
	r.bits <<= 1
	if failed {
		r.bits |= 1
	}
	r.count = min(r.count+1, 64)
}

// failuresOfLast counts the failures of the last n results.
func (r *ResultWindow) failuresOfLast(n int) int {
	failures := 0
	for i := range min(n, r.count) {
		failures += int(r.bits >> i & 1)
	}
	return failures
}

// FailureRate is the failure rate of the old version over its recent results.
type FailureRate struct {
	Requests, Failures float64
}

// Add counts a result. When 200 requests are reached, the weight of all earlier
// ones is halved.
func (r *FailureRate) Add(failed bool) {
	if r.Requests >= 200 {
		r.Requests /= 2
		r.Failures /= 2
	}
	r.Requests++
	if failed {
		r.Failures++
	}
}

// HardEvidence reports whether one instance has hard evidence against the target: a run
// of failures, or failures in half of the latest results, while the old version
// rarely fails. Both lengths double with each lifted stop of the move, up to
// maxDoublings times: with hundreds of instances, three failures in a row happen
// by chance at a failure rate of 2%, and a lifted stop means that the pooled
// evidence did not confirm such a run.
func HardEvidence(r ResultWindow, old FailureRate, lifts int) bool {
	if old.Requests > 0 && old.Failures/old.Requests >= maxOldFailureRate {
		return false
	}
	factor := 1 << min(lifts, maxDoublings)
	run, window := hardRunLength*factor, hardWindowLength*factor
	if r.count >= run && r.failuresOfLast(run) == run {
		return true
	}
	return r.count >= window/2 && r.failuresOfLast(window) >= window/2
}

// logRatio returns log(a)/log(b).
func logRatio(a, b float64) float64 {
	return math.Log(a) / math.Log(b)
}
