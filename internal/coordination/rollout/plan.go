package rollout

import (
	"slices"
	"time"
)

// Steps are the shares of a move.
var Steps = []float64{0.01, 0.05, 0.10, 0.25, 0.50, 1}

const (
	// busyNeed is how many requests at the present share the busiest route
	// needs before a raise: without a failure among 20, a failure rate of 20%
	// is ruled out with 99% confidence.
	busyNeed = 20
	// quietNeed is the need of a route with little traffic. It is the length
	// of the failure run that is hard evidence.
	quietNeed = 3
	// minDwell at one share lets gossip bring the evidence of all instances.
	minDwell = 10 * time.Second
	// dwellParts divides the time from start to finish_by into the usual dwell
	// of a step. Twice the number of steps uses half of the time, so that an
	// outage of the table does not make the move late at once.
	dwellParts = 12
	// noiseFactor covers the variation of the time in which the needed
	// requests arrive.
	noiseFactor = 1.25
	// firstSlack is the factor on the expected time when the first share is
	// chosen. Without it 8% of good moves with 0.3 requests/s came late.
	firstSlack = 1.6
	// maxJump is the highest share that may follow with steps left out. Steps
	// are left out only when traffic is too small to collect evidence at each.
	maxJump = 0.25
	// estimateParts divides the time from start to finish_by into the time for
	// which traffic is watched before a first exposure above the lowest step.
	// An estimate from the first second was ten times too low and put a bad
	// version at 5% at once.
	estimateParts   = 20
	longestEstimate = time.Minute
)

// RouteEvidence is what the planner knows of one route.
type RouteEvidence struct {
	Route string
	Seen  uint64  // target's requests at the present share
	Rate  float64 // requests/s of both versions
}

// PlanInput is the situation of one move.
type PlanInput struct {
	Now        time.Time
	Started    time.Time
	FinishBy   time.Time
	Share      float64
	ShareSince time.Time
	Raises     int
	Routes     []RouteEvidence
}

// PlanResult is the planner's answer.
type PlanResult struct {
	Share  float64 // the share from now on; equal to the input's if unchanged
	Late   bool
	Finish bool // the move ends as finished
	// Blind means that the share is a first exposure: there can be no evidence
	// of a version that had no traffic.
	Blind bool
}

// Plan decides the next share. A raise needs both its planned time and, for
// each route with traffic, the needed requests at the present share.
func Plan(in PlanInput) PlanResult {
	keep := PlanResult{Share: in.Share}
	if in.Share >= 1 {
		return planEnd(in)
	}
	if !in.Now.Before(in.FinishBy) {
		keep.Late = true
		return keep
	}
	if in.Raises == 0 && in.Share <= maxJump {
		if first, ok := planFirst(in); ok {
			return first
		}
	}
	next, feasible := nextStep(in)
	keep.Late = !feasible
	if in.Share == 0 || !feasible || !enough(in) || in.Now.Before(dueAt(in, next)) {
		return keep
	}
	return PlanResult{Share: next}
}

// planEnd decides at the full share: the move finishes with evidence.
func planEnd(in PlanInput) PlanResult {
	if enough(in) && !in.Now.Before(dueAt(in, 1)) {
		return PlanResult{Share: 1, Finish: true}
	}
	return PlanResult{Share: 1, Late: in.Now.Add(remaining(in)).After(in.FinishBy)}
}

// planFirst chooses the first exposure: the lowest step at first, and the
// lowest share from which the move can finish once the traffic is known. It is
// chosen again while no raise was made. ok is false to keep the present share
// and go on by evidence.
func planFirst(in PlanInput) (PlanResult, bool) {
	if in.Share == 0 {
		return PlanResult{Share: Steps[0], Blind: true}, true
	}
	if !estimated(in) || busiest(in.Routes) == 0 {
		return PlanResult{Share: in.Share}, !enough(in)
	}
	window, left := in.FinishBy.Sub(in.Started), in.FinishBy.Sub(in.Now)
	for _, slack := range []float64{firstSlack, 1} {
		if fits(in, in.Share, slack, window) {
			return PlanResult{}, false // time lost since the start is no reason to raise it
		}
		for _, s := range Steps {
			if s > in.Share && s <= maxJump && fits(in, s, slack, left) {
				return PlanResult{Share: s, Blind: true}, true
			}
		}
	}
	return PlanResult{}, false
}

