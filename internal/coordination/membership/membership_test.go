package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a process that suspects all others after the process itself was
// paused or cut off.
func TestPausedOrIsolatedProcessSuspectsNobody(t *testing.T) {
	tr := NewTracker("a", "r")
	tr.RecordHeartbeat("b", 1, 5, "r", start)
	tr.RecordContact(start)
	tr.Tick(start)
	assert.Equal(t, len(tr.Tick(start.Add(time.Minute))), 0, "paused for a minute")

	tr = NewTracker("a", "r")
	tr.RecordHeartbeat("b", 1, 5, "r", start)
	tr.RecordContact(start)
	for i := range 40 {
		assert.Equal(t, len(tr.Tick(start.Add(time.Duration(i)*500*time.Millisecond))), 0, "isolated")
	}
}

// Guards against a stale heartbeat counter that keeps a dead instance alive, and
// against suspicion of single instances in other regions.
func TestSilence(t *testing.T) {
	tr := NewTracker("a", "r")
	tr.RecordHeartbeat("b", 1, 5, "r", start)
	tr.RecordHeartbeat("c", 1, 5, "other", start)
	var verdicts []StateChange
	for i := range 30 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		tr.RecordContact(now)
		tr.RecordHeartbeat("b", 1, 5, "r", now)
		verdicts = tr.Tick(now)
		switch at := now.Sub(start); {
		case at < SuspectAfter:
			assert.Equal(t, len(verdicts), 0)
		case at < DeadAfter:
			assert.DeepEqual(t, verdicts, []StateChange{{"b", 1, model.InstanceSuspected}})
		}
	}
	assert.DeepEqual(t, verdicts, []StateChange{{"b", 1, model.InstanceDead}})
	assert.DeepEqual(t, tr.SilentRegions(start.Add(DeadAfter)), []string{"other"})
}

// Guards against all callers changing their instance when one instance leaves.
func TestOrderIsStable(t *testing.T) {
	var all []model.Instance
	for _, id := range []model.InstanceID{"a", "b", "c", "d"} {
		all = append(all, model.Instance{ID: id, Region: "r", CallerAddress: "x", State: model.InstanceLive})
	}
	before := Order(all, nil, "caller")
	all[0].State, all[1].State = model.InstanceLeaving, model.InstanceSuspected
	after := Order(all, nil, "caller")
	assert.Equal(t, len(after), 3)
	assert.Equal(t, after[2].ID, model.InstanceID("b"), "suspected instances come last")
	var remaining []model.InstanceID
	for _, in := range before {
		if in.ID == "c" || in.ID == "d" {
			remaining = append(remaining, in.ID)
		}
	}
	assert.DeepEqual(t, remaining, []model.InstanceID{after[0].ID, after[1].ID})
	assert.Equal(t, len(Order(all, []string{"r"}, "caller")), 0)
}

// Guards against seeds that return addresses of instances already known.
func TestSeeds(t *testing.T) {
	s := NewSeeds([]string{"1", "2"})
	s.SetListed([]ListedInstance{{ControlAddress: "3"}, {ControlAddress: "4", Leaving: true}})
	known := func(address string) bool { return address == "1" }
	assert.DeepEqual(t, []string{s.Next(known), s.Next(known), s.Next(known)}, []string{"2", "3", "2"})
	assert.Equal(t, s.Next(func(string) bool { return true }), "")
}

// Guards against readings of the platform's list that exceed the budget for control
// traffic as the fleet grows, and against a small fleet that reads the list too
// seldom: a leaving upstream must be known within 3 s, and the setting adds 2 s.
func TestListIsReadWithinTheBudget(t *testing.T) {
	const budget = 22_000 // bytes/s of all control traffic
	for _, bytes := range []int{8_000, 100_000, 790_000} {
		assert.Assert(t, float64(bytes)/ReadInterval(bytes).Seconds() <= budget/3, "%d bytes", bytes)
	}
	assert.Assert(t, ReadInterval(8_000) < 2*time.Second, "a list of 35 machines")
	assert.Equal(t, ReadInterval(10_000_000), maxReadInterval)
}
