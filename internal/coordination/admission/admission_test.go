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

// Guards against shares that drift from the weights and against starvation.
// While organisations are backlogged, the numbers of rounds served to any two of
// them differ by at most one, also when other organisations come and go.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "organisations")
		weights, served, turnsWaited := map[model.OrganisationID]int{}, map[model.OrganisationID]int{}, map[model.OrganisationID]int{}
		total := 0
		c := &organisation.Class{}
		for i := range n {
			org := model.OrganisationID(fmt.Sprint("o", i))
			weights[org] = rapid.IntRange(1, 9).Draw(rt, "weight")
			total += weights[org]
			enqueue(c, waiting("first", org))
		}
		weight := func(id model.OrganisationID) int { return max(1, weights[id]) }
		for step := range 200 {
			for org := range weights { // keeps each organisation backlogged
				for range 2 {
					enqueue(c, waiting(fmt.Sprint(step), org))
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "visitor") == 0 {
				enqueue(c, waiting("visit", "visitor"))
			}
			w, ok := dequeueNext(c, weight, func(organisation.Waiting) bool { return true }, time.Time{})
			if !ok {
				rt.Fatal("nothing runs although requests wait")
			}
			for org := range weights {
				turnsWaited[org]++
			}
			served[w.Organisation]++
			turnsWaited[w.Organisation] = 0
			checkShares(rt, weights, served, turnsWaited, total)
		}
	})
}

func checkShares(rt *rapid.T, weights, served, turnsWaited map[model.OrganisationID]int, total int) {
	for a, wa := range weights {
		// The visitor has weight 1 and can take one turn in each round.
		if turnsWaited[a] > 2*total {
			rt.Fatalf("%s waited for %d turns", a, turnsWaited[a])
		}
		for b, wb := range weights {
			if served[a]*wb-served[b]*wa > wa*wb {
				rt.Fatalf("shares %v for weights %v", served, weights)
			}
		}
	}
}

// referenceModel records the requests and decisions of the stateful test in plain
// maps, from which it computes the expected bounds.
type referenceModel struct {
	mu        sync.Mutex
	capacity  int
	decisions map[model.RequestID][]*model.Refusal
	left      map[model.RequestID]bool
	requests  map[model.RequestID]Request
	admitted  map[model.RequestID]bool // as of the last check
}

func (w *referenceModel) running(match func(Request) bool) int {
	n := 0
	for id, decisions := range w.decisions {
		if len(decisions) == 1 && decisions[0] == nil && !w.left[id] && match(w.requests[id]) {
			n++
		}
	}
	return n
}

func (w *referenceModel) waiting(match func(Request) bool) int {
	n := 0
	for id, r := range w.requests {
		if len(w.decisions[id]) == 0 && match(r) {
			n++
		}
	}
	return n
}

// op is one generated step.
type op struct {
	Kind     int // 0 to 4: enter, 5 to 7: leave, 8: change the capacity, 9: sleep
	Org      int
	Priority model.Priority
	Deadline time.Duration
	Pick     int // selects the request, the capacity or the duration
}

const (
	testMaxQueue    = 4
	testMaxInFlight = 2 // MaxInFlight of organisation o0
)

// Guards against a slot that is lost or granted twice, a queue or organisation
// beyond its limit, a request that gets no decision or two, a resumed request
// that waits, and free capacity while a request could run.
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
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runOps(ops) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func runOps(ops []op) string {
	w := &referenceModel{
		capacity: 3, decisions: map[model.RequestID][]*model.Refusal{},
		left: map[model.RequestID]bool{}, requests: map[model.RequestID]Request{},
		admitted: map[model.RequestID]bool{},
	}
	pool := worker.NewPool(worker.Options{Workers: 2})
	defer pool.Close()
	m := New(Options{Pool: pool, Organisations: organisation.NewTable(), Capacity: func(string) int { return w.capacity }})
	m.Configure([]model.Organisation{{ID: "o0", Weight: 1, MaxInFlight: testMaxInFlight}, {ID: "o1", Weight: 3}},
		[]model.Model{{Name: "m", MaxQueue: testMaxQueue}})
	for n, o := range ops {
		w.step(m, n, o)
		synctest.Wait()
		if violation := w.check(); violation != "" {
			return fmt.Sprintf("step %d %+v: %s", n, o, violation)
		}
	}
	return ""
}

