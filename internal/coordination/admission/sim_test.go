package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"gotest.tools/v3/assert"
)

// sim replays load on a service of calls in virtual time: callers, instances that decide
// with the functions of this package, and upstreams that queue as many calls as they have
// slots and turn away more. With present set, the instances decide as forward did
// before: each call goes to the upstream with the least known work, to the next one if that
// turns it away, and is refused with 200 ms if all do.
type sim struct {
	load
	rand      *rand.Rand // of upstreams
	arrivals  *rand.Rand // of callers, so that both ways of deciding get the same ones
	now       time.Time
	events    eventQueue
	instances []*simInstance
	upstreams []*simUpstream
	present   bool
	served    map[callKind]int // answered within the objective
	late      int              // answered after it, within the caller's time
	timedOut  int              // callers whose time passed without an answer
	asked     map[callKind]int
	sends     int
	cut       int // streams with events that did not end in the caller's time
	wasted    int // prompt tokens that engines read in part, or for a stream that did not end
}

// load is what happens in a replay.
type load struct {
	rate      func(at time.Duration) float64 // new requests/s
	caller    func(*rand.Rand) simCall       // organisation, instance and priority of the next request
	slots     func(at time.Duration, upstream int) int
	impatient bool    // callers return at once after a refusal
	leaving   float64 // fraction of callers that leave after leaveAfter
	// domain returns the failure domain to which the callers of an instance go. Instances
	// with even numbers are in domain 0, the others in domain 1. Nil means that callers stay.
	domain  func(at time.Duration, instance int) int
	perCell int // instances
	engines int // above zero, all requests are streams (sim_stream_test.go)
	loadTimes
}

// loadTimes are the length of a replay and the times of its callers.
type loadTimes struct {
	length, objective, limit time.Duration
}

var callTimes = loadTimes{simLength, simObjective, simLimit}

const (
	simSeeds      = 3
	simLength     = 10 * time.Second
	simObjective  = 150 * time.Millisecond
	simLimit      = time.Second
	simWork       = 30 * time.Millisecond
	simUpstreams  = 3
	simSlots      = 6
	simCapacity   = simUpstreams * simSlots * 33 // calls/s, about
	leaveAfter    = 60 * time.Millisecond
	maxSimReturns = 6
	simHold       = 50 * time.Millisecond
	simRoundTrip  = 5 * time.Millisecond // of callers that return at once
)

// callKind is what requests are told apart by in the figures.
type callKind struct {
	org      model.OrganisationID
	priority model.Priority
}

type simCall struct {
	callKind
	instance int
	id       model.RequestID
	first    time.Time // of the caller's first attempt
	returns  int
	tried    []int
	done     bool
	on       *simUpstream
	simStream
}

type simInstance struct {
	state *organisation.State
	own   [simUpstreams]int
}

type simUpstream struct {
	index, running int
	queue          []*simCall
	simEngine
}

type event struct {
	at   time.Time
	n    int
	what func()
}

type eventQueue struct {
	list []event
	n    int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at.Before(b.at) || (a.at.Equal(b.at) && a.n < b.n)
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (s *sim) after(d time.Duration, what func()) {
	s.events.n++
	heap.Push(&s.events, event{s.now.Add(d), s.events.n, what})
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

func replay(l load, present bool, seed uint64) *sim {
	s := &sim{load: l, rand: rand.New(rand.NewPCG(seed, 0)), arrivals: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), present: present, served: map[callKind]int{}, asked: map[callKind]int{}}
	for range l.perCell {
		s.instances = append(s.instances, &simInstance{state: &organisation.State{
			Organisations: map[model.OrganisationID]organisation.Organisation{}, Queues: map[string]*organisation.Queue{}, Requests: map[model.RequestID]organisation.RequestState{}}})
	}
	for i := range max(simUpstreams, l.engines) {
		s.upstreams = append(s.upstreams, &simUpstream{index: i})
	}
	s.arrive()
	s.checkEngines()
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.what()
	}
	return s
}

