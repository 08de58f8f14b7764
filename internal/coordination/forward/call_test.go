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
	inBubble(t, func(b *bench) {
		reply, _ := b.submit("/book/1")
		b.last().Lost(continuation.LossReset, "EOF", true)
		b.pass(time.Second)
		assert.Equal(t, len(b.sends), 1)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown)
	})
}

// Guards against a call that is given up though no upstream has run it.
func TestCallThatHasNotRunGoesElsewhere(t *testing.T) {
	inBubble(t, func(b *bench) {
		reply, _ := b.submit("/book/1")
		b.last().Lost(continuation.LossDial, "refused", false)
		b.pass(0)
		b.last().Answered(Answer{Status: 503, NotRun: true})
		b.pass(0)
		b.last().Answered(Answer{Status: 200})
		b.pass(0)
		assert.Equal(t, len(b.sends), 3)
		assert.Equal(t, reply.answer.Status, 200)
	})
}

// Guards against a refusal that says "not run" of a call that may have run.
func TestDeadlineOfASentCallHasAnUnknownOutcome(t *testing.T) {
	inBubble(t, func(b *bench) {
		reply, _ := b.submit("/book/1")
		b.pass(time.Second)
		assert.Equal(t, reply.refused.Outcome, model.OutcomeUnknown)
		assert.Assert(t, b.last().cancelled)
	})
}

// Guards against an idempotent call that waits for one slow upstream, and
// against more runs than the route allows.
func TestSlowIdempotentCallIsSentTwice(t *testing.T) {
	inBubble(t, func(b *bench) {
		reply, _ := b.submit("/read/1")
		b.pass(200 * time.Millisecond)
		assert.Equal(t, len(b.sends), 2)
		b.last().Answered(Answer{Status: 200})
		b.pass(time.Second)
		assert.Equal(t, reply.answer.Status, 200)
		assert.Assert(t, b.sends[0].cancelled)
		assert.Equal(t, len(b.sends), 2)
	})
}

// Guards against work that goes on for a caller that left.
func TestCallerThatLeftEndsItsAttempts(t *testing.T) {
	inBubble(t, func(b *bench) {
		_, left := b.submit("/book/1")
		left()
		b.pass(0)
		assert.Assert(t, b.last().cancelled)
		assert.Equal(t, b.m.Running(), 0)
	})
}
