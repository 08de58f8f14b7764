package admission

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"gotest.tools/v3/assert"
)

func newState() *organisation.State {
	return &organisation.State{
		Organisations: map[model.OrganisationID]organisation.Organisation{},
		Queues:        map[string]*organisation.Queue{},
		Requests:      map[model.RequestID]organisation.RequestState{},
	}
}

func ignoreDecision(*model.Refusal) {}

// Guards against refused callers that return as a wave, earlier than room is expected, in
// another order than that of their refusals, or so late that they do not return at all.
func TestReturnsArePaced(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &organisation.Queue{HoldTime: 40 * time.Millisecond}
	last := time.Duration(0)
	for i := range 20 {
		after := pacedReturn(q, model.RequestID(fmt.Sprint(i)), 100*time.Millisecond, 8, now.Add(time.Second), now)
		assert.Check(t, after >= 100*time.Millisecond && after-last >= 5*time.Millisecond, "%d: %v after %v", i, after, last)
		last = after
	}
	distinct := map[time.Duration]bool{}
	for i := range 200 {
		after := pacedReturn(q, model.RequestID(fmt.Sprint("late", i)), 400*time.Millisecond, 8, now.Add(900*time.Millisecond), now)
		assert.Check(t, after >= 150*time.Millisecond && after <= 300*time.Millisecond, "%v", after)
		distinct[after] = true
	}
	assert.Check(t, len(distinct) > 190, "%d different times", len(distinct))
	assert.Equal(t, pacedReturn(q, "over", time.Second, 8, now, now), time.Duration(0))
}

// Guards against a less urgent class that starves while urgent requests never end, and
// against one that gets a larger part of its requests served than the urgent class.
func TestLessUrgentClassGetsItsGuaranteedShare(t *testing.T) {
	s, now := newState(), time.Unix(1000, 0)
	admitted := map[model.Priority]int{}
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		for _, p := range []model.Priority{model.PriorityInteractive, model.PriorityInteractive, model.PriorityBatch} {
			req := Request{ID: model.RequestID(fmt.Sprint(i, p, len(s.Requests))), Serves: "s", Priority: p, Deadline: now.Add(time.Second)}
			limits{maxQueue: 1 << 20}.enter(s, req, ignoreDecision, Supply{}, now)
		}
		for _, d := range admitWaiting(s, "s", Supply{Slots: 1}, now) { // a slot for one of three
			admitted[d.waiting.Priority]++
			leave(s, d.request, false, now)
		}
	}
	urgent, less := float64(admitted[model.PriorityInteractive])/8000, float64(admitted[model.PriorityBatch])/4000
	assert.Check(t, less > 0 && less <= urgent, "urgent %.3f, less urgent %.3f", urgent, less)
	assert.Check(t, less >= 0.9*guaranteedShare*urgent, "urgent %.3f, less urgent %.3f", urgent, less)
}

// Guards against a request that is refused although there is room, because the time for
// which it would wait is over, and against one that runs after its answer is due.
func TestRequestThatMayNotWaitRunsIfThereIsRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	req := Request{ID: "r", Serves: "s", Priority: model.PriorityInteractive, Deadline: now.Add(-1), AnswerDeadline: now.Add(time.Second)}
	for _, test := range []struct {
		slots  int
		at     time.Time
		admits bool
	}{{1, now, true}, {0, now, false}, {1, req.AnswerDeadline, false}} {
		s := newState()
		decisions := limits{}.enter(s, req, ignoreDecision, Supply{Slots: test.slots}, test.at)
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].refusal == nil, test.admits)
		assert.Equal(t, s.Queue("s").Len(), 0)
	}
}

// Guards against a stream that is refused for the time its own instance takes to free a slot,
// although the slots of the whole service become free much sooner.
func TestExpectedWaitFollowsTheWholeService(t *testing.T) {
	s, now := newState(), time.Unix(1000, 0)
	q := s.Queue("s")
	q.HoldTime, q.InFlight = 8*time.Second, 1
	enter := func(id string, p Supply) []decision {
		return limits{}.enter(s, Request{ID: model.RequestID(id), Serves: "s", Priority: model.PriorityInteractive, Deadline: now.Add(5 * time.Second)}, ignoreDecision, p, now)
	}
	assert.Equal(t, len(enter("waits", Supply{Slots: 1, NextFree: 4 * time.Millisecond})), 0)
	assert.Equal(t, len(enter("late", Supply{Slots: 1, NextFree: 6 * time.Second})), 1, "no slot becomes free in time")
	wait, _ := Supply{Slots: 1, NextFree: 4 * time.Millisecond}.drainTime(q, 3)
	assert.Equal(t, wait, 12*time.Millisecond)
}

// Guards against timers that outlive their requests: under load there would be one for each
// request of the last seconds.
func TestExpiryTimerIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		slots, asked := 0, 0
		m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { asked++; return slots }})
		for _, id := range []model.RequestID{"leaves", "runs"} {
			m.Enter(Request{ID: id, Serves: "s", Priority: model.PriorityInteractive, Deadline: time.Now().Add(time.Second)}, ignoreDecision)
		}
		m.Leave("leaves")
		slots = 1
		m.AdmitWaiting("s")
		synctest.Wait()
		asked = 0
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, asked, 0, "a timer ran after its request was decided")
	})
}