// arrive starts the next new request.
func (s *sim) arrive() {
	if s.elapsed() > s.length {
		return
	}
	c := s.caller(s.arrivals)
	if s.domain != nil {
		c.instance += s.domain(s.elapsed(), c.instance) - c.instance%2
	}
	c.first = s.now
	s.asked[c.callKind]++
	if s.arrivals.Float64() < s.leaving {
		s.after(leaveAfter, func() { s.end(&c, false) })
	}
	s.after(s.limit, func() {
		if !c.done {
			s.timedOut++
			s.end(&c, false)
		}
	})
	if s.engines > 0 {
		s.startStream(&c)
	}
	s.submit(&c)
	s.after(time.Duration(s.arrivals.ExpFloat64()/s.rate(s.elapsed())*float64(time.Second)), s.arrive)
}

// submit is one attempt of the caller.
func (s *sim) submit(c *simCall) {
	s.events.n++
	c.id, c.tried = model.RequestID(fmt.Sprint(s.events.n)), nil
	switch {
	case s.present && s.engines > 0:
		s.place(c)
	case s.present:
		s.send(c)
	default:
		s.enter(c)
	}
}

func (s *sim) enter(c *simCall) {
	in := s.instances[c.instance]
	q := in.state.Queue("s")
	req := Request{
		ID: c.id, Serves: "s", Organisation: c.org, Priority: c.priority, CallerDeadline: c.first.Add(s.limit),
		Deadline: c.first.Add(simLimit - q.HoldTime), Objective: c.first.Add(simObjective - q.HoldTime),
	}
	if s.engines > 0 {
		req = s.streamRequest(c)
	}
	s.apply(limits{maxQueue: 256, pacedReturns: true}.enter(in.state, req, s.decided(c), s.supply(), s.now))
	if place, ok := in.state.Requests[c.id]; ok && !place.Admitted {
		id := c.id
		s.after(req.Deadline.Sub(s.now), func() {
			if c.id == id {
				s.apply(limits{pacedReturns: true}.expire(in.state, req, s.supply(), s.now))
			}
		})
	}
}

// supply is the rule of forward for calls: own work alone, and as many calls as slots queue.
func (s *sim) supply() Supply {
	if s.engines > 0 {
		return s.engineSupply()
	}
	total := 0
	for i := range s.upstreams {
		total += 2 * s.slots(s.elapsed(), i)
	}
	return Supply{Slots: max(total, 1)}
}

func (s *sim) decided(c *simCall) func(*model.Refusal) {
	return func(refusal *model.Refusal) {
		switch {
		case c.done:
		case refusal == nil && s.engines > 0:
			s.place(c)
		case refusal == nil:
			s.send(c)
		case refusal.Code != CodeCancelled:
			s.refused(c, refusal.RetryAfter)
		}
	}
}

func (s *sim) apply(decisions []decision) {
	for _, d := range decisions {
		d.onDecision(d.refusal)
	}
}

func (s *sim) refused(c *simCall, after time.Duration) {
	if s.impatient {
		after = simRoundTrip
	}
	if c.returns++; c.returns > maxSimReturns && !s.impatient {
		s.end(c, false)
		return
	}
	s.after(after, func() {
		if !c.done {
			s.submit(c)
		}
	})
}

// send sends the call to the upstream with the least known work that it has not tried.
func (s *sim) send(c *simCall) {
	in, best := s.instances[c.instance], -1
	for _, i := range s.rand.Perm(simUpstreams) {
		if s.slots(s.elapsed(), i) > 0 && !slices.Contains(c.tried, i) && (best < 0 || in.own[i] < in.own[best]) {
			best = i
		}
	}
	if best < 0 && len(c.tried) == 0 { // none is known: forward holds the request in both cases
		s.leave(c, false)
		s.after(simHold, func() {
			if !c.done {
				s.submit(c)
			}
		})
		return
	}
	if best < 0 {
		s.turnedAway(c)
		return
	}
	s.sends++
	up, slots := s.upstreams[best], s.slots(s.elapsed(), best)
	if up.running+len(up.queue) >= 2*slots {
		c.tried = append(c.tried, best)
		if s.present || !s.now.Before(in.state.Queue("s").FullUntil) {
			s.send(c)
			return
		}
		s.waitAgain(c, false)
		return
	}
	in.own[best]++
	c.on = up
	up.queue = append(up.queue, c)
	s.run(up)
}

