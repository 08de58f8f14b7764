package admission

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a large stream that keeps smaller ones of its organisation from free
// engines, and against smaller ones that keep it waiting without a bound.
func TestLargeStreamDoesNotBlockSmallOnes(t *testing.T) {
	s, now := newState(), time.Unix(1000, 0)
	stream := func(id string, tokens int, within time.Duration) Request {
		return Request{ID: model.RequestID(id), Serves: "s", Priority: model.PriorityInteractive, MemoryTokens: tokens, Deadline: now.Add(within)}
	}
	engines := func(free ...int) Supply { return Supply{Slots: 100, Engines: Engines{Limited: true, Free: free}} }
	assert.Equal(t, len(limits{}.enter(s, stream("large", 100, 5*time.Second), ignoreDecision, engines(60, 50), now)), 0)
	admitted := limits{}.enter(s, stream("small", 10, 9*time.Second), ignoreDecision, engines(60, 50), now)
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0].request, model.RequestID("small"))

	now = now.Add(reservationWait)
	supply := engines(60, 5)
	assert.Equal(t, len(limits{}.enter(s, stream("later", 10, 9*time.Second), ignoreDecision, supply, now)), 0, "the emptiest engine is reserved")
	assert.Equal(t, supply.Engines.Free[0], 60, "the reservation holds for one decision")
	admitted = admitWaiting(s, "s", engines(100, 5), now)
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0].request, model.RequestID("large"))
}
