package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a share that falls or is raised without evidence, a move that
// finishes without evidence at the full share, and a move that misses its
// deadline despite sufficient traffic.
func TestPlanUnderSteadyTraffic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		window := time.Duration(rapid.IntRange(2, 240).Draw(rt, "minutes")) * time.Minute
		rate := rapid.Float64Range(0.001, 200).Draw(rt, "rate")
		quietRate := rapid.Float64Range(0, 1).Draw(rt, "quiet") * rate
		pause := time.Duration(rapid.IntRange(0, 60).Draw(rt, "pause")) * time.Second
		in := PlanInput{Started: testStart, Now: testStart, ShareSince: testStart, FinishBy: testStart.Add(window)}
		seen := [2]float64{}
		finished, late := false, false
		for step := 2 * time.Second; !finished && in.Now.Before(in.FinishBy.Add(time.Minute)); in.Now = in.Now.Add(step) {
			if pause > 0 && in.Now.Sub(testStart) > window/3 { // the table service is down
				in.Now = in.Now.Add(pause)
				pause = 0
			}
			in.Routes = []RouteEvidence{{"a", uint64(seen[0]), rate}, {"b", uint64(seen[1]), quietRate}}
			p := Plan(in)
			enoughSeen := seen[0] >= minRouteRequests && (quietRate == 0 || seen[1] >= minRouteRequests) && max(seen[0], seen[1]) >= busiestRouteRequests-1
			switch {
			case p.Share < in.Share:
				rt.Fatalf("share fell from %v to %v", in.Share, p.Share)
			case p.Share > in.Share && !enoughSeen && !p.FirstExposure:
				rt.Fatalf("share rose from %v to %v on %v requests", in.Share, p.Share, seen)
			case p.FirstExposure && (in.Raises > 0 || p.Share > maxShareAfterSkip):
				rt.Fatalf("blind raise to %v after %d raises", p.Share, in.Raises)
			case p.Finish && (in.Share < 1 || !enoughSeen):
				rt.Fatalf("finished at %v on %v requests", in.Share, seen)
			case p.Share > in.Share && !in.Now.Before(in.FinishBy):
				rt.Fatalf("share rose after finish_by")
			}
			if p.Share > in.Share {
				if !p.FirstExposure {
					in.Raises++
				}
				in.Share, in.ShareSince, seen = p.Share, in.Now, [2]float64{}
			}
			finished, late = p.Finish, late || p.Late
			seen[0] += rate * in.Share * step.Seconds()
			seen[1] += quietRate * in.Share * step.Seconds()
		}
		if !finished && !late {
			rt.Fatalf("neither finished nor late at share %v", in.Share)
		}
		onTime := finished && !in.Now.Add(-2*time.Second).After(in.FinishBy)
		if ampleTraffic := rate*window.Seconds() > 1000 && quietRate == 0 &&
			window >= 5*time.Minute; ampleTraffic && !onTime {
			rt.Fatalf("not on time with ample traffic")
		}
	})
}

// Guards against a move with small traffic that cannot finish although there is
// enough time, and against a share that is raised without evidence although there
// is not enough time.
func TestPlanSmallTraffic(t *testing.T) {
	in := PlanInput{Started: testStart, Now: testStart, ShareSince: testStart, FinishBy: testStart.Add(time.Hour)}
	in.Routes = []RouteEvidence{{Route: "a", Rate: 0.05}}
	p := Plan(in)
	assert.Equal(t, p, PlanResult{Share: 0.01, FirstExposure: true})
	in.Share, in.Now = p.Share, testStart.Add(10*time.Second)
	assert.Equal(t, Plan(in), PlanResult{Share: 0.01}, "the traffic is not known yet")
	in.Now = testStart.Add(time.Minute)
	assert.Equal(t, Plan(in), PlanResult{Share: 0.25, FirstExposure: true})
	in.Routes[0].Rate = 0.005
	assert.Equal(t, Plan(in), PlanResult{Share: 0.01, Late: true})
	in.Now = testStart.Add(59 * time.Minute)
	in.Routes[0].TargetRequests = 19
	assert.Equal(t, Plan(in), PlanResult{Share: 0.01, Late: true})
}

// Guards against a raise while there is evidence against the target, against a
// stop that is lifted before its evidence can have arrived, and against stops that
// are lifted without limit.
func TestDecide(t *testing.T) {
	ready := DecisionInput{
		Now:    testStart.Add(5 * time.Minute),
		Move:   Move{State: Moving, Started: testStart, ShareSince: testStart, Share: 0.1, Raises: 2},
		Routes: []RouteEvidence{{Route: "a", TargetRequests: 1000, Rate: 50}},
	}
	ready.Move.Plan.FinishBy = testStart.Add(20 * time.Minute)
	decideWith := func(change func(*DecisionInput)) Decision {
		s := ready
		s.StoppedAt = s.Now.Add(-stopReviewDelay)
		change(&s)
		d := Decide(s)
		d.Reason = ""
		return d
	}
	stopped := func(suspicion float64) func(*DecisionInput) {
		return func(s *DecisionInput) { s.Stopped, s.Suspicion = true, suspicion }
	}
	assert.Equal(t, decideWith(func(*DecisionInput) {}), Decision{Action: Raise, Share: 0.25})
	assert.Equal(t, decideWith(func(s *DecisionInput) { s.Suspicion = raiseSuspicionLimit }), Decision{Action: Keep})
	assert.Equal(t, decideWith(func(s *DecisionInput) { s.Verdict = &Verdict{} }), Decision{Action: TakeBack})
	assert.Equal(t, decideWith(stopped(0)), Decision{Action: LiftStop, Share: 0.1})
	assert.Equal(t, decideWith(stopped(0.1)), Decision{Action: LiftStop, Share: 0.05})
	assert.Equal(t, decideWith(stopped(confirmSuspicion)), Decision{Action: TakeBack})
	assert.Equal(t, decideWith(func(s *DecisionInput) { s.Stopped, s.StoppedAt = true, s.Now }), Decision{Action: Keep})
	assert.Equal(t, decideWith(func(s *DecisionInput) { s.Stopped, s.Move.Epoch = true, maxLiftedStops }), Decision{Action: TakeBack})
}
