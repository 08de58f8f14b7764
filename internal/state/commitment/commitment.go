// Package commitment holds the capacity of each upstream that requests in flight
// have reserved, as counted by this instance and as reported by others.
package commitment

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Work is the load that requests put on one upstream.
type Work struct {
	Requests      int // requests in flight
	PrefillTokens int // prompt tokens that are not prefilled yet
	MemoryTokens  int // upper bound of the tokens that running streams keep in memory
	CopyTokens    int // tokens of memory copies of streams that run on other upstreams
}

// Plus returns the sum.
func (w Work) Plus(o Work) Work {
	return Work{
		Requests:      w.Requests + o.Requests,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		MemoryTokens:  w.MemoryTokens + o.MemoryTokens,
		CopyTokens:    w.CopyTokens + o.CopyTokens,
	}
}

// Minus returns the difference.
func (w Work) Minus(o Work) Work {
	return w.Plus(Work{Requests: -o.Requests, PrefillTokens: -o.PrefillTokens, MemoryTokens: -o.MemoryTokens, CopyTokens: -o.CopyTokens})
}

// report is the work of another instance and the time at which it was received.
type report struct {
	work map[model.UpstreamID]Work
	at   time.Time
}

// Table sums the work on each upstream over all instances. mu has
// lock.RankCommitment and guards the other fields.
//
// Invariant: local has no zero entries, so that its size is bounded by the
// requests in flight.
type Table struct {
	mu        lock.Mutex
	local     map[model.UpstreamID]Work
	remote    map[model.InstanceID]report
	reportTTL time.Duration
}

// NewTable returns an empty table. A report of another instance expires
// reportTTL after its arrival.
func NewTable(reportTTL time.Duration) *Table {
	return &Table{
		mu:        lock.New(lock.RankCommitment),
		local:     map[model.UpstreamID]Work{},
		remote:    map[model.InstanceID]report{},
		reportTTL: reportTTL,
	}
}

// Add adds work of this instance.
func (t *Table) Add(id model.UpstreamID, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(id, t.local[id].Plus(w))
}

// Remove subtracts work that Add added.
func (t *Table) Remove(id model.UpstreamID, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(id, t.local[id].Minus(w))
}

// set stores this instance's work. The caller holds mu.
func (t *Table) set(id model.UpstreamID, w Work) {
	if w == (Work{}) {
		delete(t.local, id)
		return
	}
	t.local[id] = w
}

// SetRemote replaces the work of another instance.
func (t *Table) SetRemote(from model.InstanceID, work map[model.UpstreamID]Work, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote[from] = report{work, now}
}

// OldestReport returns the age of the oldest report of another instance that Totals counts,
// and zero if there is none.
func (t *Table) OldestReport(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := time.Duration(0)
	for _, r := range t.remote {
		if age := now.Sub(r.at); age <= t.reportTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Local returns a copy of this instance's work.
func (t *Table) Local() map[model.UpstreamID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := make(map[model.UpstreamID]Work, len(t.local))
	for id, w := range t.local {
		local[id] = w
	}
	return local
}

// Totals returns the work on each upstream, summed over this instance and all
// instances whose report has not expired. It removes expired reports.
func (t *Table) Totals(now time.Time) map[model.UpstreamID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[model.UpstreamID]Work, len(t.local))
	for id, w := range t.local {
		totals[id] = w
	}
	for from, r := range t.remote {
		if now.Sub(r.at) > t.reportTTL {
			delete(t.remote, from)
			continue
		}
		for id, w := range r.work {
			totals[id] = totals[id].Plus(w)
		}
	}
	return totals
}
