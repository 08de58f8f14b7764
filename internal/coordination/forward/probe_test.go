package forward

import (
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
