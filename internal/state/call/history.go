package call

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxHistory bounds the remembered calls: about 2 MB.
const maxHistory = 4096

// Past is what is remembered of a call.
type Past struct {
	Request  model.RequestID
	Service  string
	Route    string
	Started  time.Time
	Ended    time.Time // zero while it runs
	Outcome  string    // as counted; empty while it runs
	Attempts []PastAttempt
}

// PastAttempt is one request to an upstream.
type PastAttempt struct {
	Upstream model.UpstreamID
	Version  string
	Started  time.Time
	Result   string // as counted; empty while it runs
}

// History remembers the last calls, the most recent ones first to stay. mu has
// lock.RankCall and guards calls; it is never held together with a Table's.
type History struct {
	mu    lock.Mutex
	calls *simplelru.LRU[model.RequestID, Past]
}

// NewHistory returns a history without calls.
func NewHistory() *History {
	calls, err := simplelru.NewLRU[model.RequestID, Past](maxHistory, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &History{mu: lock.New(lock.RankCall), calls: calls}
}

// Begin remembers a call that starts.
func (h *History) Begin(p Past) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.Add(p.Request, p)
}

// Attempt remembers that an attempt starts. Its result is still empty.
func (h *History) Attempt(id model.RequestID, a PastAttempt) {
	h.update(id, func(p *Past) { p.Attempts = append(slices.Clone(p.Attempts), a) })
}

// Result remembers how the running attempt on an upstream ended.
func (h *History) Result(id model.RequestID, upstream model.UpstreamID, result string) {
	h.update(id, func(p *Past) {
		p.Attempts = slices.Clone(p.Attempts)
		for i := range p.Attempts {
			if p.Attempts[i].Upstream == upstream && p.Attempts[i].Result == "" {
				p.Attempts[i].Result = result
			}
		}
	})
}

// End remembers the outcome of a call.
func (h *History) End(id model.RequestID, outcome string, now time.Time) {
	h.update(id, func(p *Past) { p.Outcome, p.Ended = outcome, now })
}

// update changes a call unless it was forgotten. Slices that Get returned are
// not changed.
func (h *History) update(id model.RequestID, change func(*Past)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.calls.Peek(id)
	if !ok {
		return
	}
	change(&p)
	h.calls.Add(id, p)
}

// Get returns what is remembered of a call.
func (h *History) Get(id model.RequestID) (Past, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls.Peek(id)
}
