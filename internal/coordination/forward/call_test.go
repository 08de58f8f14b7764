package forward

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a second run of a call that must not be repeated.
func TestCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/book/1")
		b.lastSend().Lost(continuation.LossReset, "EOF", true)
		b.advance(time.Second)
		assert.Equal(t, len(b.sent()), 1)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown)
	})
}

// Guards against a call that is given up although no upstream has run it.
func TestCallThatHasNotRunGoesElsewhere(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/book/1")
		b.lastSend().Lost(continuation.LossDial, "refused", false)
		b.advance(0)
		b.lastSend().Answered(Answer{Status: 503, NotRun: true})
		b.advance(0)
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(0)
		assert.Equal(t, len(b.sent()), 3)
		assert.Equal(t, reply.answer.Status, 200)
	})
}

// Guards against a refusal with the outcome "not run" for a call that may have run.
func TestDeadlineOfASentCallHasAnUnknownOutcome(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/book/1")
		b.advance(time.Second)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown)
		assert.Assert(t, b.lastSend().cancelled)
	})
}

// Guards against an idempotent call that waits for one slow upstream, and
// against more runs than the route allows.
func TestSlowIdempotentCallIsSentTwice(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/read/1")
		b.advance(200 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
		b.lastSend().Answered(Answer{Status: 200})
		b.advance(time.Second)
		assert.Equal(t, reply.answer.Status, 200)
		assert.Assert(t, b.sent()[0].cancelled)
		assert.Equal(t, len(b.sent()), 2)
	})
}

// Guards against attempts that continue after their caller disconnected.
func TestCallerThatLeftEndsItsAttempts(t *testing.T) {
	withHarness(t, func(b *harness) {
		_, left := b.submit("/book/1")
		left()
		b.advance(0)
		assert.Assert(t, b.lastSend().cancelled)
		assert.Equal(t, b.m.Running(), 0)
	})
}
