package call

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxHistory bounds the calls in the history, which then take about 2 MB.
const maxHistory = 4096

// Record is what the history keeps of one call.
type Record struct {
	Request  model.RequestID
	Service  string
	Route    string
	Started  time.Time
	Ended    time.Time // zero while the call runs
	Outcome  string    // as in the metric; empty while the call runs
	Attempts []AttemptRecord
}

// AttemptRecord is what the history keeps of one request to an upstream.
type AttemptRecord struct {
	Upstream model.UpstreamID
	Version  string
	Started  time.Time
	Result   string // as counted; empty while it runs
}

// History records the last maxHistory calls. mu has lock.RankCall and guards
// calls; it is never held together with a Table's lock.
type History struct {
	mu    lock.Mutex
	calls *simplelru.LRU[model.RequestID, Record]
}

// NewHistory returns a history without calls.
func NewHistory() *History {
	calls, err := simplelru.NewLRU[model.RequestID, Record](maxHistory, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &History{mu: lock.New(lock.RankCall), calls: calls}
}

// Begin adds a call that starts.
func (h *History) Begin(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.Add(r.Request, r)
}

// AddAttempt adds an attempt that starts. Its result is still empty.
func (h *History) AddAttempt(id model.RequestID, a AttemptRecord) {
	h.update(id, func(r *Record) { r.Attempts = append(slices.Clone(r.Attempts), a) })
}

// SetResult sets the result of the running attempt on an upstream.
func (h *History) SetResult(id model.RequestID, upstream model.UpstreamID, result string) {
	h.update(id, func(r *Record) {
		r.Attempts = slices.Clone(r.Attempts)
		for i := range r.Attempts {
			if r.Attempts[i].Upstream == upstream && r.Attempts[i].Result == "" {
				r.Attempts[i].Result = result
			}
		}
	})
}

// SetOutcome sets the outcome of a call that ended.
func (h *History) SetOutcome(id model.RequestID, outcome string, now time.Time) {
	h.update(id, func(r *Record) { r.Outcome, r.Ended = outcome, now })
}

// update changes the record of a call unless it was dropped. change must not
// modify slices of the old record, as Get has returned them.
func (h *History) update(id model.RequestID, change func(*Record)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.calls.Peek(id)
	if !ok {
		return
	}
	change(&r)
	h.calls.Add(id, r)
}

// Get returns the record of a call, or false if it was dropped.
func (h *History) Get(id model.RequestID) (Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls.Peek(id)
}
