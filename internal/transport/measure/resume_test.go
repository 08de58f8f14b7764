package measure

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against figures of trials in which nothing was lost: a series that
// misses its faults would show a perfect latency.
func TestTrialWithoutFaultIsNotCounted(t *testing.T) {
	one := newTrial(LossKill, PolicyResume, 1, 0)
	one.faultAt = resumeTokens + 1
	got := one.run()
	assert.Assert(t, got.whole)
	assert.Assert(t, !got.hurt)

	var row ResumeRow
	row.summarise([]result{got, {hurt: true, whole: true, gap: time.Second, delivered: 10, tokens: 15, prefill: 3 * promptBytes}})
	assert.Equal(t, row.Trials, 1)
	assert.Equal(t, row.Unhurt, 1)
	assert.Equal(t, row.Whole, 1)
	assert.Equal(t, row.P50.Round(10*time.Millisecond), time.Second)
	assert.Equal(t, row.ExtraTokens, 0.5)
	assert.Equal(t, row.ExtraPrefill, 2.0)
}

// Guards against a second fault that hits the dead engine again because the
// log still had tokens of it, and against answers that are not whole.
func TestTrialsOfEachLossAreHurtAndWhole(t *testing.T) {
	for _, row := range Resume(1, 2) {
		assert.Equal(t, row.Trials, 2, "%s, %s", row.Loss, row.Policy)
		assert.Equal(t, row.Whole, 2, "%s, %s", row.Loss, row.Policy)
		assert.Assert(t, row.P50 > 0, "%s, %s", row.Loss, row.Policy)
	}
}