// fits reports whether the steps from share on fit into the time, with slack.
func fits(in PlanInput, share, slack float64, available time.Duration) bool {
	total := dwell(in.Routes, share) + after(in, share)
	return time.Duration(slack*float64(total)) <= available
}

// estimated reports whether traffic was watched for long enough.
func estimated(in PlanInput) bool {
	wait := min(in.FinishBy.Sub(in.Started)/estimateParts, longestEstimate)
	return !in.Now.Before(in.Started.Add(wait))
}

// nextStep returns the lowest next share from which the move can finish in
// time, and whether there is one.
func nextStep(in PlanInput) (float64, bool) {
	start := in.Now.Add(remaining(in))
	next := 0.0
	for _, s := range Steps {
		if s <= in.Share || (next > 0 && s > maxJump) {
			continue
		}
		if next == 0 {
			next = s
		}
		if !start.Add(dwell(in.Routes, s) + after(in, s)).After(in.FinishBy) {
			return s, true
		}
	}
	return next, false
}

// after returns the time for the steps above share, leaving out steps that
// small traffic makes too slow.
func after(in PlanInput, share float64) time.Duration {
	var total time.Duration
	left := in.FinishBy.Sub(in.Now)
	for _, s := range Steps {
		d := dwell(in.Routes, s)
		if s <= share || s <= maxJump && d > left/dwellParts {
			continue
		}
		total += d
	}
	return total
}

// dueAt returns the planned start of the next step: after the usual dwell, or
// at the latest start when that is earlier.
func dueAt(in PlanInput, next float64) time.Time {
	due := in.ShareSince.Add(in.FinishBy.Sub(in.Started) / dwellParts)
	latest := in.FinishBy
	if next > in.Share {
		latest = in.FinishBy.Add(-dwell(in.Routes, next) - after(in, next))
	}
	if latest.Before(due) {
		due = latest
	}
	if earliest := in.ShareSince.Add(minDwell); due.Before(earliest) {
		return earliest
	}
	return due
}

// enough reports whether each route with traffic has the needed requests.
func enough(in PlanInput) bool {
	top := busiest(in.Routes)
	if top == 0 {
		return false
	}
	for _, r := range in.Routes {
		if r.Rate > 0 && float64(r.Seen) < need(r.Rate, top) {
			return false
		}
	}
	return true
}

// need is the number of requests that a route needs, in proportion to its
// part of the traffic.
func need(rate, top float64) float64 {
	return max(quietNeed, busyNeed*rate/top)
}

func busiest(routes []RouteEvidence) float64 {
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

// remaining estimates the time until the evidence at the present share
// suffices.
func remaining(in PlanInput) time.Duration {
	if in.Share == 0 {
		return 0
	}
	wait := max(0, in.ShareSince.Add(minDwell).Sub(in.Now))
	top := busiest(in.Routes)
	for _, r := range in.Routes {
		if r.Rate > 0 {
			wait = max(wait, arrival(need(r.Rate, top)-float64(r.Seen), r.Rate*in.Share))
		}
	}
	return wait
}

// dwell estimates the time that a step needs.
func dwell(routes []RouteEvidence, share float64) time.Duration {
	d := minDwell
	top := busiest(routes)
	for _, r := range routes {
		if r.Rate > 0 {
			d = max(d, arrival(need(r.Rate, top), r.Rate*share))
		}
	}
	return d
}

// arrival returns the time in which n requests arrive at the rate.
func arrival(n, rate float64) time.Duration {
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