// turnedAway ends an attempt that all upstreams turned away.
func (s *sim) turnedAway(c *simCall) {
	if s.present {
		s.refused(c, 200*time.Millisecond)
		return
	}
	s.waitAgain(c, true)
}

func (s *sim) waitAgain(c *simCall, full bool) {
	in := s.instances[c.instance]
	q := in.state.Queue("s")
	pause := max(q.HoldTime, 5*time.Millisecond)
	if full {
		markFull(q, pause, s.now)
	}
	s.leave(c, false)
	s.after(TurnedAwayPause(pause, c.first.Add(s.objective-q.HoldTime), s.now), func() {
		if !c.done {
			c.tried = nil
			s.enter(c)
		}
	})
}

func (s *sim) run(up *simUpstream) {
	for up.running < s.slots(s.elapsed(), up.index) && len(up.queue) > 0 {
		c := up.queue[0]
		up.queue = up.queue[1:]
		up.running++
		s.after(time.Duration((0.5+s.rand.Float64())*float64(simWork)), func() {
			up.running--
			s.end(c, true)
			s.run(up)
		})
	}
}

// end ends the caller's request, which may have been answered.
func (s *sim) end(c *simCall, answered bool) {
	if s.engines > 0 {
		s.removeStream(c)
	} else if c.on != nil && answered {
		s.instances[c.instance].own[c.on.index]--
	}
	if c.done {
		return
	}
	c.done = true
	if took := s.now.Sub(c.first); s.engines > 0 {
		s.countStream(c, answered)
	} else if answered && took <= simObjective {
		s.served[c.callKind]++
	} else if answered {
		s.late++
	}
	if c.on != nil && !answered && s.engines == 0 {
		if i := slices.Index(c.on.queue, c); i >= 0 { // the upstream drops what it has not begun
			c.on.queue = slices.Delete(c.on.queue, i, i+1)
			s.instances[c.instance].own[c.on.index]--
		}
	}
	s.leave(c, true)
}

func (s *sim) leave(c *simCall, ran bool) {
	if s.present {
		return
	}
	in := s.instances[c.instance]
	decisions, _ := leave(in.state, c.id, ran, s.now)
	s.apply(append(decisions, admitWaiting(in.state, "s", s.supply(), s.now)...))
}

