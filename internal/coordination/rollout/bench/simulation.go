package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	tickLength      = time.Second
	ticksPerReading = 2
	instances       = 20
	// gracePeriod is how long an open move is simulated after finish_by.
	gracePeriod = 5 * time.Minute

	firstTokenMedian = 200 * time.Millisecond
	paceMedian       = 40 * time.Millisecond
	latencySigma     = 0.4 // standard deviation of the logarithm
)

// simulation runs one move.
type simulation struct {
	scenario scenario
	judged   bool
	rng      *rand.Rand
	start    time.Time
	now      time.Time

	move          rollout.Move
	judge         *rollout.Judge
	unreadCounts  [3]rollout.RouteCounts // not yet passed to the judge
	totalRequests [3]uint64              // requests of both versions on each route
	oldRates      [instances]rollout.FailureRate
	results       [instances][3]rollout.ResultWindow

	stopped        bool // takes effect at the next tick
	stoppedAt      time.Time
	faultShownAt   time.Time
	sentAfterFault int
}

func newSimulation(s scenario, rng *rand.Rand) *simulation {
	start := time.Unix(1_700_000_000, 0)
	sim := &simulation{scenario: s, rng: rng, start: start, now: start, judge: rollout.NewJudge(routes)}
	sim.move = rollout.Move{
		State: rollout.Moving, Started: start, ShareSince: start, Seen: map[string]uint64{},
		Plan: model.VersionPlan{Target: "new", Previous: "old", FinishBy: start.Add(s.window)},
	}
	for i, r := range routes {
		sim.unreadCounts[i].Route = r
	}
	return sim
}

func (s *simulation) run(p Policy) result {
	s.judged = p == Judged
	end := s.move.Plan.FinishBy.Add(gracePeriod)
	for n := 1; s.now.Before(end) && s.move.State.Open(); n++ {
		s.traffic()
		s.now = s.now.Add(tickLength)
		switch {
		case !s.judged:
			s.timedStep()
		case n%ticksPerReading == 0:
			s.judgedStep()
		}
	}
	return s.result()
}

func (s *simulation) result() result {
	r := result{highestShare: s.move.Figures.HighestShare, sentAfterFault: s.sentAfterFault}
	r.takenBack = s.move.State == rollout.TakenBack
	r.onTime = s.move.State == rollout.Finished && !s.move.Ended.After(s.move.Plan.FinishBy)
	if r.takenBack && !s.faultShownAt.IsZero() {
		r.timeToTakeBack = s.stoppedAt.Sub(s.faultShownAt)
	}
	return r
}

// timedStep raises the share by the clock. All steps have the same duration.
func (s *simulation) timedStep() {
	stepLength := s.scenario.window / time.Duration(len(rollout.Steps)+1)
	n := int(s.now.Sub(s.start) / stepLength)
	if n > len(rollout.Steps) || n == len(rollout.Steps) && s.now.Sub(s.start) >= s.scenario.window {
		s.move = rollout.Apply(s.move, rollout.Decision{Action: rollout.Finish}, s.now)
		return
	}
	if n > 0 && rollout.Steps[n-1] > s.move.Share {
		s.move = rollout.Apply(s.move, rollout.Decision{Action: rollout.Raise, Share: rollout.Steps[n-1]}, s.now)
	}
}

// judgedStep decides and applies the next action, as the holder of the move's lease
// does.
func (s *simulation) judgedStep() {
	s.judge.Observe(rollout.Batch{At: s.now.Add(-ticksPerReading * tickLength), Routes: s.unreadCounts[:]})
	for i, rc := range s.unreadCounts {
		s.move.Seen[rc.Route] += rc.New.Requests
		s.unreadCounts[i] = rollout.RouteCounts{Route: rc.Route}
	}
	situation := rollout.DecisionInput{
		Now: s.now, Move: s.move, Suspicion: s.judge.Suspicion(),
		Stopped: s.stopped, StoppedAt: s.stoppedAt, Routes: s.evidence(),
	}
	if v, bad := s.judge.Verdict(); bad {
		situation.Verdict = &v
	}
	d := rollout.Decide(situation)
	if d.Action == rollout.Keep {
		return
	}
	s.move = rollout.Apply(s.move, d, s.now)
	switch d.Action {
	case rollout.Raise:
		s.judge.ShareChanged()
	case rollout.LiftStop:
		s.judge.ShareChanged()
		s.stopped = false
		s.results = [instances][3]rollout.ResultWindow{}
	case rollout.TakeBack:
		if !s.stopped {
			s.stoppedAt = s.now
		}
	}
}

