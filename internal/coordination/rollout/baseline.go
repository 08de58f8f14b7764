package rollout

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
)

const (
	// shortWindow and longWindow are the minutes of the old version's traffic
	// that a batch is compared with. The long one serves small traffic.
	shortWindow = 5
	longWindow  = 30
	// enoughOld requests of the old version make the short window suffice.
	enoughOld = 100
	// fewestOld requests are the least from which a rate is estimated.
	fewestOld = 30

	// failureMargin is how many more failures a good version may have.
	failureMargin = 0.02
	// absoluteFailureBound applies when the old version has too little traffic
	// for a comparison.
	absoluteFailureBound = 0.05
	// slowFraction of the old version's requests define slow.
	slowFraction = 0.10
	// slowMargin is how many more slow requests a good version may have.
	slowMargin = 0.05
	// deviations of the estimate are added to its null bound, so that the
	// noise of the old version's figures raises no alarm.
	deviations = 2
)

// null is a null hypothesis about one kind of fault.
type null struct {
	p0    float64
	above int // slow means a latency bucket above this one
}

// baseline holds the old version's counts of the last minutes on one route.
type baseline struct {
	minutes [longWindow]evidence.Counts
	last    int64 // Unix minute of the latest counts
	// frozen is the last usable window. It serves once the old version has
	// no traffic because the new one has all.
	frozen evidence.Counts
}

// add counts a batch of the old version.
func (b *baseline) add(at time.Time, c evidence.Counts) {
	b.advance(at.Unix() / 60)
	addCounts(&b.minutes[index(b.last)], c)
}

// advance clears the minutes that have passed without traffic.
func (b *baseline) advance(minute int64) {
	if minute <= b.last {
		return
	}
	for m := max(b.last+1, minute-longWindow+1); m <= minute; m++ {
		b.minutes[index(m)] = evidence.Counts{}
	}
	b.last = minute
}

func index(minute int64) int64 { return minute % longWindow }

// window returns the counts to compare with, and false if there are too few.
func (b *baseline) window() (evidence.Counts, bool) {
	for _, length := range []int64{shortWindow, longWindow} {
		sum := b.sum(length)
		fewest := uint64(enoughOld)
		if length == longWindow {
			fewest = fewestOld
		}
		if sum.Requests >= fewest {
			b.frozen = sum
			return sum, true
		}
	}
	return b.frozen, b.frozen.Requests > 0
}

func (b *baseline) sum(length int64) evidence.Counts {
	var sum evidence.Counts
	for m := max(0, b.last-length+1); m <= b.last; m++ {
		addCounts(&sum, b.minutes[index(m)])
	}
	return sum
}

// failureNull returns the null hypothesis on failures.
func failureNull(old evidence.Counts, ok bool) null {
	if !ok {
		return null{p0: absoluteFailureBound}
	}
	n := float64(old.Requests)
	rate := float64(old.Failures) / n
	smoothed := (float64(old.Failures) + 1) / (n + 2)
	return null{p0: min(0.9, rate+failureMargin+deviations*deviation(smoothed, n))}
}

// slowNull returns the null hypothesis on slow requests, and false if the old
// version has too few measured requests.
func slowNull(old [evidence.Buckets]uint64) (null, bool) {
	total := sumBuckets(old, -1)
	if total < fewestOld {
		return null{}, false
	}
	above := evidence.Buckets - 1
	for above > 0 && float64(sumBuckets(old, above-1)) <= slowFraction*float64(total) {
		above--
	}
	noise := deviations * deviation(slowFraction, float64(total))
	return null{p0: slowFraction + max(slowMargin, noise), above: above}, true
}

func deviation(p, n float64) float64 {
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

// addCounts adds c to sum.
func addCounts(sum *evidence.Counts, c evidence.Counts) {
	sum.Requests += c.Requests
	sum.Failures += c.Failures
	for i := range evidence.Buckets {
		sum.FirstWait[i] += c.FirstWait[i]
		sum.Pace[i] += c.Pace[i]
	}
}

// since returns what c counts beyond the earlier counts.
func since(c, earlier evidence.Counts) evidence.Counts {
	c.Requests = beyond(c.Requests, earlier.Requests)
	c.Failures = beyond(c.Failures, earlier.Failures)
	for i := range evidence.Buckets {
		c.FirstWait[i] = beyond(c.FirstWait[i], earlier.FirstWait[i])
		c.Pace[i] = beyond(c.Pace[i], earlier.Pace[i])
	}
	return c
}

func beyond(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