func total(counts map[callKind]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// fraction is the part of the matching requests that were served in their objective.
func (s *sim) fraction(match func(callKind) bool) float64 {
	asked, served := 0, 0
	for kind, n := range s.asked {
		if match(kind) {
			asked += n
			served += s.served[kind]
		}
	}
	return float64(served) / float64(max(asked, 1))
}

// add adds the figures of another replay.
func (s *sim) add(o *sim) {
	for kind, n := range o.asked {
		s.asked[kind] += n
		s.served[kind] += o.served[kind]
	}
	s.late, s.timedOut, s.sends = s.late+o.late, s.timedOut+o.timedOut, s.sends+o.sends
	s.cut, s.wasted = s.cut+o.cut, s.wasted+o.wasted
}

const (
	nameCalm              = "calm"
	nameShift             = "a shift of callers between domains"
	nameLargeOrganisation = "one organisation at 20 times its share"
)

// simInstances is the number of instances that callers choose from.
const simInstances = 4

func anyCaller(r *rand.Rand) simCall {
	return simCall{
		callKind: callKind{model.OrganisationID(fmt.Sprint("o", r.IntN(8))), model.PriorityInteractive + model.Priority(r.IntN(2))},
		instance: r.IntN(simInstances),
	}
}

// Guards against overload that is served worse than without a queue: fewer requests within
// their objective, callers that wait in vain, sends that upstreams turn away, an urgent
// request that is served worse than a less urgent one, and a class or an organisation that
// starves. In calm load nothing may differ.
func TestReplay(t *testing.T) {
	steady := func(share float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return share * simCapacity }
	}
	burst := func(low, high float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at > 3*time.Second && at < 6*time.Second {
				return high * simCapacity
			}
			return low * simCapacity
		}
	}
	all := func(time.Duration, int) int { return simSlots }
	lost := func(ups ...int) func(time.Duration, int) int {
		return func(at time.Duration, up int) int {
			if n := slices.Index(ups, up); n >= 0 && at > time.Duration(2+2*n)*time.Second && at < 7*time.Second {
				return 0
			}
			return simSlots
		}
	}
	base := load{rate: steady(0.6), caller: anyCaller, slots: all, perCell: simInstances, loadTimes: callTimes}
	for _, c := range []struct {
		name   string
		change func(*load)
	}{
		{nameCalm, func(*load) {}},
		{"burst x3", func(l *load) { l.rate = burst(0.6, 1.8) }},
		{"callers return at once", func(l *load) { l.rate, l.impatient = burst(0.6, 1.8), true }},
		{"callers leave early", func(l *load) { l.rate, l.leaving = burst(0.6, 1.8), 0.3 }},
		{"a failure domain lost, then the next", func(l *load) { l.slots = lost(0, 1) }},
		{"all back at once", func(l *load) {
			l.slots = func(at time.Duration, _ int) int {
				if at > 3*time.Second && at < 3500*time.Millisecond {
					return 0
				}
				return simSlots
			}
		}},
		{"planned removal beside a burst", func(l *load) { l.rate, l.slots = burst(0.6, 1.2), lost(0) }},
		{"empty state at start", func(l *load) { l.rate = steady(1.3) }},
		{"one key with most of the traffic, at one instance", func(l *load) {
			l.rate = burst(0.6, 1.8)
			l.caller = func(r *rand.Rand) simCall {
				c := anyCaller(r)
				if r.IntN(10) < 8 {
					c.instance, c.org = 0, "o0"
				}
				return c
			}
		}},
		{nameShift, func(l *load) {
			l.rate = steady(1.2)
			l.domain = func(at time.Duration, instance int) int {
				if at > 3*time.Second && at < 6*time.Second {
					return 0
				}
				return instance % 2
			}
		}},
		{nameLargeOrganisation, func(l *load) {
			l.rate = burst(0.6, 1.8)
			l.caller = func(r *rand.Rand) simCall {
				c := anyCaller(r)
				if r.IntN(27) < 20 { // 20 times the share of each of seven others
					c.org = "o0"
				}
				return c
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := base
			c.change(&l)
			before, after := replay(l, true, 1), replay(l, false, 1)
			for seed := uint64(2); seed <= simSeeds; seed++ {
				before.add(replay(l, true, seed))
				after.add(replay(l, false, seed))
			}
			urgent := func(k callKind) bool { return k.priority == model.PriorityInteractive }
			lessUrgent := func(k callKind) bool { return !urgent(k) }
			show := func(s *sim) string {
				return fmt.Sprintf("in objective %d, late %d, no answer in time %d, of %d; sends %d; in objective: urgent %.3f, less urgent %.3f",
					total(s.served), s.late, s.timedOut, total(s.asked), s.sends, s.fraction(urgent), s.fraction(lessUrgent))
			}
			t.Logf("present:   %s", show(before))
			t.Logf("admission: %s", show(after))
			if c.name == nameCalm {
				assert.Equal(t, total(after.served), total(after.asked))
				assert.Equal(t, after.sends, total(after.asked))
				return
			}
			assert.Check(t, total(after.served) >= total(before.served), "requests served in their objective")
			assert.Check(t, after.sends <= before.sends, "sends")
			assert.Check(t, l.impatient || after.timedOut <= before.timedOut, "callers without an answer in time")
			assert.Check(t, after.fraction(urgent) >= after.fraction(lessUrgent), "the urgent ones are served worse")
			for kind := range after.asked {
				assert.Check(t, after.served[kind] > 0, "%v starves", kind)
			}
			if c.name == nameLargeOrganisation {
				large := after.fraction(func(k callKind) bool { return urgent(k) && k.org == "o0" })
				small := after.fraction(func(k callKind) bool { return urgent(k) && k.org != "o0" })
				t.Logf("urgent requests of the small organisations %.3f, of the large one %.3f", small, large)
				assert.Check(t, small >= large)
				assert.Check(t, small >= 0.98, "the small organisations are served worse than in calm load")
			}
		})
	}
}
