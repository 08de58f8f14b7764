package rollout

import (
	"slices"
	"time"
)

// Steps are the shares that a move goes through.
var Steps = []float64{0.01, 0.05, 0.10, 0.25, 0.50, 1}

const (
	// busiestRouteRequests is the number of requests at the present share that
	// the busiest route needs before a raise: 20 requests without a failure rule
	// out a failure rate of 20% with 99% confidence.
	busiestRouteRequests = 20
	// minRouteRequests is the least number of requests that any route with
	// traffic needs. It equals hardRunLength, so that a version that always
	// fails on the route shows hard evidence.
	minRouteRequests = 3
	// minDwell is the least time at one share. Gossip delivers the evidence of
	// all instances within it.
	minDwell = 10 * time.Second
	// The usual time at a step is the time from the start to finish_by divided
	// by dwellDivisor. Twice the number of steps uses half of the time, so that an
	// outage of the table service does not make the move late at once.
	dwellDivisor = 12
	// noiseFactor is the margin for random variation of the time in which the
	// required requests arrive.
	noiseFactor = 1.25
	// firstShareSlack is the factor on the expected time when the first share is
	// chosen. Without it, 8% of good moves with 0.3 requests/s were late.
	firstShareSlack = 1.6
	// maxShareAfterSkip is the highest share that may be reached by skipping
	// steps. Steps are skipped only when traffic is too small to collect evidence
	// at each of them.
	maxShareAfterSkip = 0.25
	// Traffic is measured for the time from the start to finish_by divided by
	// estimateDivisor, and for maxEstimateWait at most, before a first exposure
	// above the lowest step. An estimate from the first second was ten times too
	// low and raised a bad version to 5% at once.
	estimateDivisor = 20
	maxEstimateWait = time.Minute
)

// RouteEvidence is the planner's input for one route.
type RouteEvidence struct {
	Route          string
	TargetRequests uint64  // target's requests at the present share
	Rate           float64 // requests/s of both versions
}

// PlanInput holds all inputs of Plan.
type PlanInput struct {
	Now        time.Time
	Started    time.Time
	FinishBy   time.Time
	Share      float64
	ShareSince time.Time
	Raises     int
	Routes     []RouteEvidence
}

// PlanResult is the result of Plan.
type PlanResult struct {
	Share  float64 // the share from now on; equal to the input's if unchanged
	Late   bool
	Finish bool // the move ends as finished
	// FirstExposure means that the share is a first exposure, chosen without evidence,
	// since a version without traffic cannot have any.
	FirstExposure bool
}

// Plan decides the next share. Except for a first exposure, the share is raised
// when the next step is due and each route with traffic has the required requests
// at the present share.
func Plan(in PlanInput) PlanResult {
	keep := PlanResult{Share: in.Share}
	if in.Share >= 1 {
		return planFullShare(in)
	}
	if !in.Now.Before(in.FinishBy) {
		keep.Late = true
		return keep
	}
	if in.Raises == 0 && in.Share <= maxShareAfterSkip {
		if first, ok := planFirstShare(in); ok {
			return first
		}
	}
	next, feasible := nextStep(in)
	keep.Late = !feasible
	if in.Share == 0 || !feasible || !evidenceSuffices(in) || in.Now.Before(nextStepDue(in, next)) {
		return keep
	}
	return PlanResult{Share: next}
}

// planFullShare decides at the full share: the move finishes when the evidence
// suffices.
func planFullShare(in PlanInput) PlanResult {
	if evidenceSuffices(in) && !in.Now.Before(nextStepDue(in, 1)) {
		return PlanResult{Share: 1, Finish: true}
	}
	return PlanResult{Share: 1, Late: in.Now.Add(timeToEvidence(in)).After(in.FinishBy)}
}

// planFirstShare chooses the first exposure: the lowest step at first, and once
// the traffic is known the lowest share from which the move can finish in time.
// The choice is repeated until the first raise on evidence. The second result is
// false if the share is not changed here and further raises depend on evidence.
func planFirstShare(in PlanInput) (PlanResult, bool) {
	if in.Share == 0 {
		return PlanResult{Share: Steps[0], FirstExposure: true}, true
	}
	if !trafficKnown(in) || highestRate(in.Routes) == 0 {
		return PlanResult{Share: in.Share}, !evidenceSuffices(in)
	}
	window, left := in.FinishBy.Sub(in.Started), in.FinishBy.Sub(in.Now)
	for _, slack := range []float64{firstShareSlack, 1} {
		if fitsInTime(in, in.Share, slack, window) {
			return PlanResult{}, false // time lost since the start is no reason for a higher first share
		}
		for _, s := range Steps {
			if s > in.Share && s <= maxShareAfterSkip && fitsInTime(in, s, slack, left) {
				return PlanResult{Share: s, FirstExposure: true}, true
			}
		}
	}
	return PlanResult{}, false
}

