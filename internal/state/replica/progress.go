// Package replica holds two tables of the copying of token logs: how far each
// own log is copied, and which copies this instance holds for others.
package replica

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Progress says how far one own log is copied.
type Progress struct {
	Line      model.LineID
	Holder    model.InstanceID // empty before the first choice
	Choice    int              // place of Holder in the rendezvous order
	Opened    bool             // the holder acknowledged the header
	Acked     int              // tokens that the holder acknowledged
	Attempt   int              // number of the last attempt that the holder knows
	Settled   int              // highest attempt whose tokens may be shown on this line without a copy
	Abandoned bool             // another instance may have an older copy of this line
	Sending   bool             // a message is in flight
	Sent      uint64           // number of the last message; results of others are ignored
	Failures  int              // holders given up since the last acknowledgement
	// Unprotected is the number of tokens up to which those shown without a copy
	// were counted.
	Unprotected int
	RetryAt     time.Time // no message before this time
	Waiting     bool      // a timer will look at this log again
	Ended       bool      // the generation ended
}

// ProgressTable maps requests to progress. mu has lock.RankGeneration and
// guards rows; it is never held together with a generation table's lock.
//
// Invariant: a row exists from Opened until the copy is closed or dropped.
type ProgressTable struct {
	mu   lock.Mutex
	rows map[model.RequestID]Progress
}

// NewProgressTable returns an empty table.
func NewProgressTable() *ProgressTable {
	return &ProgressTable{mu: lock.New(lock.RankGeneration), rows: map[model.RequestID]Progress{}}
}

// Put stores a row.
func (t *ProgressTable) Put(id model.RequestID, p Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[id] = p
}

// Get returns a copy of a row.
func (t *ProgressTable) Get(id model.RequestID) (Progress, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.rows[id]
	return p, ok
}

// Update changes a row in place. change must not block or call out.
func (t *ProgressTable) Update(id model.RequestID, change func(*Progress)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.rows[id]
	if !ok {
		return false
	}
	change(&p)
	t.rows[id] = p
	return true
}

// Remove deletes a row.
func (t *ProgressTable) Remove(id model.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// Len returns the number of rows.
func (t *ProgressTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}
