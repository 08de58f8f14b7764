// Package commitment holds what the requests in flight need of each upstream:
// this instance's own, and those that other instances told of.
package commitment

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Work is what requests need of one upstream.
type Work struct {
	Requests int // in flight
	Prefill  int // prompt tokens that are not read yet
	Memory   int // tokens that running streams will hold at most
	Copies   int // tokens of copies of streams that run elsewhere
}

// Plus returns the sum.
func (w Work) Plus(o Work) Work {
	return Work{
		Requests: w.Requests + o.Requests,
		Prefill:  w.Prefill + o.Prefill,
		Memory:   w.Memory + o.Memory,
		Copies:   w.Copies + o.Copies,
	}
}

// Minus returns the difference.
func (w Work) Minus(o Work) Work {
	return w.Plus(Work{Requests: -o.Requests, Prefill: -o.Prefill, Memory: -o.Memory, Copies: -o.Copies})
}

// told is what one other instance has in flight.
type told struct {
	work map[model.UpstreamID]Work
	at   time.Time
}

// Table adds up the work on each upstream. mu has lock.RankCommitment and
// guards the other fields.
//
// Invariant: own holds no zero entries, so that its size is bounded by the
// requests in flight.
type Table struct {
	mu     lock.Mutex
	own    map[model.UpstreamID]Work
	others map[model.InstanceID]told
	life   time.Duration
}

// NewTable returns an empty table. What another instance told counts for the
// given time.
func NewTable(life time.Duration) *Table {
	return &Table{
		mu:     lock.New(lock.RankCommitment),
		own:    map[model.UpstreamID]Work{},
		others: map[model.InstanceID]told{},
		life:   life,
	}
}

// Add counts work of this instance.
func (t *Table) Add(id model.UpstreamID, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(id, t.own[id].Plus(w))
}

// Remove ends work that Add counted.
func (t *Table) Remove(id model.UpstreamID, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(id, t.own[id].Minus(w))
}

// set stores this instance's work. The caller holds mu.
func (t *Table) set(id model.UpstreamID, w Work) {
	if w == (Work{}) {
		delete(t.own, id)
		return
	}
	t.own[id] = w
}

// Tell replaces what another instance has in flight.
func (t *Table) Tell(from model.InstanceID, work map[model.UpstreamID]Work, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[from] = told{work, now}
}

// Own returns a copy of this instance's work.
func (t *Table) Own() map[model.UpstreamID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[model.UpstreamID]Work, len(t.own))
	for id, w := range t.own {
		own[id] = w
	}
	return own
}

// Totals returns the work on each upstream, of all instances that told of
// theirs recently.
func (t *Table) Totals(now time.Time) map[model.UpstreamID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[model.UpstreamID]Work, len(t.own))
	for id, w := range t.own {
		totals[id] = w
	}
	for from, o := range t.others {
		if now.Sub(o.at) > t.life {
			delete(t.others, from)
			continue
		}
		for id, w := range o.work {
			totals[id] = totals[id].Plus(w)
		}
	}
	return totals
}
