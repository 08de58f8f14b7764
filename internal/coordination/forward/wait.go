package forward

import (
	"math"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/admission"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// A request asks package admission for a place before each placement without one. It keeps
// the place until it ends, or until it waits for something other than room.

const (
	// maxWaitingRequests bounds the requests of a service that wait for room.
	maxWaitingRequests = 256
	// maxWaitingBytes bounds the bodies of all requests that wait for room. An instance
	// may have as little as 136 MB of memory.
	maxWaitingBytes = 16 << 20
	// requestOverhead is the memory that a waiting request takes besides its body.
	requestOverhead = 4 << 10
	// roomCheckInterval is the time after which a queue looks for room again. Room that
	// other instances leave is not announced.
	roomCheckInterval = 20 * time.Millisecond
	// engineSupplyTTL is how long the supply of a service with engines is used. It takes 0.5 ms
	// to compute over 180 engines, which is too much for each arrival.
	engineSupplyTTL = 50 * time.Millisecond
	// queuedPerSlot is the number of calls per slot that may be sent beyond the slots.
	// Upstreams queue a few calls, and one that waits there starts without the way of a
	// message when a slot becomes free.
	queuedPerSlot = 1
	// maxRunShare is the part of a request's remaining time that is kept for its run at
	// most. The mean time that requests of a service take does not hold for a short request
	// beside long ones.
	maxRunShare = 1.0 / 3
	// minFullTime and maxFullTime bound the time for which a service counts as full after
	// its upstreams turned a request away. Within the mean time that a call takes, each
	// of their slots becomes free once.
	minFullTime = 5 * time.Millisecond
	maxFullTime = 100 * time.Millisecond
)

// newAdmission returns the manager of this instance's waiting requests.
func (m *Manager) newAdmission() *admission.Manager {
	return admission.New(admission.Options{
		Pool:           m.opts.Pool,
		Organisations:  m.opts.Organisations,
		Supply:         m.currentSupply,
		Recheck:        roomCheckInterval,
		MaxQueue:       maxWaitingRequests,
		MaxBytes:       maxWaitingBytes,
		PacedReturns:   true,
		WaitingChanged: m.opts.Demand.SetWaiting,
		Log:            m.opts.Log,
	})
}

// supplyCache holds the latest supply of each service with engines. Admission subtracts what
// it admits from the cached memory, under the lock of its table, so that the memory is not
// granted twice. What ends meanwhile counts in the next supply.
type supplyCache struct {
	mu       sync.Mutex // leaf lock: no other lock is taken while it is held
	supplies map[string]cachedSupply
}

type cachedSupply struct {
	admission.Supply
	at time.Time
}

func (c *supplyCache) get(service string, now time.Time) (admission.Supply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, found := c.supplies[service]
	return cached.Supply, found && now.Sub(cached.at) < engineSupplyTTL
}

func (c *supplyCache) set(service string, supply admission.Supply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.supplies == nil {
		c.supplies = map[string]cachedSupply{}
	}
	c.supplies[service] = cachedSupply{supply, now}
}

// currentSupply returns what the service can take, at most engineSupplyTTL old.
func (m *Manager) currentSupply(service string) admission.Supply {
	if m.engineTraits(service) == nil {
		return m.supplyOf(service)
	}
	now := time.Now()
	if supply, found := m.supplies.get(service, now); found {
		return supply
	}
	supply := m.supplyOf(service)
	if supply.Engines.Limited { // an unknown supply is asked for again, engines may come at any time
		m.supplies.set(service, supply, now)
	}
	return supply
}

// supplyOf returns what the service can take.
func (m *Manager) supplyOf(service string) admission.Supply {
	now := time.Now()
	traits := m.engineTraits(service)
	rows := m.servingUpstreams(service, now)
	if traits == nil {
		return admission.Supply{Slots: m.callSlots(service, rows, now)}
	}
	totals := m.opts.Commitments.Totals(now)
	slots, nextFree := m.streamSlots(service, now)
	return admission.Supply{
		Slots:    slots,
		NextFree: nextFree,
		Engines:  engineMemory(traits, rows, totals),
		Age:      m.opts.Commitments.OldestReport(now),
	}
}

// callSlots returns the number of calls that this instance may have in flight. Upstreams
// queue some beyond their slots.
func (m *Manager) callSlots(service string, rows []upstream.Row, now time.Time) int {
	room := localRoom(rows, m.opts.Commitments.Local())
	if !room.Known {
		return admission.Unlimited
	}
	return capacityFrom(room, m.opts.Demand.Service(service, now).InFlight, totalSlots(rows))
}

// streamSlots returns the number of streams that this instance may have in flight, by what
// all instances run and wait for, and the expected time until it may have one more. At least
// one may run, as with calls.
func (m *Manager) streamSlots(service string, now time.Time) (slots int, nextFree time.Duration) {
	room := m.Room(service)
	if !room.Known {
		return admission.Unlimited, 0
	}
	return max(m.opts.Demand.Service(service, now).InFlight+room.Granted, 1), room.NextFree
}

// capacityFrom returns the number of requests that this instance may have in flight, from
// those that it has and the room for more. At least one may run: its outcome shows whether
// an estimate of a full service is right. While there is room, one more may run however small
// this instance's share of it is, since the share is an estimate.
func capacityFrom(room capacity.Room, own, queueing int) int {
	free := room.Share * (room.Slots + float64(queuedPerSlot*queueing))
	return max(own+int(math.Ceil(max(free, 0))), 1)
}

// localRoom returns the free slots beside this instance's work. The work of other instances
// counts only for streams: a call ends before its report arrives, and would make a service
// look full that is not.
func localRoom(rows []upstream.Row, work map[model.UpstreamID]commitment.Work) capacity.Room {
	room := capacity.Room{Known: len(rows) > 0, MemoryTokens: math.Inf(1), Share: 1}
	for _, row := range rows {
		if row.Upstream.Slots <= 0 {
			return capacity.Room{}
		}
		room.Slots += float64(row.Upstream.Slots - work[row.Upstream.ID].Requests)
	}
	return room
}

func totalSlots(rows []upstream.Row) int {
	n := 0
	for _, row := range rows {
		n += max(row.Upstream.Slots, 0)
	}
	return n
}

// servingUpstreams returns the service's upstreams that take requests, those that are
// suspected to have failed only if there are no others.
func (m *Manager) servingUpstreams(service string, now time.Time) []upstream.Row {
	ready, suspected := splitByFailure(m.opts.Upstreams.Serving(service), m.outagesOf(service, now), nil, now)
	if len(ready) == 0 {
		return suspected
	}
	return ready
}

func (m *Manager) engineTraits(service string) *model.EngineTraits {
	current := m.opts.Rules.Index()
	if current == nil {
		return nil
	}
	s, _ := current.Service(service)
	return s.Engine
}

// engineMemory returns the memory of the engines. While none is known, memory does not limit
// the service, since the placement handles that case.
func engineMemory(traits *model.EngineTraits, rows []upstream.Row, totals map[model.UpstreamID]commitment.Work) admission.Engines {
	if traits.MemoryTokens == 0 || len(rows) == 0 {
		return admission.Engines{}
	}
	engines := admission.Engines{Limited: true, Free: make([]int, 0, len(rows))}
	limit := usableMemory(traits)
	for _, row := range rows {
		load := totals[row.Upstream.ID]
		engines.Free = append(engines.Free, limit-load.MemoryTokens-load.CopyTokens)
		engines.Running += load.Requests
	}
	return engines
}

func usableMemory(traits *model.EngineTraits) int {
	return int(capacity.MemoryFillLimit * float64(traits.MemoryTokens))
}

// neededMemory returns the memory that an engine must have free for the stream. A stream
// that needs more than an engine's usable memory gets an empty engine.
func (r *activeRequest) neededMemory() int {
	if !r.route.Stream || r.service.Engine == nil || r.service.Engine.MemoryTokens == 0 {
		return 0
	}
	return min(r.demand().memoryTokens, usableMemory(r.service.Engine))
}

// enter asks for a place and calls next when the request has one.
func (r *activeRequest) enter(next func()) {
	if r.entering {
		return
	}
	r.entering = true
	r.entry++
	entry := r.entry
	r.m.admission.Enter(r.admissionRequest(), func(refusal *model.Refusal) {
		if r.ended || r.entry != entry || !r.entering {
			return
		}
		r.entering = false
		if refusal != nil {
			r.settleUnadmitted(refusal)
			return
		}
		r.admitted, r.admittedBefore = true, true
		next()
	})
}

// takePlace gives the request a place at once if it has none.
func (r *activeRequest) takePlace() {
	if r.admitted {
		return
	}
	r.leaveAdmission()
	r.entry++
	r.admitted = true
	r.m.admission.Take(r.admissionRequest())
}

func (r *activeRequest) admissionRequest() admission.Request {
	now := time.Now()
	hold := r.holdTime(now)
	callerDeadline := r.req.Deadline
	if callerDeadline.IsZero() {
		callerDeadline = r.deadline
	}
	return admission.Request{
		ID:             model.RequestID(r.key), // the caller may use one ID for several attempts
		Serves:         r.service.Name,
		Organisation:   r.organisation,
		Priority:       r.admissionPriority(),
		Deadline:       r.latestStart(now, hold),
		AnswerDeadline: r.deadline,
		Objective:      r.objectiveStart(hold),
		CallerDeadline: callerDeadline,
		Bytes:          len(r.req.Body) + requestOverhead,
		MemoryTokens:   r.neededMemory(),
		CallerID:       string(r.req.ID),
		Continues:      r.route.Stream && r.stream.delivered > 0,
		Again:          r.admittedBefore,
	}
}

// admissionPriority returns the class in which the request waits. Streams whose responses
// this instance has begun go before all others. A position that a caller claims does not
// suffice: it would give any caller a way past the slots and its organisation's limit.
func (r *activeRequest) admissionPriority() model.Priority {
	if r.route.Stream && r.response.begun {
		return model.PriorityResume
	}
	return min(model.PriorityInteractive+model.Priority(max(r.priority, 0)), model.PriorityLowest)
}

// holdTime returns the mean time that a request of the service takes; zero means unknown.
func (r *activeRequest) holdTime(now time.Time) time.Duration {
	return r.m.opts.Demand.Service(r.service.Name, now).HoldTime
}

// latestStart returns the time until which the request waits for a place, so that it may
// end in time; zero means that there is none.
func (r *activeRequest) latestStart(now time.Time, hold time.Duration) time.Time {
	if r.deadline.IsZero() {
		return time.Time{}
	}
	if r.route.Stream && r.stream.delivered > 0 {
		return r.deadline
	}
	reserve := min(hold, time.Duration(maxRunShare*float64(r.deadline.Sub(now))))
	latest := r.deadline.Add(-max(reserve, 0))
	if r.route.Stream {
		latest = earlier(latest, r.req.Arrived.Add(r.placementLimit()))
	}
	return latest
}

// objectiveStart returns the latest time at which the request may start to meet the latency
// objective of its route; zero means that there is none.
func (r *activeRequest) objectiveStart(hold time.Duration) time.Time {
	if r.route.Objective == 0 {
		return time.Time{}
	}
	at := r.req.Arrived.Add(r.route.Objective)
	if r.route.Stream { // the objective is for the first event
		return at.Add(-time.Duration(float64(r.demand().prefillTokens) / assumedPrefillRate * float64(time.Second)))
	}
	return at.Add(-hold)
}

// settleUnadmitted ends a request that gets no place. If an upstream may have run it, it is
// not refused as not run.
func (r *activeRequest) settleUnadmitted(refusal *model.Refusal) {
	switch {
	case r.executions == 0 && !r.hasLastFailure:
		r.refuse(refusal)
	case r.route.Stream:
		r.settleStream()
	default:
		r.settleCall()
	}
}

// leaveAdmission gives the place up, or stops to wait for one.
func (r *activeRequest) leaveAdmission() {
	if r.admitted || r.entering {
		r.admitted, r.entering = false, false
		if r.executions > 0 {
			r.m.admission.Leave(model.RequestID(r.key))
		} else {
			r.m.admission.Return(model.RequestID(r.key))
		}
	}
}

// handleTurnedAway continues a call that no upstream has run after one turned it away. It
// goes to another upstream at once only while the service does not count as full: under
// overload, further sends would use up the shared budget to be turned away again.
func (r *activeRequest) handleTurnedAway(a *attempt) {
	r.executions--
	r.tried[a.upstream.ID] = true
	r.logAttempt(a, "upstream is full")
	now := time.Now()
	if !r.m.admission.IsFull(r.service.Name, now) && len(r.m.usableUpstreams(r, now)) > 0 && r.mayResend() {
		r.m.metrics.countResend(r.service.Name, "upstream is full")
		r.placeCall()
		return
	}
	r.waitAgain()
}

// waitAgain has a call that the upstreams turned away wait for room again.
func (r *activeRequest) waitAgain() {
	now := time.Now()
	hold := r.holdTime(now)
	pause := min(max(hold, minFullTime), maxFullTime)
	if len(r.m.usableUpstreams(r, now)) == 0 {
		r.m.admission.MarkFull(r.service.Name, pause)
	}
	r.leaveAdmission()
	pause = admission.TurnedAwayPause(pause, r.objectiveStart(hold), now)
	if latest := r.latestStart(now, hold); !latest.IsZero() && now.Add(pause).After(latest) {
		r.settleCall()
		return
	}
	r.m.metrics.countTurnedAway(r.service.Name)
	r.m.opts.Pool.After(pause, r.key, worker.Func(func() {
		if !r.ended {
			clear(r.tried)
			r.enter(r.sendAgain)
		}
	}))
}

// sendAgain sends a call that waited after upstreams turned it away. The shared budget
// counts this send as every further one, but does not end the call.
func (r *activeRequest) sendAgain() {
	if !r.mayResend() {
		r.waitAgain()
		return
	}
	r.m.metrics.countResend(r.service.Name, "turned away")
	r.placeCall()
}

// busyRefusal returns the refusal of a request that no upstream can take now.
func (r *activeRequest) busyRefusal() *model.Refusal {
	refusal := refuseBusy(r.service.Name)
	refusal.RetryAfter = r.m.admission.RetryAfter(r.admissionRequest())
	return refusal
}
