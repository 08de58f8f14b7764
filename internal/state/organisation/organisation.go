// Package organisation holds the weights and limits of the organisations, and
// their waiting and admitted requests on this instance.
package organisation

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Organisation is one customer's weight, limit and current use.
type Organisation struct {
	Weight      int
	MaxInFlight int  // 0 means no limit
	InFlight    int  // admitted requests of all models
	Configured  bool // named in the document
}

// Waiting is a request in a queue.
type Waiting struct {
	Request      model.RequestID
	Organisation model.OrganisationID
	Priority     model.Priority
	Deadline     time.Time // latest time of admission; zero means none
	Objective    time.Time // latest time of admission that meets the latency objective; zero means none
	// CallerDeadline is the time until which the caller waits; zero means unknown. It bounds
	// the time after which a refused caller returns.
	CallerDeadline time.Time
	Entered        time.Time
	Bytes          int    // memory that the request takes while it waits
	MemoryTokens   int    // memory that the request needs of one engine
	CallerID       string // the caller's name of the request, for the log
	Continues      bool   // continues a stream of which the caller has a part; first in its turn
	Again          bool   // has been admitted before and is already counted
	// OnDecision is called once, outside the table's lock: with nil when the
	// request is admitted, else with the refusal.
	OnDecision func(*model.Refusal)
}

// Turn is one organisation's entry in the deficit round robin of a class.
type Turn struct {
	Organisation model.OrganisationID
	Deficit      int // requests that can still be admitted in this round
	Waiting      []Waiting
}

// Class holds the waiting requests of one priority. Turns has one entry for
// each organisation with waiting requests; Next is the index of the turn that is
// served next.
type Class struct {
	Turns []Turn
	Next  int
}

// Service counts the requests of one class that asked for admission and that were
// admitted. Both decay with time, so that the counts follow a burst.
type Service struct {
	Entered, Admitted float64
	AsOf              time.Time
}

// Queue holds the waiting requests of one model and counts the admitted ones.
type Queue struct {
	Classes  [model.PriorityLowest + 1]Class // by priority
	MaxQueue int                             // most waiting requests; 0 means the default
	InFlight int
	HoldTime time.Duration // smoothed time from a request's admission to its end; zero means unknown
	Service  [model.PriorityLowest + 1]Service
	// Limit is the number of requests that run at most since all upstreams turned one
	// away at LimitedAt; zero means that there is none. Until FullUntil, a further request
	// that is turned away does not lower it.
	Limit     float64
	LimitedAt time.Time
	FullUntil time.Time
	// NextReturn is the time at which the next refused caller is told to return.
	NextReturn time.Time
	// RecheckPending says that a timer is set that looks for room again.
	RecheckPending bool
	Decisions      uint64 // number of decisions on the queue
}

// RequestState is the state of a request: waiting in the queue of Serves, or
// admitted.
type RequestState struct {
	Serves       string
	Organisation model.OrganisationID
	Priority     model.Priority
	Admitted     bool
	Since        time.Time // time of admission
	Deadline     time.Time // latest time of admission while the request waits; zero means none
}

// State is the content of the table.
type State struct {
	Organisations map[model.OrganisationID]Organisation
	Queues        map[string]*Queue
	Requests      map[model.RequestID]RequestState
	WaitingBytes  int // of all queues
}

// Table holds the state. mu has lock.RankOrganisation and guards state.
//
// Invariants: each waiting request is in exactly one class and has an entry in
// Requests whose Admitted is false; InFlight of a queue and of an organisation
// equals the number of its entries in Requests whose Admitted is true.
type Table struct {
	mu    lock.Mutex
	state State
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu: lock.New(lock.RankOrganisation),
		state: State{
			Organisations: map[model.OrganisationID]Organisation{},
			Queues:        map[string]*Queue{},
			Requests:      map[model.RequestID]RequestState{},
		},
	}
}

// Update changes the state in place under the table's lock. change must not
// block, call out, or keep a reference to the state.
func (t *Table) Update(change func(*State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.state)
}

// Queue returns the queue of a model, and creates it if there is none.
func (s *State) Queue(serves string) *Queue {
	q, ok := s.Queues[serves]
	if !ok {
		q = &Queue{}
		s.Queues[serves] = q
	}
	return q
}

// Weight returns the organisation's weight, at least 1.
func (s *State) Weight(id model.OrganisationID) int {
	return max(1, s.Organisations[id].Weight)
}

// MayRun reports whether the organisation is below its limit.
func (s *State) MayRun(id model.OrganisationID) bool {
	o := s.Organisations[id]
	return o.MaxInFlight <= 0 || o.InFlight < o.MaxInFlight
}

// AddInFlight adds n to the number of the organisation's admitted requests. An
// organisation that is not configured is removed with its last request.
func (s *State) AddInFlight(id model.OrganisationID, n int) {
	o := s.Organisations[id]
	o.InFlight += n
	if o.InFlight == 0 && !o.Configured {
		delete(s.Organisations, id)
		return
	}
	s.Organisations[id] = o
}

// Len returns the number of waiting requests.
func (c *Class) Len() int {
	n := 0
	for _, t := range c.Turns {
		n += len(t.Waiting)
	}
	return n
}

// Len returns the number of waiting requests of all priorities.
func (q *Queue) Len() int {
	n := 0
	for i := range q.Classes {
		n += q.Classes[i].Len()
	}
	return n
}