func (s *simulation) evidence() []rollout.RouteEvidence {
	var list []rollout.RouteEvidence
	elapsed := max(10, s.now.Sub(s.start).Seconds())
	for i, r := range routes {
		list = append(list, rollout.RouteEvidence{Route: r, TargetRequests: s.move.Seen[r], Rate: float64(s.totalRequests[i]) / elapsed})
	}
	return list
}

// traffic sends the requests of one tick.
func (s *simulation) traffic() {
	share := s.move.Share
	if s.stopped {
		share = 0
	}
	for range s.poisson(s.scenario.rate * tickLength.Seconds()) {
		s.request(share)
	}
}

func (s *simulation) request(share float64) {
	routeIndex := s.pickRoute()
	instance := s.rng.IntN(instances)
	target := s.rng.Float64() < share
	faulty := target && s.scenario.faultShows(s.now.Sub(s.start), share, routeIndex)
	if faulty && s.faultShownAt.IsZero() {
		s.faultShownAt = s.now
	}
	if target && !s.faultShownAt.IsZero() {
		s.sentAfterFault++
	}
	s.totalRequests[routeIndex]++
	failed := s.drawOutcome(routeIndex, target, faulty)
	if s.judged {
		s.checkHardEvidence(instance, routeIndex, target, failed)
	}
}

// drawOutcome draws and counts the outcome of a request, and reports whether the
// request failed.
func (s *simulation) drawOutcome(routeIndex int, target, faulty bool) bool {
	failureRate := s.scenario.oldFailureRate
	firstFactor, paceFactor := 1.0, 1.0
	if faulty {
		failureRate += s.scenario.addedFailureRate
		firstFactor, paceFactor = max(1, s.scenario.firstTokenFactor), max(1, s.scenario.paceFactor)
	}
	failed := s.rng.Float64() < failureRate
	counts := &s.unreadCounts[routeIndex].Old
	if target {
		counts = &s.unreadCounts[routeIndex].New
	}
	counts.Requests++
	if failed {
		counts.Failures++
	} else {
		counts.FirstWait[evidence.Bucket(s.latency(firstTokenMedian, firstFactor))]++
		counts.Pace[evidence.Bucket(s.latency(paceMedian, paceFactor))]++
	}
	return failed
}

// checkHardEvidence adds a result at one instance, and stops the target if it is
// hard evidence.
func (s *simulation) checkHardEvidence(instance, routeIndex int, target, failed bool) {
	if !target {
		s.oldRates[instance].Add(failed)
		return
	}
	r := &s.results[instance][routeIndex]
	r.Add(failed)
	lifted := int(s.move.Epoch)
	if failed && !s.stopped && rollout.HardEvidence(*r, s.oldRates[instance], lifted) {
		s.stopped = true
		s.stoppedAt = s.now.Add(tickLength)
	}
}

// latency draws a latency from a log-normal distribution.
func (s *simulation) latency(median time.Duration, factor float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(latencySigma*s.rng.NormFloat64()))
}

// pickRoute draws the route of a request.
func (s *simulation) pickRoute() int {
	x := s.rng.Float64()
	for i, fraction := range routeFractions {
		if x < fraction {
			return i
		}
		x -= fraction
	}
	return len(routeFractions) - 1
}

// poisson draws the number of requests of one tick.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}
