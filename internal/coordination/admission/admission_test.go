package admission

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// init fixes the seed of rapid. The command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func waiting(id string, org model.OrganisationID) organisation.Waiting {
	return organisation.Waiting{Request: model.RequestID(id), Organisation: org, Priority: model.PriorityInteractive}
}

// Guards against shares that drift from the weights and against starvation:
// while organisations stay backlogged, the rounds that any two have had differ
// by at most one, also when others come and go.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "organisations")
		weights, served, since := map[model.OrganisationID]int{}, map[model.OrganisationID]int{}, map[model.OrganisationID]int{}
		total := 0
		c := &organisation.Class{}
		for i := range n {
			org := model.OrganisationID(fmt.Sprint("o", i))
			weights[org] = rapid.IntRange(1, 9).Draw(rt, "weight")
			total += weights[org]
			push(c, waiting("first", org))
		}
		weight := func(id model.OrganisationID) int { return max(1, weights[id]) }
		for step := range 200 {
			for org := range weights { // stays backlogged
				for range 2 {
					push(c, waiting(fmt.Sprint(step), org))
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "visitor") == 0 {
				push(c, waiting("visit", "visitor"))
			}
			w, ok := next(c, weight, func(model.OrganisationID) bool { return true })
			if !ok {
				rt.Fatal("nothing runs although requests wait")
			}
			for org := range weights {
				since[org]++
			}
			served[w.Organisation]++
			since[w.Organisation] = 0
			checkShares(rt, weights, served, since, total)
		}
	})
}

func checkShares(rt *rapid.T, weights, served, since map[model.OrganisationID]int, total int) {
	for a, wa := range weights {
		// A visitor has one request and can take one turn in each round.
		if since[a] > 2*total {
			rt.Fatalf("%s waited for %d turns", a, since[a])
		}
		for b, wb := range weights {
			if served[a]*wb-served[b]*wa > wa*wb {
				rt.Fatalf("shares %v for weights %v", served, weights)
			}
		}
	}
}

// world is the oracle of the stateful test: plain sets and counts.
type world struct {
	mu       sync.Mutex
	capacity int
	answers  map[model.RequestID][]*model.Refusal
	gone     map[model.RequestID]bool
	requests map[model.RequestID]Request
	admitted map[model.RequestID]bool // as of the last check
}

func (w *world) running(match func(Request) bool) int {
	n := 0
	for id, answers := range w.answers {
		if len(answers) == 1 && answers[0] == nil && !w.gone[id] && match(w.requests[id]) {
			n++
		}
	}
	return n
}

func (w *world) waiting(match func(Request) bool) int {
	n := 0
	for id, r := range w.requests {
		if len(w.answers[id]) == 0 && match(r) {
			n++
		}
	}
	return n
}

// op is one generated step.
type op struct {
	Kind     int // 0 to 4 enter, 5 to 7 leave, 8 capacity, 9 time passes
	Org      int
	Priority model.Priority
	Deadline time.Duration
	Pick     int
}

const (
	testQueue = 4
	testLimit = 2 // MaxInFlight of organisation o0
)

// Guards against a slot that is lost or given twice, a queue or organisation
// beyond its bound, a request without or with two answers, a resume that
// waits, and free capacity while a request could run.
func TestAdmissionKeepsItsBounds(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind:     rapid.IntRange(0, 9).Draw(t, "kind"),
			Org:      rapid.IntRange(0, 2).Draw(t, "org"),
			Priority: model.Priority(rapid.SampledFrom([]int{0, 1, 1, 1, 2, 2}).Draw(t, "priority")),
			Deadline: rapid.SampledFrom([]time.Duration{0, 0, time.Second, time.Minute}).Draw(t, "deadline"),
			Pick:     rapid.IntRange(0, 100).Draw(t, "pick"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(gen, 1, 60).Draw(rt, "ops")
		var bad string
		synctest.Test(t, func(*testing.T) { bad = playAdmission(ops) })
		if bad != "" {
			rt.Fatal(bad)
		}
	})
}

func playAdmission(ops []op) string {
	w := &world{
		capacity: 3, answers: map[model.RequestID][]*model.Refusal{},
		gone: map[model.RequestID]bool{}, requests: map[model.RequestID]Request{},
		admitted: map[model.RequestID]bool{},
	}
	pool := worker.NewPool(worker.Options{Workers: 2})
	defer pool.Close()
	m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { return w.capacity }})
	m.Configure([]model.Organisation{{ID: "o0", Weight: 1, MaxInFlight: testLimit}, {ID: "o1", Weight: 3}},
		[]model.Model{{Name: "m", MaxQueue: testQueue}})
	for n, o := range ops {
		w.step(m, n, o)
		synctest.Wait()
		if bad := w.check(); bad != "" {
			return fmt.Sprintf("step %d %+v: %s", n, o, bad)
		}
	}
	return ""
}

func (w *world) step(m *Manager, n int, o op) {
	switch {
	case o.Kind <= 4:
		w.enter(m, n, o)
	case o.Kind <= 7 && n > 0:
		id := model.RequestID(fmt.Sprint("r", o.Pick%n))
		w.mu.Lock()
		w.gone[id] = true
		w.mu.Unlock()
		m.Leave(id)
	case o.Kind == 8:
		w.capacity = o.Pick % 5
		m.Kick("m")
	default:
		time.Sleep(time.Duration(o.Pick) * 100 * time.Millisecond)
	}
}