func (w *referenceModel) step(m *Manager, n int, o op) {
	switch {
	case o.Kind <= 4:
		w.enter(m, n, o)
	case o.Kind <= 7 && n > 0:
		id := model.RequestID(fmt.Sprint("r", o.Pick%n))
		w.mu.Lock()
		w.left[id] = true
		w.mu.Unlock()
		m.Leave(id)
	case o.Kind == 8:
		w.capacity = o.Pick % 5
		m.AdmitWaiting("m")
	default:
		time.Sleep(time.Duration(o.Pick) * 100 * time.Millisecond)
	}
}

func (w *referenceModel) enter(m *Manager, n int, o op) {
	req := Request{
		ID: model.RequestID(fmt.Sprint("r", n)), Serves: "m", Priority: o.Priority,
		Organisation: model.OrganisationID(fmt.Sprint("o", o.Org)),
	}
	if o.Deadline > 0 {
		req.Deadline = time.Now().Add(o.Deadline)
	}
	w.requests[req.ID] = req
	delete(w.left, req.ID)
	m.Enter(req, func(r *model.Refusal) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.decisions[req.ID] = append(w.decisions[req.ID], r)
	})
}

func (w *referenceModel) check() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, decisions := range w.decisions {
		if len(decisions) > 1 {
			return fmt.Sprintf("%s got %d decisions", id, len(decisions))
		}
		if w.requests[id].Priority == model.PriorityResume && decisions[0] != nil {
			return fmt.Sprintf("resume %s was refused", id)
		}
	}
	anyRequest := func(Request) bool { return true }
	resumes := func(r Request) bool { return r.Priority == model.PriorityResume }
	o0 := func(r Request) bool { return r.Organisation == "o0" }
	defer w.recordAdmitted()
	switch n := w.running(anyRequest); {
	case w.admittedNow(anyRequest) && n > w.capacity:
		return "a request was admitted beyond the capacity"
	case w.admittedNow(o0) && w.running(o0) > testMaxInFlight:
		return "a request was admitted beyond the limit of o0"
	case w.waiting(resumes) > 0:
		return "a resume waits"
	case w.waiting(anyRequest) > testMaxQueue:
		return "the queue is too long"
	case n < w.capacity && w.waiting(func(r Request) bool { return !o0(r) }) > 0:
		return "capacity is free while a request waits"
	case n < w.capacity && w.waiting(o0) > 0 && w.running(o0) < testMaxInFlight:
		return "capacity is free while o0 waits below its limit"
	}
	return ""
}

// admittedNow reports whether the last step admitted a matching request that
// is not resumed.
func (w *referenceModel) admittedNow(match func(Request) bool) bool {
	for id, decisions := range w.decisions {
		r := w.requests[id]
		if decisions[0] == nil && !w.admitted[id] && !w.left[id] && r.Priority != model.PriorityResume && match(r) {
			return true
		}
	}
	return false
}

func (w *referenceModel) recordAdmitted() {
	for id := range w.decisions {
		w.admitted[id] = true
	}
}

// Guards against priorities that are ignored, a full queue that refuses the
// wrong request, and a wait beyond the deadline.
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
		leave("first") // sets the hold time to 10 s
		enter("second", "a", model.PriorityInteractive, 0)
		enter("batch", "a", model.PriorityBatch, 0)
		enter("interactive", "a", model.PriorityInteractive, 0)
		enter("hurried", "b", model.PriorityInteractive, 5*time.Second)
		enter("more", "a", model.PriorityBatch, 0)
		enter("surplus", "a", model.PriorityBatch, 0)
		enter("other", "b", model.PriorityInteractive, time.Minute) // a's newest batch request is refused instead
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
			assert.Equal(t, len(s.Requests), 0)
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
