// Package admission decides whether a request runs, waits or is refused. Each service
// (a model, for generations) has bounded queues with priorities, deadlines and fair shares
// by organisation. It answers loads beyond what the upstreams can take: bursts, an
// organisation that asks for many times its share, callers that return at once, and losses
// of upstreams. It does not choose upstreams.
package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// Options configure a Manager. Pool, Organisations and one of Capacity and Supply are
// required.
type Options struct {
	Pool          *worker.Pool
	Organisations *organisation.Table
	// Capacity returns the number of requests that this instance may currently
	// have in flight for the model. It is called without a lock held.
	Capacity func(serves string) int
	// Supply is used in place of Capacity where the memory of engines limits a service too.
	// It is called without a lock held.
	Supply func(serves string) Supply
	// Recheck is the time after which a queue looks for room again, for capacity whose
	// changes are not announced by AdmitWaiting. Zero means that all are announced.
	Recheck time.Duration
	// MaxQueue is the queue length of services without one; zero means defaultMaxQueue.
	MaxQueue int
	// MaxBytes bounds the memory of all waiting requests; zero means that it is not bounded.
	MaxBytes int
	// PacedReturns gives refused callers times of return in fractions of seconds, one after
	// the other. Otherwise Retry-After is the expected wait in whole seconds.
	PacedReturns bool
	// WaitingChanged is called without a lock held after the number of waiting requests may
	// have changed. It may be nil.
	// Calls may overtake each other: the highest change has the present number.
	WaitingChanged func(serves string, waiting int, change uint64)
	// Log gets a line for each refusal and for each request that waited. It may be nil.
	Log log.Interface
}

// Request asks for admission.
type Request struct {
	ID           model.RequestID
	Serves       string // name of the model
	Organisation model.OrganisationID
	Priority     model.Priority
	Deadline     time.Time // until which it waits for admission; zero means none
	// AnswerDeadline is the time at which the answer is due. Until then the request is
	// admitted if there is room at its entry, also after Deadline. Zero means Deadline.
	AnswerDeadline time.Time
	// Objective is the latest time of admission that meets the latency objective; zero
	// means none. A request that missed it goes behind those that can still meet theirs.
	Objective time.Time
	// CallerDeadline is the time until which the caller waits; zero means unknown.
	CallerDeadline time.Time
	Bytes          int    // memory that the request takes while it waits
	MemoryTokens   int    // memory that the request needs of one engine
	CallerID       string // the caller's name of the request, for the log; several may carry one
	Continues      bool   // continues a stream of which the caller has a part; first in its turn
	Again          bool   // has been admitted before and is already counted
}

// Manager queues, admits and refuses the requests of all models.
type Manager struct {
	Options
	metrics *metrics
}

// New returns a Manager.
func New(opts Options) *Manager {
	return &Manager{Options: opts, metrics: newMetrics(opts.Organisations)}
}

// Enter asks for a slot. onDecision is called exactly once, on a worker under
// the request's key: with nil when the request may run, else with the refusal.
// A resumed request is admitted even beyond the capacity. It waits only for memory.
func (m *Manager) Enter(req Request, onDecision func(*model.Refusal)) {
	onDecision = m.metrics.withMetrics(req, onDecision)
	var timer expiryTimer
	if !req.Deadline.IsZero() {
		notify := onDecision
		onDecision = func(refusal *model.Refusal) {
			timer.stop()
			notify(refusal)
		}
	}
	decisions := m.decide(req.Serves, func(s *organisation.State, p Supply, now time.Time) []decision {
		return m.limits().enter(s, req, onDecision, p, now)
	})
	if !req.Deadline.IsZero() && !decided(decisions, req.ID) {
		timer.set(m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(func() { m.expire(req) })))
	}
}

// expiryTimer ends the wait of one request. The request may be decided before its timer is
// known.
type expiryTimer struct {
	mu      sync.Mutex // leaf lock: only the pool's own lock is taken while it is held
	timer   *worker.Timer
	stopped bool
}

func (t *expiryTimer) set(timer *worker.Timer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer = timer; t.stopped {
		timer.Stop()
	}
}

