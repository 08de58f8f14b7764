package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
)

// falseAlarmRate bounds the probability that a move to a version that is not
// worse is taken back. It is split evenly over routes and kinds of faults.
const falseAlarmRate = 0.01

// FaultKind is a kind of fault that the judge tests for.
type FaultKind string

// Kinds of faults.
const (
	KindFailures       FaultKind = "failures"
	KindSlowFirstToken FaultKind = "slow first token"
	KindSlowPace       FaultKind = "slow pace"
)

var kinds = [...]FaultKind{KindFailures, KindSlowFirstToken, KindSlowPace}

// otherRoutes names the entry that undeclared routes share.
const otherRoutes = "other"

// RouteCounts are the counts of one route in one batch.
type RouteCounts struct {
	Route string
	Old   evidence.Counts
	New   evidence.Counts
}

// Batch is the evidence of one short period, summed over all instances. Its
// producer leaves out failures that are attributed to a suspect request.
type Batch struct {
	At     time.Time
	Routes []RouteCounts
}

// Verdict is the result of a test that found the target worse than the previous
// version.
type Verdict struct {
	Route  string
	Kind   FaultKind
	EValue float64
	Since  time.Time // estimated start of the fault
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return fmt.Sprintf("%s on route %q: e-value %.3g", v.Kind, v.Route, v.EValue)
}

// routeTests holds the baseline of one route and a test for each kind of fault.
type routeTests struct {
	old   baseline
	tests [len(kinds)]eProcess
}

// tally counts the observations and faults of one kind over all routes.
type tally struct{ observations, faults uint64 }

// Judge compares the target with the previous version over the same minutes, and
// gives a verdict if the target is worse. It has no clock, does no I/O and is not
// safe for concurrent use.
type Judge struct {
	routes      map[string]*routeTests
	eValueBound float64
	verdict     *Verdict
	tallies     [len(kinds)]tally
	sentBatches []batchRequests
}

// batchRequests is the number of the target's requests in one batch.
type batchRequests struct {
	at       time.Time
	requests uint64
}

// maxKeptBatches bounds the batches kept for RequestsSince. One batch arrives every
// one or two seconds.
const maxKeptBatches = 2000

// NewJudge returns a judge for the declared routes. All undeclared routes are
// tested together as one route.
func NewJudge(routes []string) *Judge {
	j := &Judge{routes: map[string]*routeTests{otherRoutes: {}}}
	for _, r := range routes {
		j.routes[r] = &routeTests{}
	}
	j.eValueBound = float64(len(j.routes)*len(kinds)) / falseAlarmRate
	return j
}

// Observe adds one batch. Batches must be passed in chronological order.
func (j *Judge) Observe(b Batch) {
	merged := map[string]RouteCounts{}
	for _, rc := range b.Routes {
		name := rc.Route
		if _, declared := j.routes[name]; !declared {
			name = otherRoutes
		}
		sum := merged[name]
		addCounts(&sum.Old, rc.Old)
		addCounts(&sum.New, rc.New)
		merged[name] = sum
	}
	var requests uint64
	for name, rc := range merged {
		j.observeRoute(name, b.At, rc)
		requests += rc.New.Requests
	}
	j.recordSent(batchRequests{at: b.At, requests: requests})
}

// ShareChanged records that the next batch is the first one at a new share.
func (j *Judge) ShareChanged() {
	for _, r := range j.routes {
		for i := range r.tests {
			r.tests[i].shareChanged()
		}
	}
}

// observeRoute updates the baseline of a route and its tests. The test numbers
// are positions in kinds.
func (j *Judge) observeRoute(name string, at time.Time, rc RouteCounts) {
	r := j.routes[name]
	r.old.add(at, rc.Old)
	window, ok := r.old.window()
	j.test(name, r, 0, at, rc.New.Requests, rc.New.Failures, failureHypothesis(window, ok).p0)
	if h, ok := slowHypothesis(window.FirstWait); ok {
		j.test(name, r, 1, at, sumBuckets(rc.New.FirstWait, -1), sumBuckets(rc.New.FirstWait, h.highestFastBucket), h.p0)
	}
	if h, ok := slowHypothesis(window.Pace); ok {
		j.test(name, r, 2, at, sumBuckets(rc.New.Pace, -1), sumBuckets(rc.New.Pace, h.highestFastBucket), h.p0)
	}
}

// test updates one test and keeps the first verdict. The number of faults k is
// limited to the number of observations n, because a failure may be reported
// before its request is counted.
func (j *Judge) test(name string, r *routeTests, kind int, at time.Time, n, k uint64, p0 float64) {
	k = min(k, n)
	j.tallies[kind].observations += n
	j.tallies[kind].faults += k
	e := &r.tests[kind]
	e.observe(n, k, p0, at)
	if v := e.value(); v >= j.eValueBound && j.verdict == nil {
		j.verdict = &Verdict{Route: name, Kind: kinds[kind], EValue: v, Since: e.growingSince}
	}
}

// recordSent keeps the number of requests of a batch for RequestsSince.
func (j *Judge) recordSent(s batchRequests) {
	if s.requests == 0 {
		return
	}
	if len(j.sentBatches) == maxKeptBatches {
		j.sentBatches = slices.Delete(j.sentBatches, 0, maxKeptBatches/2)
	}
	j.sentBatches = append(j.sentBatches, s)
}

// Verdict returns the first verdict, and false as long as there is none.
func (j *Judge) Verdict() (Verdict, bool) {
	if j.verdict == nil {
		return Verdict{}, false
	}
	return *j.verdict, true
}

// Suspicion returns log(highest e-value of any test) / log(bound for a verdict),
// limited to 0 to 1: 0 means no evidence against the target, 1 a verdict.
func (j *Judge) Suspicion() float64 {
	return min(1, logRatio(max(1, j.highestTest().value()), j.eValueBound))
}

// FaultSince returns the start of the fault, as estimated by the test with the
// highest e-value. It is zero if there is no evidence against the target.
func (j *Judge) FaultSince() time.Time {
	if j.Suspicion() == 0 {
		return time.Time{}
	}
	return j.highestTest().growingSince
}

// highestTest returns the test with the highest e-value.
func (j *Judge) highestTest() *eProcess {
	var highest *eProcess
	for _, r := range j.routes {
		for i := range r.tests {
			if highest == nil || r.tests[i].value() > highest.value() {
				highest = &r.tests[i]
			}
		}
	}
	return highest
}

// RequestsSince returns the number of the target's requests in the batches from the
// given time on.
func (j *Judge) RequestsSince(at time.Time) uint64 {
	var sum uint64
	for _, s := range j.sentBatches {
		if !s.at.Before(at) {
			sum += s.requests
		}
	}
	return sum
}

// Figures returns the counts over all batches and routes.
func (j *Judge) Figures() Figures {
	return Figures{
		Requests:       j.tallies[0].observations,
		Failures:       j.tallies[0].faults,
		SlowFirstToken: j.tallies[1].fraction(),
		SlowPace:       j.tallies[2].fraction(),
	}
}

func (t tally) fraction() float64 {
	if t.observations == 0 {
		return 0
	}
	return float64(t.faults) / float64(t.observations)
}
