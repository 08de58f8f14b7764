package rollout

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
)

const (
	// A batch is compared with this many minutes of the old version's traffic.
	// The long window is used when the short one has too few requests.
	shortWindowMinutes = 5
	longWindowMinutes  = 30
	// minShortWindowRequests is the least number of requests of the old version
	// with which the short window is used.
	minShortWindowRequests = 100
	// minBaselineRequests is the least number of requests from which a rate is
	// estimated.
	minBaselineRequests = 30

	// failureMargin is how much higher the failure rate of a good version may
	// be than the old version's.
	failureMargin = 0.02
	// absoluteFailureBound is the permitted failure rate when the old version
	// has too little traffic for a comparison.
	absoluteFailureBound = 0.05
	// slowFraction sets the latency threshold: at most this fraction of the old
	// version's requests is above it.
	slowFraction = 0.10
	// slowMargin is how much higher the fraction of slow requests of a good
	// version may be than slowFraction.
	slowMargin = 0.05
	// noiseStandardErrors is the number of standard errors that are added to the
	// null bound, so that sampling noise in the old version's figures raises no
	// alarm.
	noiseStandardErrors = 2
)

// nullHypothesis states that the target has at most the permitted rate of one
// kind of fault.
type nullHypothesis struct {
	p0                float64 // highest permitted probability that a request shows the fault
	highestFastBucket int     // a request is slow if its latency bucket is above this one; unused for failures
}

// baseline holds the old version's counts of the last minutes on one route.
type baseline struct {
	minutes [longWindowMinutes]evidence.Counts
	last    int64 // Unix minute of the latest counts
	// lastUsable is the last window with enough requests. It is used once the
	// old version has no traffic because the new version has all of it.
	lastUsable evidence.Counts
}

// add adds a batch of the old version.
func (b *baseline) add(at time.Time, c evidence.Counts) {
	b.advance(at.Unix() / 60)
	addCounts(&b.minutes[ringIndex(b.last)], c)
}

// advance clears the minutes that have passed without traffic.
func (b *baseline) advance(minute int64) {
	if minute <= b.last {
		return
	}
	for m := max(b.last+1, minute-longWindowMinutes+1); m <= minute; m++ {
		b.minutes[ringIndex(m)] = evidence.Counts{}
	}
	b.last = minute
}

// ringIndex returns the position of a minute in the ring baseline.minutes.
func ringIndex(minute int64) int64 { return minute % longWindowMinutes }

// window returns the counts to compare with, and false if there are too few.
func (b *baseline) window() (evidence.Counts, bool) {
	for _, length := range []int64{shortWindowMinutes, longWindowMinutes} {
		sum := b.sum(length)
		fewest := uint64(minShortWindowRequests)
		if length == longWindowMinutes {
			fewest = minBaselineRequests
		}
		if sum.Requests >= fewest {
			b.lastUsable = sum
			return sum, true
		}
	}
	return b.lastUsable, b.lastUsable.Requests > 0
}

// sum returns the counts of the last length minutes.
func (b *baseline) sum(length int64) evidence.Counts {
	var sum evidence.Counts
	for m := max(0, b.last-length+1); m <= b.last; m++ {
		addCounts(&sum, b.minutes[ringIndex(m)])
	}
	return sum
}

// failureHypothesis returns the null hypothesis on failures. ok is false if the
// old version has no usable counts.
func failureHypothesis(old evidence.Counts, ok bool) nullHypothesis {
	if !ok {
		return nullHypothesis{p0: absoluteFailureBound}
	}
	n := float64(old.Requests)
	rate := float64(old.Failures) / n
	smoothed := (float64(old.Failures) + 1) / (n + 2)
	return nullHypothesis{p0: min(0.9, rate+failureMargin+noiseStandardErrors*standardError(smoothed, n))}
}

// slowHypothesis returns the null hypothesis on slow requests, and false if the
// old version has too few requests with a measured latency.
func slowHypothesis(old [evidence.Buckets]uint64) (nullHypothesis, bool) {
	total := sumBuckets(old, -1)
	if total < minBaselineRequests {
		return nullHypothesis{}, false
	}
	highestFastBucket := evidence.Buckets - 1
	for highestFastBucket > 0 && float64(sumBuckets(old, highestFastBucket-1)) <= slowFraction*float64(total) {
		highestFastBucket--
	}
	noise := noiseStandardErrors * standardError(slowFraction, float64(total))
	return nullHypothesis{p0: slowFraction + max(slowMargin, noise), highestFastBucket: highestFastBucket}, true
}

// standardError returns the standard error of a rate p estimated from n requests.
func standardError(p, n float64) float64 {
	return math.Sqrt(p * (1 - p) / n)
}

// sumBuckets counts the observations in buckets above the given one.
func sumBuckets(buckets [evidence.Buckets]uint64, above int) uint64 {
	var sum uint64
	for _, n := range buckets[above+1:] {
		sum += n
	}
	return sum
}

func addCounts(sum *evidence.Counts, c evidence.Counts) {
	sum.Requests += c.Requests
	sum.Failures += c.Failures
	for i := range evidence.Buckets {
		sum.FirstWait[i] += c.FirstWait[i]
		sum.Pace[i] += c.Pace[i]
	}
}

// subtractCounts returns c minus the earlier counts.
func subtractCounts(c, earlier evidence.Counts) evidence.Counts {
	c.Requests = saturatingSub(c.Requests, earlier.Requests)
	c.Failures = saturatingSub(c.Failures, earlier.Failures)
	for i := range evidence.Buckets {
		c.FirstWait[i] = saturatingSub(c.FirstWait[i], earlier.FirstWait[i])
		c.Pace[i] = saturatingSub(c.Pace[i], earlier.Pace[i])
	}
	return c
}

// saturatingSub returns a-b, and 0 if b is greater.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
