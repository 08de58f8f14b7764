package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against a resumed stream, whose caller already reads, that is refused because new
// requests fill the queue or its memory.
func TestResumedStreamIsNotRefusedByAFullQueue(t *testing.T) {
	for name, l := range map[string]limits{"length": {maxQueue: 3}, "bytes": {maxQueue: 100, maxBytes: 300}} {
		t.Run(name, func(t *testing.T) {
			s, now := newState(), time.Unix(1000, 0)
			full := Supply{Engines: Engines{Limited: true, Free: []int{0}}}
			enter := func(id string, p model.Priority) []decision {
				return l.enter(s, Request{ID: model.RequestID(id), Serves: "s", Priority: p, Bytes: 100, MemoryTokens: 10}, ignoreDecision, full, now)
			}
			for i := range 3 {
				assert.Equal(t, len(enter(fmt.Sprint("new", i), model.PriorityInteractive)), 0)
			}
			for i := range 5 {
				for _, d := range enter(fmt.Sprint("resumed", i), model.PriorityResume) {
					assert.Equal(t, d.waiting.Priority, model.PriorityInteractive, "%s: %v", d.request, d.refusal)
				}
			}
			assert.Equal(t, s.Queue("s").Classes[model.PriorityResume].Len(), 5)
		})
	}
}

// Guards against an urgent request that is refused while less urgent ones of its own
// organisation wait.
func TestLessUrgentRequestsAreEvictedFirst(t *testing.T) {
	s, now, l := newState(), time.Unix(1000, 0), limits{maxQueue: 3}
	enter := func(id string, p model.Priority) []decision {
		return l.enter(s, Request{ID: model.RequestID(id), Serves: "s", Organisation: "o", Priority: p}, ignoreDecision, Supply{}, now)
	}
	for i := range 3 {
		enter(fmt.Sprint("less", i), model.PriorityBatch)
	}
	for i := range 3 {
		decisions := enter(fmt.Sprint("urgent", i), model.PriorityInteractive)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].waiting.Priority, model.PriorityBatch)
		assert.Equal(t, decisions[0].refusal.Code, CodeOverloaded)
	}
	decisions := enter("urgent3", model.PriorityInteractive)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].request, model.RequestID("urgent3"))
}
