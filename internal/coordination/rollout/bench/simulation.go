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
	tick       = time.Second
	judgeTicks = 2
	instances  = 20
	// grace lets a move go on after finish_by before the simulation ends.
	grace = 5 * time.Minute

	firstTokenMedian = 200 * time.Millisecond
	paceMedian       = 40 * time.Millisecond
	latencySigma     = 0.4 // of the logarithm
)

// simulation runs one move.
type simulation struct {
	scenario scenario
	judged   bool
	rng      *rand.Rand
	start    time.Time
	now      time.Time

	move    rollout.Move
	judge   *rollout.Judge
	batch   [3]rollout.RouteCounts // not yet judged
	total   [3]uint64              // requests of both versions
	old     [instances]rollout.Rate
	results [instances][3]rollout.Results

	stopped bool // takes effect at the next tick
	stopAt  time.Time
	shownAt time.Time
	sent    int
}

func newSimulation(s scenario, rng *rand.Rand) *simulation {
	start := time.Unix(1_700_000_000, 0)
	sim := &simulation{scenario: s, rng: rng, start: start, now: start, judge: rollout.NewJudge(routes)}
	sim.move = rollout.Move{
		State: rollout.Moving, Started: start, ShareSince: start, Seen: map[string]uint64{},
		Plan: model.VersionPlan{Target: "new", Previous: "old", FinishBy: start.Add(s.window)},
	}
	for i, r := range routes {
		sim.batch[i].Route = r
	}
	return sim
}

func (s *simulation) run(p Policy) result {
	s.judged = p == Judged
	end := s.move.Plan.FinishBy.Add(grace)
	for n := 1; s.now.Before(end) && s.move.State.Open(); n++ {
		s.traffic()
		s.now = s.now.Add(tick)
		switch {
		case !s.judged:
			s.timedStep()
		case n%judgeTicks == 0:
			s.judgedStep()
		}
	}
	return s.result()
}

func (s *simulation) result() result {
	r := result{highest: s.move.Figures.HighestShare, sent: s.sent}
	r.takenBack = s.move.State == rollout.TakenBack
	r.onTime = s.move.State == rollout.Finished && !s.move.Ended.After(s.move.Plan.FinishBy)
	if r.takenBack && !s.shownAt.IsZero() {
		r.took = s.stopAt.Sub(s.shownAt)
	}
	return r
}

// timedStep raises by the clock: each step lasts the same time.
func (s *simulation) timedStep() {
	part := s.scenario.window / time.Duration(len(rollout.Steps)+1)
	n := int(s.now.Sub(s.start) / part)
	if n > len(rollout.Steps) || n == len(rollout.Steps) && s.now.Sub(s.start) >= s.scenario.window {
		s.move = rollout.Apply(s.move, rollout.Decision{Action: rollout.Finish}, s.now)
		return
	}
	if n > 0 && rollout.Steps[n-1] > s.move.Share {
		s.move = rollout.Apply(s.move, rollout.Decision{Action: rollout.Raise, Share: rollout.Steps[n-1]}, s.now)
	}
}

// judgedStep does what the holder of the move's lease does.
func (s *simulation) judgedStep() {
	s.judge.Observe(rollout.Batch{At: s.now.Add(-judgeTicks * tick), Routes: s.batch[:]})
	for i, rc := range s.batch {
		s.move.Seen[rc.Route] += rc.New.Requests
		s.batch[i] = rollout.RouteCounts{Route: rc.Route}
	}
	sit := rollout.Situation{
		Now: s.now, Move: s.move, Suspicion: s.judge.Suspicion(),
		Stopped: s.stopped, StoppedAt: s.stopAt, Routes: s.evidence(),
	}
	if v, bad := s.judge.Verdict(); bad {
		sit.Verdict = &v
	}
	d := rollout.Decide(sit)
	if d.Action == rollout.Keep {
		return
	}
	s.move = rollout.Apply(s.move, d, s.now)
	switch d.Action {
	case rollout.Raise:
		s.judge.ShareChanged()
	case rollout.Lift:
		s.judge.ShareChanged()
		s.stopped = false
		s.results = [instances][3]rollout.Results{}
	case rollout.TakeBack:
		if !s.stopped {
			s.stopAt = s.now
		}
	}
}

func (s *simulation) evidence() []rollout.RouteEvidence {
	var list []rollout.RouteEvidence
	elapsed := max(10, s.now.Sub(s.start).Seconds())
	for i, r := range routes {
		list = append(list, rollout.RouteEvidence{Route: r, Seen: s.move.Seen[r], Rate: float64(s.total[i]) / elapsed})
	}
	return list
}

// traffic sends the requests of one tick.
func (s *simulation) traffic() {
	share := s.move.Share
	if s.stopped {
		share = 0
	}
	for range s.poisson(s.scenario.rate * tick.Seconds()) {
		s.request(share)
	}
}

func (s *simulation) request(share float64) {
	route := s.pickRoute()
	instance := s.rng.IntN(instances)
	target := s.rng.Float64() < share
	faulty := target && s.scenario.faulty(s.now.Sub(s.start), share, route)
	if faulty && s.shownAt.IsZero() {
		s.shownAt = s.now
	}
	if target && !s.shownAt.IsZero() {
		s.sent++
	}
	s.total[route]++
	failed := s.count(route, target, faulty)
	if s.judged {
		s.detect(instance, route, target, failed)
	}
}

// count draws the outcome and reports whether the request failed.
func (s *simulation) count(route int, target, faulty bool) bool {
	fails := s.scenario.oldFails
	first, pace := 1.0, 1.0
	if faulty {
		fails += s.scenario.fails
		first, pace = max(1, s.scenario.slowFirst), max(1, s.scenario.slowPace)
	}
	failed := s.rng.Float64() < fails
	counts := &s.batch[route].Old
	if target {
		counts = &s.batch[route].New
	}
	counts.Requests++
	if failed {
		counts.Failures++
	} else {
		counts.FirstWait[evidence.Bucket(s.latency(firstTokenMedian, first))]++
		counts.Pace[evidence.Bucket(s.latency(paceMedian, pace))]++
	}
	return failed
}

// detect is the rule of hard evidence at one instance.
func (s *simulation) detect(instance, route int, target, failed bool) {
	if !target {
		s.old[instance].Add(failed)
		return
	}
	r := &s.results[instance][route]
	r.Add(failed)
	lifted := int(s.move.Epoch)
	if failed && !s.stopped && rollout.Hard(*r, s.old[instance], lifted) {
		s.stopped = true
		s.stopAt = s.now.Add(tick)
	}
}

func (s *simulation) latency(median time.Duration, factor float64) time.Duration {
	return time.Duration(float64(median) * factor * math.Exp(latencySigma*s.rng.NormFloat64()))
}

func (s *simulation) pickRoute() int {
	x := s.rng.Float64()
	for i, part := range routeParts {
		if x < part {
			return i
		}
		x -= part
	}
	return len(routeParts) - 1
}

// poisson draws the number of requests of one tick.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}
