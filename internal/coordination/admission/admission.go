// Package admission decides when a generation may run: bounded queues for
// each model, priorities, fair shares by organisation, and deadlines.
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
	// Capacity returns the number of requests that this instance may have in
	// flight for the model now. It is called without a lock held.
	Capacity func(serves string) int
}

// Request asks for admission.
type Request struct {
	ID           model.RequestID
	Serves       string
	Organisation model.OrganisationID
	Priority     model.Priority
	Deadline     time.Time // latest time of admission; zero means none
}

// Manager admits requests.
type Manager struct {
	Options
	metrics *metrics
}

// New returns a Manager.
func New(opts Options) *Manager {
	return &Manager{Options: opts, metrics: newMetrics(opts.Organisations)}
}

// Enter asks for a slot. admitted is called exactly once, on a worker under
// the request's key: with nil when the request may run, else with the refusal.
// A resumed generation is admitted at once, even beyond the capacity.
func (m *Manager) Enter(req Request, admitted func(*model.Refusal)) {
	admitted = m.metrics.counted(req, admitted)
	capacity := m.Capacity(req.Serves)
	var answers []answer
	m.Organisations.Update(func(s *organisation.State) {
		answers = enter(s, req, admitted, capacity, time.Now())
	})
	m.post(answers)
	if !req.Deadline.IsZero() && !answered(answers, req.ID) {
		m.Pool.After(time.Until(req.Deadline), worker.Key(req.ID), worker.Func(func() { m.expire(req) }))
	}
}

// expire refuses a request that still waits at its deadline.
func (m *Manager) expire(req Request) {
	var answers []answer
	m.Organisations.Update(func(s *organisation.State) {
		answers = withdraw(s, req.ID, refuseDeadline())
	})
	m.post(answers)
}

// Leave ends the request, waiting or admitted, and admits the next ones. A
// request that still waits is refused with the code "cancelled".
func (m *Manager) Leave(id model.RequestID) {
	var answers []answer
	var free []string
	m.Organisations.Update(func(s *organisation.State) {
		answers, free = leave(s, id, time.Now())
	})
	m.post(answers)
	for _, serves := range free {
		m.Kick(serves)
	}
}

// Kick admits waiting requests after the model's capacity changed.
func (m *Manager) Kick(serves string) {
	capacity := m.Capacity(serves)
	var answers []answer
	m.Organisations.Update(func(s *organisation.State) {
		answers = admit(s, serves, capacity, time.Now())
	})
	m.post(answers)
}

// Configure puts a document's organisations and models in force.
func (m *Manager) Configure(organisations []model.Organisation, models []model.Model) {
	m.Organisations.Update(func(s *organisation.State) {
		configureOrganisations(s, organisations)
		configureModels(s, models)
	})
	for _, served := range models {
		m.Kick(served.Name)
	}
}

// answer is a request's pending call of Admitted.
type answer struct {
	request  model.RequestID
	admitted func(*model.Refusal)
	refusal  *model.Refusal
}

func answered(answers []answer, id model.RequestID) bool {
	return slices.ContainsFunc(answers, func(a answer) bool { return a.request == id })
}

func (m *Manager) post(answers []answer) {
	for _, a := range answers {
		m.Pool.Post(worker.Key(a.request), worker.Func(func() { a.admitted(a.refusal) }))
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
	kept := map[string]bool{}
	for _, in := range list {
		kept[in.Name] = true
		s.Queue(in.Name).MaxQueue = in.MaxQueue
	}
	for name, q := range s.Queues {
		if !kept[name] && q.InFlight == 0 && q.Len() == 0 {
			delete(s.Queues, name)
		}
	}
}
