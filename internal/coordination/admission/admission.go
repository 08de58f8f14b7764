// Package admission decides when a generation may run. Each model has bounded
// queues with priorities, deadlines and fair shares by organisation.
package admission

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// Options configure a Manager. All fields are required.
type Options struct {
	Pool          *worker.Pool
	Organisations *organisation.Table
	// Capacity returns the number of requests that this instance may currently
	// have in flight for the model. It is called without a lock held.
	Capacity func(serves string) int
}

// Request asks for admission.
type Request struct {
	ID           model.RequestID
	Serves       string // name of the model
	Organisation model.OrganisationID
	Priority     model.Priority
	Deadline     time.Time // latest time of admission; zero means none
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
// A resumed generation is admitted at once, even beyond the capacity.
func (m *Manager) Enter(req Request, onDecision func(*model.Refusal)) {
	onDecision = m.metrics.withMetrics(req, onDecision)
	capacity := m.Capacity(req.Serves)
	var decisions []decision
	m.Organisations.Update(func(s *organisation.State) {
		decisions = enter(s, req, onDecision, capacity, time.Now())
	})
	m.postDecisions(decisions)
	if !req.Deadline.IsZero() && !decided(decisions, req.ID) {
		m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(func() { m.expire(req) }))
	}
}

// expire refuses a request that still waits at its deadline.
func (m *Manager) expire(req Request) {
	var decisions []decision
	m.Organisations.Update(func(s *organisation.State) {
		decisions = refuseWaiting(s, req.ID, refuseDeadline())
	})
	m.postDecisions(decisions)
}

// Leave ends a waiting or admitted request and admits those that can now run.
// A request that still waits is refused with the code "cancelled".
func (m *Manager) Leave(id model.RequestID) {
	var decisions []decision
	var unblocked []string
	m.Organisations.Update(func(s *organisation.State) {
		decisions, unblocked = leave(s, id, time.Now())
	})
	m.postDecisions(decisions)
	for _, serves := range unblocked {
		m.AdmitWaiting(serves)
	}
}

// AdmitWaiting admits waiting requests after the model's capacity changed.
func (m *Manager) AdmitWaiting(serves string) {
	capacity := m.Capacity(serves)
	var decisions []decision
	m.Organisations.Update(func(s *organisation.State) {
		decisions = admitWaiting(s, serves, capacity, time.Now())
	})
	m.postDecisions(decisions)
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
}

func decided(decisions []decision, id model.RequestID) bool {
	return slices.ContainsFunc(decisions, func(d decision) bool { return d.request == id })
}

func (m *Manager) postDecisions(decisions []decision) {
	for _, d := range decisions {
		m.Pool.Post(worker.Key(d.request), worker.Func(func() { d.onDecision(d.refusal) }))
	}
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
