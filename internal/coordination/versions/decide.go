// Package versions moves the traffic of a service to the version that an operator
// ordered, and takes it back when that version is worse.
//
// The record of a move is a row of the store. Each write expects the revision of the
// row that was read. If two instances both act as the judge, the later write fails and
// its sender reads the record again, so neither can undo the other's step. One
// instance, the reader of the store, judges the target by the outcomes that the
// instances of its cell report; package rollout has the statistical test. The other
// instances apply the record, and send the target no requests before they have it.
package versions

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// firstExposureFraction of decisionInput.exposure is the first share of the
	// target.
	firstExposureFraction = 0.5
	// firstDwellFraction of the time for the move is the least time at the first share.
	// The rate of the requests is known afterwards.
	firstDwellFraction = 0.2
	// exposureEndFraction of the time for the move must pass before the share
	// exceeds the exposure. A fault that begins late or shows on one route only
	// must be detected before the target receives more.
	exposureEndFraction = 0.55
	// forceFinishFraction of the time for the move is how long a move at the full
	// share waits for requests in flight on old upstreams. It ends then although
	// requests are left, which are cut.
	forceFinishFraction = 0.9
	// giveUpFraction of the time for the move is when the target is taken back if its
	// outcomes do not allow the last step.
	giveUpFraction = 0.95
	// minDwell is the least time at a share. Instances report outcomes each
	// second.
	minDwell = 1500 * time.Millisecond
	// dwellFraction is the least time at the exposure or a share above it, and
	// fullShareDwellFraction that at the full share, as fractions of the time for
	// the move.
	dwellFraction          = 0.06
	fullShareDwellFraction = 0.1
	// minTargetRequests of the target must have ended at the exposure before the share
	// is raised above it, until requestWaitFraction has passed.
	minTargetRequests = 20
	// requestWaitFraction of the time for the move is how long the share waits for
	// minTargetRequests.
	requestWaitFraction = 0.7
	// allowanceFraction of decisionInput.allowance is the number of requests that the
	// target may get to collect evidence in little traffic. The rest is for requests
	// that are sent before a bad version is detected.
	allowanceFraction = 0.4
	// maxEvidenceShare bounds the share at which evidence is collected in little traffic.
	maxEvidenceShare = 0.5
	// raiseSuspicionLimit is the strength of the evidence against the target, from
	// 0 to 1, at or above which the share is not raised (see rollout.Judge.Suspicion).
	raiseSuspicionLimit = 0.3
	// maxBadFraction is how much higher the fraction of the target's bad outcomes may be
	// than that of the other versions when the share is raised above the exposure. The
	// sequential test needs more outcomes for a verdict than little traffic has.
	maxBadFraction = 0.2
)

// Steps of a move, as VersionMove.Step counts them. Later steps raise the share above
// the exposure.
const (
	stepOrdered  = 0
	stepFirst    = 1
	stepExposure = 2
)

// laterShares are the shares that follow the exposure.
var laterShares = []float64{0.25, 0.5, 1}

// outcomes counts ended requests.
type outcomes struct{ ended, bad uint64 }

func (o outcomes) badFraction() float64 {
	if o.ended == 0 {
		return 0
	}
	return float64(o.bad) / float64(o.ended)
}

// decisionInput holds all inputs of a decision.
type decisionInput struct {
	move           model.VersionMove
	now            time.Duration // on the store's clock
	exposure       float64       // share of all requests that a bad version may get
	allowance      int           // requests that a bad version may get beyond exposure
	verdict        string        // against the target; empty means none
	suspicion      float64       // 0 to 1
	targetRequests uint64        // requests of the target that ended at the present share
	target, old    outcomes      // since the order
	rate           float64       // requests to the service per second; 0 means unknown
	oldInFlight    int           // requests in flight on other versions than the target
}

