package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an engine that is given up as silent while it reads several prompts
// in turn: each of the prompts would be read once more elsewhere.
func TestSlowFirstEventIsAwaited(t *testing.T) {
	withHarness(t, func(b *harness) {
		reply, _ := b.submit("/log/1")
		b.advance(4 * time.Second)
		assert.Equal(t, len(b.sent()), 1)
		b.lastSend().StreamBegan(200, nil)
		b.lastSend().event(1)
		assert.Assert(t, len(reply.heads) > 0)
	})
}

// Guards against a loss before the first event, without a connection reset, that is
// detected so late that no time is left for another engine.
func TestLostEngineIsNoticedBeforeTheFirstEvent(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.probesFail.Store(true)
		b.submit("/log/1")
		b.advance(1600 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
		assert.Assert(t, b.sent()[0].cancelled)
		assert.Assert(t, b.sent()[1].Upstream.ID != b.sent()[0].Upstream.ID)
	})
}

// Guards against a stream that waits for a live engine which no longer has the stream.
func TestStreamUnknownToItsEngineGoesElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		state EngineState
		sends int
	}{
		{"engine has nothing", EngineState{Reported: true}, 2},
		{"engine has other requests", EngineState{Reported: true, Active: 1, Decoding: []model.RequestID{"other"}}, 2},
		{"a request waits", EngineState{Reported: true, Waiting: 1}, 1},
		{"a prompt is being read", EngineState{Reported: true, Active: 2, Decoding: []model.RequestID{"other"}}, 1},
		{"the stream has events", EngineState{Reported: true, Active: 1, Decoding: []model.RequestID{"r0"}}, 1},
		{"engine does not say", EngineState{}, 1},
	}
	for _, test := range tests {
		withHarness(t, func(b *harness) {
			b.engineState = test.state
			b.submit("/log/1")
			b.advance(1800 * time.Millisecond)
			assert.Equal(t, len(b.sent()), test.sends, test.name)
		})
	}
}

// Guards against a stream that must not be repeated and is sent again, or given up
// early, because its engine does not report it.
func TestUnrepeatableStreamUnknownToItsEngineIsAwaited(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.engineState = EngineState{Reported: true}
		reply, _ := b.submit("/tell/1")
		b.advance(1800 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 1)
		assert.Assert(t, reply.refused == nil)
	})
}

// Guards against a stream that stays at an engine that restarted behind a dark connection
// and is busy with other requests: its report only counts those that wait.
func TestStreamUnknownToABusyEngineMoves(t *testing.T) {
	for _, unknown := range []bool{false, true} {
		withHarness(t, func(b *harness) {
			b.engineState = EngineState{Reported: true, Waiting: 3, Active: 8}
			b.copyError = errors.New("no room")
			if unknown {
				b.copyError = ErrStreamUnknown
			}
			first := b.startStreamWithLostHolder()
			assert.Equal(t, len(b.sent()), 1)
			b.advance(700 * time.Millisecond)
			assert.Equal(t, b.isCancelled(first), unknown)
			assert.Equal(t, len(b.sent()) > 1, unknown)
		})
	}
}

// Guards against a stream that is cut off from its last events, which are on their way
// when its engine no longer runs it.
func TestStreamWithEventsUnknownToItsEngineStays(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.copyError = ErrStreamUnknown
		first := b.startStreamWithLostHolder()
		for p := Position(3); p < 20; p++ {
			first.event(p)
			b.advance(100 * time.Millisecond)
		}
		assert.Assert(t, len(b.copyHolders) > 1)
		assert.Equal(t, len(b.sent()), 1)
	})
}

// Guards against copy orders to an engine that has said that it does not run the stream,
// while the stream waits for the resend budget.
func TestNoCopyIsOrderedFromAnEngineWithoutTheStream(t *testing.T) {
	withHarness(t, func(b *harness) {
		b.engineState = EngineState{Reported: true, Waiting: 3, Active: 8}
		b.copyError = ErrStreamUnknown
		b.budget.usedUp.Store(true)
		b.startStreamWithLostHolder()
		b.advance(2 * time.Second) // the orders of the first 0.3 s precede the silence
		orders := len(b.copyHolders)
		b.advance(3 * time.Second)
		assert.Equal(t, len(b.copyHolders), orders)
		assert.Equal(t, len(b.sent()), 1)
		b.budget.usedUp.Store(false)
		b.advance(400 * time.Millisecond)
		assert.Equal(t, len(b.sent()), 2)
	})
}
