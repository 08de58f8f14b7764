package rollout

import (
	"fmt"
	"maps"
	"time"
)

const (
	// stopReviewDelay is how long the holder waits for gossip to bring the
	// evidence behind another instance's stop before it confirms or lifts it.
	stopReviewDelay = 5 * time.Second
	// maxLiftedStops is how many stops of one move may be lifted. From the
	// third stop on, a stop takes 12 failures in a row or 20 of 40, which a good
	// version does not show.
	maxLiftedStops = 4
	// raiseSuspicionLimit is the suspicion, see Judge.Suspicion, from which on
	// the share is not raised. A version that is not worse is rarely above it.
	raiseSuspicionLimit = 0.4
	// confirmSuspicion is the suspicion at which pooled evidence confirms a stop
	// that one instance added on hard evidence: both together are stronger than
	// either. Lifting such stops sent 146 instead of 76 requests to a version
	// that failed only under load (bench, seed 1, mean of 100 moves), because
	// the version looked good again at the lower share.
	confirmSuspicion = 0.5
)

// Action is what the holder of a move does next.
type Action string

// Actions.
const (
	Keep      Action = "keep"
	Raise     Action = "raise"
	Finish    Action = "finish"
	TakeBack  Action = "take back"
	LiftStop  Action = "lift" // removes a stop that pooled evidence does not confirm
	MarkLate  Action = "mark late"
	ClearLate Action = "mark open" // ends the late state
)

// DecisionInput holds all inputs of a decision.
type DecisionInput struct {
	Now        time.Time
	Move       Move
	Stopped    bool // a stop of the move's epoch bars the target from new work
	StopReason string
	StoppedAt  time.Time
	Verdict    *Verdict
	Suspicion  float64 // 0 to 1, see Judge.Suspicion
	Routes     []RouteEvidence
}

// Decision is an action with its arguments.
type Decision struct {
	Action        Action
	Share         float64
	FirstExposure bool // a first exposure, see PlanResult
	Reason        string
}

// Decide returns the next action of an open move.
func Decide(s DecisionInput) Decision {
	if s.Verdict != nil {
		return Decision{Action: TakeBack, Reason: s.Verdict.String()}
	}
	if s.Stopped {
		return decideStop(s)
	}
	if s.Suspicion >= raiseSuspicionLimit {
		return Decision{Action: Keep, Reason: "evidence against the target"}
	}
	return decidePlan(s)
}

// decideStop confirms or lifts a stop that an instance added.
func decideStop(s DecisionInput) Decision {
	if s.Now.Sub(s.StoppedAt) < stopReviewDelay {
		return Decision{Action: Keep, Reason: "stop under review"}
	}
	if s.Suspicion >= confirmSuspicion {
		return Decision{Action: TakeBack, Reason: "pooled evidence confirms the stop: " + s.StopReason}
	}
	if n := liftedStops(s.Move.Epoch); n >= maxLiftedStops {
		return Decision{Action: TakeBack, Reason: fmt.Sprintf("stopped again after %d lifted stops: %s", n, s.StopReason)}
	}
	share := s.Move.Share
	if s.Suspicion > 0 {
		share = stepBelow(share)
	}
	return Decision{Action: LiftStop, Share: share, Reason: "pooled evidence does not confirm the stop: " + s.StopReason}
}

// decidePlan turns the planner's result into an action.
func decidePlan(s DecisionInput) Decision {
	plan := Plan(PlanInput{
		Now:        s.Now,
		Started:    s.Move.Started,
		FinishBy:   s.Move.Plan.FinishBy,
		Share:      s.Move.Share,
		ShareSince: s.Move.ShareSince,
		Raises:     s.Move.Raises,
		Routes:     s.Routes,
	})
	switch {
	case plan.Finish:
		return Decision{Action: Finish, Reason: "evidence at the full share suffices"}
	case plan.Share > s.Move.Share:
		return Decision{Action: Raise, Share: plan.Share, FirstExposure: plan.FirstExposure, Reason: raiseReason(plan)}
	case plan.Late && s.Move.State == Moving:
		return Decision{Action: MarkLate, Reason: "evidence cannot suffice before finish_by"}
	case !plan.Late && s.Move.State == Late:
		return Decision{Action: ClearLate, Reason: "evidence can suffice before finish_by"}
	}
	return Decision{Action: Keep}
}

func raiseReason(p PlanResult) string {
	if p.FirstExposure {
		return "first exposure"
	}
	return "evidence at the previous share suffices"
}

// stepBelow returns the highest step below the share. At or below the lowest
// step it returns the share itself.
func stepBelow(share float64) float64 {
	below := min(Steps[0], share)
	for _, s := range Steps {
		if s < share {
			below = s
		}
	}
	return below
}

// Apply returns the move after the decision. It does not modify its arguments.
func Apply(m Move, d Decision, now time.Time) Move {
	m.Seen = maps.Clone(m.Seen)
	m.Reason = d.Reason
	switch d.Action {
	case Raise:
		m = withShare(m, d.Share, now)
		if !d.FirstExposure {
			m.Raises++
		}
	case LiftStop:
		m = withShare(m, d.Share, now)
		m.Epoch++
	case Finish:
		// Another instance may add a stop under the old epoch at the same moment.
		// The new epoch makes that stop ineffective.
		m = withShare(m, 1, now)
		m.Epoch++
		m.State, m.Ended = Finished, now
		m.Figures.OnTime = !now.After(m.Plan.FinishBy)
	case TakeBack:
		m = withShare(m, 0, now)
		m.State, m.Ended = TakenBack, now
	case MarkLate:
		m.State = Late
	case ClearLate:
		m.State = Moving
	}
	return m
}

// withShare returns the move at a new share, with no requests counted at that
// share yet.
func withShare(m Move, share float64, now time.Time) Move {
	m.Share = share
	m.ShareSince = now
	m.Revision++
	m.Seen = map[string]uint64{}
	m.Figures.HighestShare = max(m.Figures.HighestShare, share)
	return m
}