func (t *expiryTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// Take admits a request at once and without conditions, unless it is admitted already. It is
// for work whose room is taken elsewhere and that must not wait.
func (m *Manager) Take(req Request) {
	m.Organisations.Update(func(s *organisation.State) {
		if _, known := s.Requests[req.ID]; !known {
			now := time.Now()
			grantSlot(s, req.Serves, waitingOf(req, nil, now), now)
		}
	})
}

// expire refuses a request that still waits at its deadline.
func (m *Manager) expire(req Request) {
	m.decide(req.Serves, func(s *organisation.State, p Supply, now time.Time) []decision {
		return m.limits().expire(s, req, p, now)
	})
}

// limits returns the options that the decisions depend on.
func (m *Manager) limits() limits {
	return limits{maxQueue: m.MaxQueue, maxBytes: m.MaxBytes, pacedReturns: m.PacedReturns}
}

func (m *Manager) supply(serves string) Supply {
	if m.Supply != nil {
		return m.Supply(serves)
	}
	return Supply{Slots: m.Capacity(serves)}
}

// decide makes decisions on the service's queue, posts them and returns them.
func (m *Manager) decide(serves string, change func(*organisation.State, Supply, time.Time) []decision) []decision {
	p := m.supply(serves)
	var decisions []decision
	waiting, numbered, recheck := 0, uint64(0), false
	m.Organisations.Update(func(s *organisation.State) {
		decisions = change(s, p, time.Now())
		if q, known := s.Queues[serves]; known {
			for i := range decisions {
				decisions[i].inputs = inputs{Slots: p.Slots, InFlight: q.InFlight, Waiting: q.Len(), HoldTime: q.HoldTime, Age: p.Age}
			}
			q.Decisions++
			waiting, numbered = q.Len(), q.Decisions
			recheck = m.Recheck > 0 && waiting > 0 && !q.RecheckPending
			q.RecheckPending = q.RecheckPending || recheck
		}
	})
	if recheck {
		m.Pool.After(m.Recheck, recheckKey(serves), worker.Func(func() { m.recheck(serves) }))
	}
	if m.WaitingChanged != nil && numbered > 0 {
		m.WaitingChanged(serves, waiting, numbered)
	}
	m.postDecisions(decisions)
	return decisions
}

// recheckKey is the key of the items that look for room for the service's queue.
func recheckKey(serves string) worker.Key { return worker.Key("admission/" + serves) }

func (m *Manager) recheck(serves string) {
	m.Organisations.Update(func(s *organisation.State) { s.Queue(serves).RecheckPending = false })
	m.AdmitWaiting(serves)
}

// MarkFull records that all upstreams of the service turned an admitted request away. pause
// is the time that a request takes.
func (m *Manager) MarkFull(serves string, pause time.Duration) {
	m.Organisations.Update(func(s *organisation.State) { markFull(s.Queue(serves), pause, time.Now()) })
}

// IsFull reports whether all upstreams of the service turned a request away within the last
// pause.
func (m *Manager) IsFull(serves string, now time.Time) bool {
	full := false
	m.Organisations.Update(func(s *organisation.State) {
		if q, known := s.Queues[serves]; known {
			full = now.Before(q.FullUntil)
		}
	})
	return full
}

// RetryAfter returns the time after which a caller should return whose request is refused
// for another cause than the queue.
func (m *Manager) RetryAfter(req Request) time.Duration {
	p, now := m.supply(req.Serves), time.Now()
	var after time.Duration
	m.Organisations.Update(func(s *organisation.State) {
		q := s.Queue(req.Serves)
		wait, _ := p.drainTime(q, q.Len()+1)
		after = m.limits().retryAfter(q, waitingOf(req, nil, now), wait, p.places(), now)
	})
	return after
}

// Leave ends a waiting or admitted request and admits those that can now run.
// A request that still waits is refused with the code "cancelled".
func (m *Manager) Leave(id model.RequestID) { m.leave(id, true) }

// Return is Leave for a request that has not run, although it may have been admitted. Its
// time does not count as one that requests take.
func (m *Manager) Return(id model.RequestID) { m.leave(id, false) }

func (m *Manager) leave(id model.RequestID, ran bool) {
	var decisions []decision
	var unblocked []string
	m.Organisations.Update(func(s *organisation.State) {
		decisions, unblocked = leave(s, id, ran, time.Now())
	})
	m.postDecisions(decisions)
	for _, serves := range unblocked {
		m.AdmitWaiting(serves)
	}
}

// AdmitWaiting admits waiting requests after the model's capacity changed.
func (m *Manager) AdmitWaiting(serves string) {
	m.decide(serves, func(s *organisation.State, p Supply, now time.Time) []decision {
		return admitWaiting(s, serves, p, now)
	})
}

// Configure puts a document's organisations and models in force.
func (m *Manager) Configure(organisations []model.Organisation, models []model.Model) {
	m.Organisations.Update(func(s *organisation.State) {
		configureOrganisations(s, organisations)
		configureModels(s, models)
	})
	for _, served := range models {
		m.AdmitWaiting(served.Name)
	}
}

// decision is the admission (a nil refusal) or the refusal of one request. It is
// passed to onDecision once the lock of the table is released.
type decision struct {
	request    model.RequestID
	onDecision func(*model.Refusal)
	refusal    *model.Refusal
	waiting    organisation.Waiting
	at         time.Time
	inputs     inputs
}

// inputs are the figures that a decision was made on, as they are after it.
type inputs struct {
	Slots, InFlight, Waiting int
	HoldTime, Age            time.Duration
}

func decided(decisions []decision, id model.RequestID) bool {
	return slices.ContainsFunc(decisions, func(d decision) bool { return d.request == id })
}

func (m *Manager) postDecisions(decisions []decision) {
	for _, d := range decisions {
		m.logDecision(d)
		m.Pool.Post(worker.Key(d.request), worker.Func(func() { d.onDecision(d.refusal) }))
	}
}

// logDecision logs a refusal, or the admission of a request that waited.
func (m *Manager) logDecision(d decision) {
	waited := d.at.Sub(d.waiting.Entered)
	if m.Log == nil || d.waiting.CallerID == "" || (d.refusal == nil && waited <= 0) {
		return
	}
	entry := m.Log.WithFields(log.Fields{
		"request_id":   d.waiting.CallerID,
		"organisation": string(d.waiting.Organisation),
		"priority":     int(d.waiting.Priority),
		"slots":        d.inputs.Slots,
		"in_flight":    d.inputs.InFlight,
		"waiting":      d.inputs.Waiting,
		"age_ms":       d.inputs.Age.Milliseconds(),
		"hold_ms":      d.inputs.HoldTime.Milliseconds(),
		"waited_ms":    waited.Milliseconds(),
	})
	if !d.waiting.Deadline.IsZero() {
		entry = entry.WithField("latest_start_ms", d.waiting.Deadline.Sub(d.at).Milliseconds())
	}
	if d.refusal == nil {
		entry.Info("admitted after a wait")
		return
	}
	entry.WithField("retry_after_ms", d.refusal.RetryAfter.Milliseconds()).Info("not admitted: " + d.refusal.Code)
}

func configureOrganisations(s *organisation.State, list []model.Organisation) {
	for id, o := range s.Organisations {
		s.Organisations[id] = organisation.Organisation{InFlight: o.InFlight}
		if o.InFlight == 0 {
			delete(s.Organisations, id)
		}
	}
	for _, in := range list {
		o := s.Organisations[in.ID]
		o.Weight, o.MaxInFlight, o.Configured = in.Weight, in.MaxInFlight, true
		s.Organisations[in.ID] = o
	}
}

func configureModels(s *organisation.State, list []model.Model) {
	configured := map[string]bool{}
	for _, in := range list {
		configured[in.Name] = true
		s.Queue(in.Name).MaxQueue = in.MaxQueue
	}
	for name, q := range s.Queues {
		if !configured[name] && q.InFlight == 0 && q.Len() == 0 {
			delete(s.Queues, name)
		}
	}
}