// decide returns the record after the next step. The second result is false if no
// step is due.
func decide(s decisionInput) (model.VersionMove, bool) {
	m := s.move
	if m.State != model.MoveOpen {
		return m, false
	}
	if s.verdict != "" {
		return s.nextRecord(model.MoveTakenBack, 0, s.verdict), true
	}
	elapsed, dwelt := s.now-m.Started, s.now-m.Since
	if m.Step > stepOrdered && elapsed >= fractionOf(m.Within, giveUpFraction) && !s.mayRaise() {
		return s.nextRecord(model.MoveTakenBack, 0, "too few good outcomes in the time for the move"), true
	}
	var due bool
	switch {
	case m.Step == stepOrdered:
		due = true
	case m.Step == stepFirst:
		due = dwelt >= max(minDwell, fractionOf(m.Within, firstDwellFraction)) && s.suspicion < raiseSuspicionLimit
	case m.Step == stepExposure:
		waited := elapsed >= fractionOf(m.Within, requestWaitFraction) ||
			elapsed >= fractionOf(m.Within, exposureEndFraction) && s.targetRequests >= minTargetRequests
		due = waited && s.mayRaise()
	case m.Share < 1:
		due = dwelt >= max(minDwell, fractionOf(m.Within, dwellFraction)) && s.mayRaise()
	default:
		return s.decideFinish(elapsed, dwelt)
	}
	if !due {
		return m, false
	}
	return s.nextRecord(model.MoveOpen, s.nextShare(), "no evidence against the version"), true
}

// decideFinish returns the record after the last step, if the move at the full share
// ends.
func (s decisionInput) decideFinish(elapsed, dwelt time.Duration) (model.VersionMove, bool) {
	dwellReached := dwelt >= max(minDwell, fractionOf(s.move.Within, fullShareDwellFraction))
	oldEnded := s.oldInFlight == 0 || elapsed >= fractionOf(s.move.Within, forceFinishFraction)
	if !dwellReached || !oldEnded || !s.mayRaise() {
		return s.move, false
	}
	return s.nextRecord(model.MoveFinished, 1, "no evidence against the version"), true
}

// mayRaise reports whether the outcomes allow a share above the exposure. A target
// without outcomes may only be raised if the service has no requests: its requests may
// be under way because it is slow.
func (s decisionInput) mayRaise() bool {
	if s.suspicion >= raiseSuspicionLimit {
		return false
	}
	if s.target.ended == 0 {
		return s.old.ended == 0 && s.rate == 0
	}
	return s.target.badFraction() <= s.old.badFraction()+maxBadFraction
}

// nextShare returns the share that follows the present one.
func (s decisionInput) nextShare() float64 {
	switch s.move.Step {
	case stepOrdered:
		return firstExposureFraction * s.exposure
	case stepFirst:
		return s.evidenceShare()
	}
	i := slices.IndexFunc(laterShares, func(share float64) bool { return share > s.move.Share })
	if i < 0 {
		return 1
	}
	return laterShares[i]
}

// evidenceShare returns the share at which the target collects outcomes. It is the
// exposure, or more if the traffic is so little that the target would not get
// minTargetRequests in time.
func (s decisionInput) evidenceShare() float64 {
	requests := min(minTargetRequests, allowanceFraction*float64(s.allowance))
	collectTime := fractionOf(s.move.Within, exposureEndFraction-firstDwellFraction)
	share := maxEvidenceShare
	if s.rate > 0 {
		share = requests / (s.rate * collectTime.Seconds())
	}
	if requests == 0 {
		share = 0
	}
	return max(s.exposure, min(share, maxEvidenceShare))
}

// nextRecord returns the record of the next step.
func (s decisionInput) nextRecord(state model.MoveState, share float64, reason string) model.VersionMove {
	m := s.move
	m.State, m.Share, m.Reason = state, share, reason
	m.Step++
	m.Since = s.now
	return m
}

// fractionOf returns the fraction p of d.
func fractionOf(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