// Guards against classes that look better or worse served than they are because a request
// asked several times.
func TestRequestThatAsksAgainCountsOnce(t *testing.T) {
	s, now := newState(), time.Unix(1000, 0)
	req := Request{ID: "r", Serves: "s", Priority: model.PriorityInteractive}
	for range 3 {
		assert.Equal(t, len(limits{}.enter(s, req, ignoreDecision, Supply{Slots: 1}, now)), 1)
		leave(s, "r", false, now)
		req.Again = true
	}
	assert.Equal(t, s.Queue("s").Service[model.PriorityInteractive], organisation.Service{Entered: 1, Admitted: 1, AsOf: now})
}

// Guards against waiting requests whose bodies fill the memory, and against bytes that stay
// counted after their request was admitted, was refused or left.
func TestWaitingBytesAreBounded(t *testing.T) {
	s, now, l := newState(), time.Unix(1000, 0), limits{maxQueue: 100, maxBytes: 1000}
	refused := 0
	for i := range 10 {
		req := Request{ID: model.RequestID(fmt.Sprint(i)), Serves: "s", Organisation: model.OrganisationID(fmt.Sprint(i % 2)), Priority: model.PriorityInteractive, Bytes: 150}
		for _, d := range l.enter(s, req, ignoreDecision, Supply{}, now) {
			assert.Equal(t, d.refusal.Code, CodeOverloaded)
			refused++
		}
		assert.Check(t, s.WaitingBytes <= 1000)
	}
	assert.Equal(t, refused, 4)
	leave(s, "0", false, now)
	assert.Equal(t, s.WaitingBytes, 750)
	assert.Equal(t, len(admitWaiting(s, "s", Supply{Slots: 3}, now)), 3)
	assert.Equal(t, s.WaitingBytes, 300)
}

// Guards against streams admitted to more memory than an engine has free, and against a
// resumed one that is overtaken while it waits for memory.
func TestMemoryOfEnginesIsNotGrantedTwice(t *testing.T) {
	s, now := newState(), time.Unix(1000, 0)
	enter := func(id model.RequestID, p model.Priority, free ...int) int {
		req := Request{ID: id, Serves: "s", Priority: p, MemoryTokens: 60}
		return len(limits{}.enter(s, req, ignoreDecision, Supply{Slots: 9, Engines: Engines{Limited: true, Free: free}}, now))
	}
	assert.Equal(t, enter("plain", model.PriorityInteractive, 50, 59), 0)
	assert.Equal(t, enter("resumed", model.PriorityResume, 50, 59), 0)
	decisions := admitWaiting(s, "s", Supply{Slots: 9, Engines: Engines{Limited: true, Free: []int{50, 110}}}, now)
	assert.Equal(t, len(decisions), 1, "110 tokens hold one stream of 60")
	assert.Equal(t, decisions[0].request, model.RequestID("resumed"))
}

// Guards against a limit that outlives the overload, that is lowered by each of many
// requests turned away at one time, or that ends all sends.
func TestLimitOfAFullServiceEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	q := &organisation.Queue{InFlight: 10}
	p := Supply{Slots: 36}
	for range 5 {
		markFull(q, 30*time.Millisecond, now)
	}
	assert.Equal(t, p.limit(q, now), 9)
	for range 10 {
		raiseLimit(q, now)
	}
	assert.Equal(t, p.limit(q, now), 10)
	assert.Equal(t, p.limit(q, now.Add(limitTTL)), 36)
	q = &organisation.Queue{InFlight: 1}
	markFull(q, 30*time.Millisecond, now)
	assert.Equal(t, p.limit(q, now), 1)
}

// Guards against a request that is refused at the deadline of an earlier entry, although it
// entered again with a later one, and against a place given back twice.
func TestEarlierEntryDoesNotEndALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		var mu sync.Mutex
		var codes []string
		m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { return 0 }})
		enter := func(within time.Duration) {
			m.Enter(Request{ID: "r", Serves: "s", Priority: model.PriorityInteractive, Deadline: time.Now().Add(within)}, func(r *model.Refusal) {
				mu.Lock()
				defer mu.Unlock()
				codes = append(codes, r.Code)
			})
			synctest.Wait()
		}
		decided := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(codes)
		}
		enter(time.Second)
		m.Return("r")
		m.Return("r")
		enter(3 * time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, decided(), []string{CodeCancelled})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, decided(), []string{CodeCancelled, CodeDeadlineUnmet})
	})
}

// Guards against calls that miss their objective because they wait for the time of a whole
// call after each upstream that turned them away, and against late ones that are sent more often
// than before.
func TestTurnedAwayPause(t *testing.T) {
	const hold = 40 * time.Millisecond
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name string
		left time.Duration
		want time.Duration
	}{
		{"in time", 80 * time.Millisecond, 10 * time.Millisecond},
		{"much time left", time.Second, hold},
		{"little time left", 8 * time.Millisecond, minTurnedAwayPause},
		{"late", -time.Millisecond, hold},
	} {
		assert.Equal(t, TurnedAwayPause(hold, now.Add(c.left), now), c.want, c.name)
	}
	assert.Equal(t, TurnedAwayPause(hold, time.Time{}, now), hold, "no objective")
}