// fitsInTime reports whether the steps from share on, with the factor slack on
// their time, fit into the available time.
func fitsInTime(in PlanInput, share, slack float64, available time.Duration) bool {
	total := stepDuration(in.Routes, share) + timeForStepsAbove(in, share)
	return time.Duration(slack*float64(total)) <= available
}

// trafficKnown reports whether traffic was measured for long enough.
func trafficKnown(in PlanInput) bool {
	wait := min(in.FinishBy.Sub(in.Started)/estimateDivisor, maxEstimateWait)
	return !in.Now.Before(in.Started.Add(wait))
}

// nextStep returns the lowest share above the present one from which the move can
// finish in time. If there is none, it returns the next step and false.
func nextStep(in PlanInput) (float64, bool) {
	start := in.Now.Add(timeToEvidence(in))
	next := 0.0
	for _, s := range Steps {
		if s <= in.Share || (next > 0 && s > maxShareAfterSkip) {
			continue
		}
		if next == 0 {
			next = s
		}
		if !start.Add(stepDuration(in.Routes, s) + timeForStepsAbove(in, s)).After(in.FinishBy) {
			return s, true
		}
	}
	return next, false
}

// timeForStepsAbove returns the time for the steps above share, without those that
// will be skipped because small traffic makes them too slow.
func timeForStepsAbove(in PlanInput, share float64) time.Duration {
	var total time.Duration
	left := in.FinishBy.Sub(in.Now)
	for _, s := range Steps {
		d := stepDuration(in.Routes, s)
		if s <= share || s <= maxShareAfterSkip && d > left/dwellDivisor {
			continue
		}
		total += d
	}
	return total
}

// nextStepDue returns the planned start of the next step: after the usual time at
// a step, or at the latest start that meets finish_by if that is earlier, but not
// before minDwell.
func nextStepDue(in PlanInput, next float64) time.Time {
	due := in.ShareSince.Add(in.FinishBy.Sub(in.Started) / dwellDivisor)
	latest := in.FinishBy
	if next > in.Share {
		latest = in.FinishBy.Add(-stepDuration(in.Routes, next) - timeForStepsAbove(in, next))
	}
	if latest.Before(due) {
		due = latest
	}
	if earliest := in.ShareSince.Add(minDwell); due.Before(earliest) {
		return earliest
	}
	return due
}

// evidenceSuffices reports whether each route with traffic has the required
// requests, and at least one route has traffic.
func evidenceSuffices(in PlanInput) bool {
	top := highestRate(in.Routes)
	if top == 0 {
		return false
	}
	for _, r := range in.Routes {
		if r.Rate > 0 && float64(r.TargetRequests) < requiredRequests(r.Rate, top) {
			return false
		}
	}
	return true
}

// requiredRequests returns the number of requests that a route needs before a
// raise, in proportion to its rate. top is the rate of the busiest route.
func requiredRequests(rate, top float64) float64 {
	return max(minRouteRequests, busiestRouteRequests*rate/top)
}

// highestRate returns the rate of the busiest route, and 0 without routes.
func highestRate(routes []RouteEvidence) float64 {
	if len(routes) == 0 {
		return 0
	}
	return slices.MaxFunc(routes, func(a, b RouteEvidence) int {
		if a.Rate < b.Rate {
			return -1
		}
		return 1
	}).Rate
}

// timeToEvidence estimates the time until the evidence at the present share
// suffices.
func timeToEvidence(in PlanInput) time.Duration {
	if in.Share == 0 {
		return 0
	}
	wait := max(0, in.ShareSince.Add(minDwell).Sub(in.Now))
	top := highestRate(in.Routes)
	for _, r := range in.Routes {
		if r.Rate > 0 {
			wait = max(wait, arrivalTime(requiredRequests(r.Rate, top)-float64(r.TargetRequests), r.Rate*in.Share))
		}
	}
	return wait
}

// stepDuration estimates the time that a step at the share needs.
func stepDuration(routes []RouteEvidence, share float64) time.Duration {
	d := minDwell
	top := highestRate(routes)
	for _, r := range routes {
		if r.Rate > 0 {
			d = max(d, arrivalTime(requiredRequests(r.Rate, top), r.Rate*share))
		}
	}
	return d
}

// arrivalTime returns the time in which n requests arrive at the rate in
// requests/s, with noiseFactor.
func arrivalTime(n, rate float64) time.Duration {
	const never = 1000 * time.Hour
	if n <= 0 {
		return 0
	}
	seconds := noiseFactor * n / rate
	if seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}
