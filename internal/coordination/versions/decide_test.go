package versions

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// within is the time that the tests give a move.
const within = 30 * time.Second

// runMove decides each tickInterval until the move ends, with the evidence that
// setEvidence sets for the time since the order. It returns the last record, the time
// of its decision, and the fraction of all requests within the time for the move that
// the target received until then.
func runMove(setEvidence func(at time.Duration, s *decisionInput)) (last model.VersionMove, at time.Duration, totalExposure float64) {
	m := model.VersionMove{VersionOrder: model.VersionOrder{Service: "s", Target: "v2", Revision: 7, Within: within}, State: model.MoveOpen}
	for at = 0; at < 2*within && m.State == model.MoveOpen; at += tickInterval {
		s := decisionInput{
			move: m, now: at, exposure: 0.1, allowance: 50, targetRequests: 1000,
			target: outcomes{ended: 1000}, old: outcomes{ended: 9000}, rate: 500,
		}
		setEvidence(at, &s)
		m, _ = decide(s)
		totalExposure += m.Share * tickInterval.Seconds() / within.Seconds()
	}
	return m, at, totalExposure
}

// Guards against a good version that is not finished in time, and against a version
// that receives more than 10% of all requests before a late fault can be detected.
func TestGoodVersionIsOnTime(t *testing.T) {
	manyRequests := func(time.Duration, *decisionInput) {}
	fewRequests := func(_ time.Duration, s *decisionInput) { s.targetRequests = 3 }
	oldRequests := func(_ time.Duration, s *decisionInput) { s.oldInFlight = 1 }
	for name, setEvidence := range map[string]func(time.Duration, *decisionInput){"much traffic": manyRequests, "little traffic": fewRequests, "long requests on the old version": oldRequests} {
		m, at, _ := runMove(setEvidence)
		assert.Equal(t, m.State, model.MoveFinished, name)
		assert.Assert(t, at < within && at > within/2, "%s: %s", name, at)
	}
	_, _, totalExposure := runMove(func(at time.Duration, s *decisionInput) {
		if at >= fractionOf(within, exposureEndFraction) {
			s.verdict = "bad from here on"
		}
	})
	assert.Assert(t, totalExposure < 0.1, "%v", totalExposure)
}

// Guards against a bad version that keeps its traffic.
func TestVerdictTakesBack(t *testing.T) {
	for _, share := range []float64{0.05, 0.1, 0.5, 1} {
		m, changed := decide(decisionInput{move: model.VersionMove{State: model.MoveOpen, Share: share, Step: 4}, exposure: 0.1, verdict: "failures"})
		assert.Assert(t, changed)
		assert.Equal(t, m.State, model.MoveTakenBack)
		assert.Equal(t, m.Share, 0.0)
		assert.Equal(t, m.Step, uint64(5))
	}
}

// Guards against a raise while there is evidence against the target, and against a
// further step of an ended move.
func TestNoStepOnSuspicionOrAfterTheEnd(t *testing.T) {
	m, _, _ := runMove(func(_ time.Duration, s *decisionInput) { s.suspicion = raiseSuspicionLimit })
	assert.Equal(t, m.Share, 0.0)
	for _, state := range []model.MoveState{model.MoveFinished, model.MoveTakenBack} {
		_, changed := decide(decisionInput{move: model.VersionMove{State: state}, verdict: "failures"})
		assert.Assert(t, !changed)
	}
}
