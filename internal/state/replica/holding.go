package replica

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Holding describes one copy that this instance holds.
type Holding struct {
	Request model.RequestID
	Line    model.LineID
	Owner   model.InstanceID
	Bytes   int       // prompt and tokens
	Expires time.Time // time at which the copy is dropped
	Closed  bool      // the owner reported that the log ended
}

// HoldingTable holds the copies by request and line. mu has
// lock.RankGeneration and guards rows and bytes; it is never held together
// with a generation table's lock.
//
// Invariant: bytes is the sum of Bytes over all rows and at most the limit.
type HoldingTable struct {
	mu    lock.Mutex
	limit int
	bytes int
	rows  map[model.RequestID][]Holding
}

// NewHoldingTable returns an empty table that holds at most limit bytes.
func NewHoldingTable(limit int) *HoldingTable {
	return &HoldingTable{
		mu:    lock.New(lock.RankGeneration),
		limit: limit,
		rows:  map[model.RequestID][]Holding{},
	}
}

// Put stores or replaces the holding of its request and line. It reports
// false, and changes nothing, if the limit would be exceeded.
func (t *HoldingTable) Put(h Holding) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.rows[h.Request]
	i := slices.IndexFunc(rows, func(o Holding) bool { return o.Line == h.Line })
	old := 0
	if i >= 0 {
		old = rows[i].Bytes
	}
	if t.bytes-old+h.Bytes > t.limit {
		return false
	}
	t.bytes += h.Bytes - old
	if i >= 0 {
		rows[i] = h
		return true
	}
	t.rows[h.Request] = append(rows, h)
	return true
}

// Get returns the holding of one line.
func (t *HoldingTable) Get(id model.RequestID, line model.LineID) (Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.rows[id] {
		if h.Line == line {
			return h, true
		}
	}
	return Holding{}, false
}

// Lines returns the holdings of all lines of a request.
func (t *HoldingTable) Lines(id model.RequestID) []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.rows[id])
}

// Remove deletes the holding of one line.
func (t *HoldingTable) Remove(id model.RequestID, line model.LineID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.rows[id]
	i := slices.IndexFunc(rows, func(o Holding) bool { return o.Line == line })
	if i < 0 {
		return
	}
	t.bytes -= rows[i].Bytes
	rows = slices.Delete(rows, i, i+1)
	if len(rows) == 0 {
		delete(t.rows, id)
		return
	}
	t.rows[id] = rows
}

// Expired returns the holdings that have expired.
func (t *HoldingTable) Expired(now time.Time) []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []Holding
	for _, rows := range t.rows {
		for _, h := range rows {
			if !now.Before(h.Expires) {
				expired = append(expired, h)
			}
		}
	}
	return expired
}

// OldestClosed returns the closed holding that expires first.
func (t *HoldingTable) OldestClosed() (Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest Holding
	found := false
	for _, rows := range t.rows {
		for _, h := range rows {
			if h.Closed && (!found || h.Expires.Before(oldest.Expires)) {
				oldest, found = h, true
			}
		}
	}
	return oldest, found
}

// Bytes returns the size of all copies.
func (t *HoldingTable) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}
