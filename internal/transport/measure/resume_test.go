package measure

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against figures that count trials in which no attempt was lost. A series
// that misses its faults would show a perfect latency.
func TestTrialWithoutFaultIsNotCounted(t *testing.T) {
	one := newTrial(LossKill, PolicyResume, 1, 0)
	one.faultAt = resumeTokens + 1
	got := one.run()
	assert.Assert(t, got.complete)
	assert.Assert(t, !got.faulted)

	var row ResumeRow
	row.summarise([]result{got, {faulted: true, complete: true, gap: time.Second, delivered: 10, tokens: 15, prefill: 3 * promptBytes}})
	assert.Equal(t, row.Trials, 1)
	assert.Equal(t, row.WithoutEffect, 1)
	assert.Equal(t, row.Complete, 1)
	assert.Equal(t, row.P50.Round(10*time.Millisecond), time.Second)
	assert.Equal(t, row.ExtraTokens, 0.5)
	assert.Equal(t, row.ExtraPrefill, 2.0)
}

// Guards against a second fault on the engine that is dead already, which happens
// if tokens of that engine in the log count as those of the next one. Also guards
// against incomplete answers.
func TestTrialsOfEachLossAreFaultedAndComplete(t *testing.T) {
	for _, row := range Resume(1, 2) {
		assert.Equal(t, row.Trials, 2, "%s, %s", row.Loss, row.Policy)
		assert.Equal(t, row.Complete, 2, "%s, %s", row.Loss, row.Policy)
		assert.Assert(t, row.P50 > 0, "%s, %s", row.Loss, row.Policy)
	}
}