func (w *world) enter(m *Manager, n int, o op) {
	req := Request{
		ID: model.RequestID(fmt.Sprint("r", n)), Serves: "m", Priority: o.Priority,
		Organisation: model.OrganisationID(fmt.Sprint("o", o.Org)),
	}
	if o.Deadline > 0 {
		req.Deadline = time.Now().Add(o.Deadline)
	}
	w.requests[req.ID] = req
	delete(w.gone, req.ID)
	m.Enter(req, func(r *model.Refusal) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answers[req.ID] = append(w.answers[req.ID], r)
	})
}

func (w *world) check() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, answers := range w.answers {
		if len(answers) > 1 {
			return fmt.Sprintf("%s was answered %d times", id, len(answers))
		}
		if w.requests[id].Priority == model.PriorityResume && answers[0] != nil {
			return fmt.Sprintf("resume %s was refused", id)
		}
	}
	any := func(Request) bool { return true }
	resumes := func(r Request) bool { return r.Priority == model.PriorityResume }
	o0 := func(r Request) bool { return r.Organisation == "o0" }
	defer w.remember()
	switch n := w.running(any); {
	case w.admittedNow(any) && n > w.capacity:
		return "a request was admitted beyond the capacity"
	case w.admittedNow(o0) && w.running(o0) > testLimit:
		return "a request was admitted beyond the limit of o0"
	case w.waiting(resumes) > 0:
		return "a resume waits"
	case w.waiting(any) > testQueue:
		return "the queue is too long"
	case n < w.capacity && w.waiting(func(r Request) bool { return !o0(r) }) > 0:
		return "capacity is free while a request waits"
	case n < w.capacity && w.waiting(o0) > 0 && w.running(o0) < testLimit:
		return "capacity is free while o0 waits below its limit"
	}
	return ""
}

// admittedNow reports whether the last step admitted a matching request that
// is no resume.
func (w *world) admittedNow(match func(Request) bool) bool {
	for id, answers := range w.answers {
		r := w.requests[id]
		if answers[0] == nil && !w.admitted[id] && !w.gone[id] && r.Priority != model.PriorityResume && match(r) {
			return true
		}
	}
	return false
}

func (w *world) remember() {
	for id := range w.answers {
		w.admitted[id] = true
	}
}

// Guards against priorities that are ignored, the wrong victim of a full
// queue, and a wait that the deadline does not allow.
func TestAdmissionInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { return 1 }})
		m.Configure(nil, []model.Model{{Name: "m", MaxQueue: 3}})
		var mu sync.Mutex
		got := map[model.RequestID]string{}
		enter := func(id model.RequestID, org model.OrganisationID, p model.Priority, within time.Duration) {
			req := Request{ID: id, Serves: "m", Organisation: org, Priority: p}
			if within > 0 {
				req.Deadline = time.Now().Add(within)
			}
			m.Enter(req, func(r *model.Refusal) {
				mu.Lock()
				defer mu.Unlock()
				got[id] = "admitted"
				if r != nil {
					got[id] = fmt.Sprint(r.Code, " ", r.Outcome, " ", r.RetryAfter)
				}
			})
			synctest.Wait()
		}
		leave := func(id model.RequestID) {
			m.Leave(id)
			synctest.Wait()
		}
		enter("first", "a", model.PriorityInteractive, 0)
		time.Sleep(10 * time.Second)
		leave("first") // a hold time of 10 s
		enter("second", "a", model.PriorityInteractive, 0)
		enter("batch", "a", model.PriorityBatch, 0)
		enter("interactive", "a", model.PriorityInteractive, 0)
		enter("hurried", "b", model.PriorityInteractive, 5*time.Second)
		enter("more", "a", model.PriorityBatch, 0)
		enter("surplus", "a", model.PriorityBatch, 0)
		enter("other", "b", model.PriorityInteractive, time.Minute) // displaces a's newest batch
		enter("resumed", "a", model.PriorityResume, 0)
		assert.DeepEqual(t, got, map[model.RequestID]string{
			"first": "admitted", "second": "admitted", "resumed": "admitted",
			"hurried": "deadline_unmet not_run 20s", "surplus": "overloaded not_run 40s", "more": "overloaded not_run 40s",
		})
		leave("resumed")
		leave("second")
		assert.Equal(t, got["interactive"], "admitted")
		assert.Equal(t, got["batch"], "")
		leave("interactive")
		assert.Equal(t, got["other"], "admitted")
		leave("batch")
		assert.Equal(t, got["batch"], "cancelled not_run 0s")
		leave("other")
		m.Organisations.Update(func(s *organisation.State) {
			assert.Equal(t, len(s.Places), 0)
			assert.Equal(t, len(s.Organisations), 0)
			assert.Equal(t, s.Queues["m"].InFlight, 0)
		})
	})
}

// Guards against a request that waits beyond its deadline.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := worker.NewPool(worker.Options{Workers: 2})
		defer pool.Close()
		m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { return 0 }})
		var code string
		m.Enter(Request{ID: "r", Serves: "m", Priority: model.PriorityBatch, Deadline: time.Now().Add(time.Second)},
			func(r *model.Refusal) { code = r.Code })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, code, CodeDeadlineUnmet)
	})
}
