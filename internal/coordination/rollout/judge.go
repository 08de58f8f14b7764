package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
)

// falseAlarmRate is the chance that a move of a version that is not worse is
// taken back. It is split evenly over routes and kinds.
const falseAlarmRate = 0.01

// Kind is a kind of fault that the judge looks for.
type Kind string

// Kinds of faults.
const (
	KindFailures  Kind = "failures"
	KindFirstWait Kind = "slow first token"
	KindPace      Kind = "slow pace"
)

var kinds = [...]Kind{KindFailures, KindFirstWait, KindPace}

// otherRoutes collects the routes that were not declared.
const otherRoutes = "other"

// RouteCounts are the counts of one route in one batch.
type RouteCounts struct {
	Route string
	Old   evidence.Counts
	New   evidence.Counts
}

// Batch is the evidence of one short period, of all instances together.
// Failures that a suspect request explains are left out by whoever counts.
type Batch struct {
	At     time.Time
	Routes []RouteCounts
}

// Verdict says that the target is worse than the previous version.
type Verdict struct {
	Route  string
	Kind   Kind
	EValue float64
	Since  time.Time // estimated start of the fault
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return fmt.Sprintf("%s on route %q: e-value %.3g", v.Kind, v.Route, v.EValue)
}

// routeJudge tests one route.
type routeJudge struct {
	old   baseline
	tests [len(kinds)]eProcess
}

// tally counts one kind over all routes.
type tally struct{ n, k uint64 }

// Judge compares the target with the previous version over the same minutes.
// It has no clock and does no I/O; it is not safe for concurrent use.
type Judge struct {
	routes  map[string]*routeJudge
	bound   float64
	verdict *Verdict
	tallies [len(kinds)]tally
	sent    []sentAt
}

// sentAt remembers the target's requests of one batch.
type sentAt struct {
	at       time.Time
	requests uint64
}

// maxSent bounds the batches that are remembered to count requests after a
// fault; one batch comes each second or two.
const maxSent = 2000

// NewJudge returns a judge over the declared routes. Undeclared routes are
// judged together as one.
func NewJudge(routes []string) *Judge {
	j := &Judge{routes: map[string]*routeJudge{otherRoutes: {}}}
	for _, r := range routes {
		j.routes[r] = &routeJudge{}
	}
	j.bound = float64(len(j.routes)*len(kinds)) / falseAlarmRate
	return j
}

// Observe takes one batch into account. Batches come in the order of time.
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
	j.remember(sentAt{at: b.At, requests: requests})
}

// ShareChanged notes that the next batch is the first at a new share.
func (j *Judge) ShareChanged() {
	for _, r := range j.routes {
		for i := range r.tests {
			r.tests[i].shareChanged()
		}
	}
}

func (j *Judge) observeRoute(name string, at time.Time, rc RouteCounts) {
	r := j.routes[name]
	r.old.add(at, rc.Old)
	window, ok := r.old.window()
	j.test(name, r, 0, at, rc.New.Requests, rc.New.Failures, failureNull(window, ok).p0)
	if h, ok := slowNull(window.FirstWait); ok {
		j.test(name, r, 1, at, sumBuckets(rc.New.FirstWait, -1), sumBuckets(rc.New.FirstWait, h.above), h.p0)
	}
	if h, ok := slowNull(window.Pace); ok {
		j.test(name, r, 2, at, sumBuckets(rc.New.Pace, -1), sumBuckets(rc.New.Pace, h.above), h.p0)
	}
}

// test updates one test and latches the first verdict. A failure that is
// reported before its request is counted must not exceed the requests.
func (j *Judge) test(name string, r *routeJudge, kind int, at time.Time, n, k uint64, p0 float64) {
	k = min(k, n)
	j.tallies[kind].n += n
	j.tallies[kind].k += k
	e := &r.tests[kind]
	e.observe(n, k, p0, at)
	if v := e.value(); v >= j.bound && j.verdict == nil {
		j.verdict = &Verdict{Route: name, Kind: kinds[kind], EValue: v, Since: e.since}
	}
}

func (j *Judge) remember(s sentAt) {
	if s.requests == 0 {
		return
	}
	if len(j.sent) == maxSent {
		j.sent = slices.Delete(j.sent, 0, maxSent/2)
	}
	j.sent = append(j.sent, s)
}

// Verdict returns the verdict, once there is one.
func (j *Judge) Verdict() (Verdict, bool) {
	if j.verdict == nil {
		return Verdict{}, false
	}
	return *j.verdict, true
}

// Suspicion returns the highest e-value of any test as a part of the bound on
// the logarithmic scale: 0 means no evidence against the target, 1 a verdict.
func (j *Judge) Suspicion() float64 {
	return min(1, logRatio(max(1, j.leading().value()), j.bound))
}

// FaultSince estimates the start of the fault from the test with the highest
// e-value; zero means that there is no evidence against the target.
func (j *Judge) FaultSince() time.Time {
	if j.Suspicion() == 0 {
		return time.Time{}
	}
	return j.leading().since
}

// leading returns the test with the highest e-value.
func (j *Judge) leading() *eProcess {
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

// SentSince counts the target's requests in batches from the time on.
func (j *Judge) SentSince(at time.Time) uint64 {
	var sum uint64
	for _, s := range j.sent {
		if !s.at.Before(at) {
			sum += s.requests
		}
	}
	return sum
}

// Figures returns the counts over all batches.
func (j *Judge) Figures() Figures {
	return Figures{
		Requests:       j.tallies[0].n,
		Failures:       j.tallies[0].k,
		SlowFirstToken: j.tallies[1].fraction(),
		SlowPace:       j.tallies[2].fraction(),
	}
}

func (t tally) fraction() float64 {
	if t.n == 0 {
		return 0
	}
	return float64(t.k) / float64(t.n)
}
