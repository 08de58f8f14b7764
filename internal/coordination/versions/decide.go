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
	// exposureEndFraction of the time for the move must pass before the share
	// exceeds the exposure. A fault that begins late or shows on one route only
	// must be detected before the target receives more.
	exposureEndFraction = 0.55
	// forceFinishFraction of the time for the move is how long a move at the full
	// share waits for requests in flight on old upstreams. It ends then although
	// requests are left, which are cut.
	forceFinishFraction = 0.9
	// minDwell is the least time at a share. Instances report outcomes each
	// second.
	minDwell = 1500 * time.Millisecond
	// dwellFraction is the least time at the exposure or a share above it, and
	// fullShareDwellFraction that at the full share, as fractions of the time for
	// the move.
	dwellFraction          = 0.06
	fullShareDwellFraction = 0.1
	// minTargetRequests of the target are needed at the exposure before the share
	// is raised above it, until requestWaitFraction has passed.
	minTargetRequests = 20
	// requestWaitFraction of the time for the move is how long the share waits for
	// minTargetRequests. With so little traffic a bad version does little harm.
	requestWaitFraction = 0.7
	// raiseSuspicionLimit is the strength of the evidence against the target, from
	// 0 to 1, at or above which the share is not raised (see rollout.Judge.Suspicion).
	raiseSuspicionLimit = 0.4
)

// laterShares are the shares that follow the exposure.
var laterShares = []float64{0.25, 0.5, 1}

// decisionInput holds all inputs of a decision.
type decisionInput struct {
	move           model.VersionMove
	now            time.Duration // on the store's clock
	exposure       float64       // share of all requests that a bad version may get
	verdict        string        // against the target; empty means none
	suspicion      float64       // 0 to 1
	targetRequests uint64        // requests of the target at the present share
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
	if s.suspicion >= raiseSuspicionLimit {
		return m, false
	}
	elapsed, dwelt := s.now-m.Started, s.now-m.Since
	if m.Share >= 1 {
		dwellReached := dwelt >= max(minDwell, fractionOf(m.Within, fullShareDwellFraction))
		if dwellReached && (s.oldInFlight == 0 || elapsed >= fractionOf(m.Within, forceFinishFraction)) {
			return s.nextRecord(model.MoveFinished, 1, "no evidence against the version"), true
		}
		return m, false
	}
	next := s.nextShare()
	switch {
	case m.Share == 0:
	case m.Share < s.exposure:
		if dwelt < minDwell {
			return m, false
		}
	case m.Share == s.exposure && (elapsed < fractionOf(m.Within, exposureEndFraction) || s.targetRequests < minTargetRequests && elapsed < fractionOf(m.Within, requestWaitFraction)):
		return m, false
	case dwelt < max(minDwell, fractionOf(m.Within, dwellFraction)):
		return m, false
	}
	return s.nextRecord(model.MoveOpen, next, "no evidence against the version"), true
}

// nextShare returns the share that follows the present one.
func (s decisionInput) nextShare() float64 {
	shares := append([]float64{firstExposureFraction * s.exposure, s.exposure}, laterShares...)
	i := slices.IndexFunc(shares, func(share float64) bool { return share > s.move.Share })
	if i < 0 {
		return 1
	}
	return shares[i]
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
