// Package replica holds two tables for the replication of token logs: the progress
// of copying each log that this instance owns, and the copies that it holds for
// other instances.
package replica

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Progress is the progress of copying one log that this instance owns.
type Progress struct {
	Line              model.LineID
	Holder            model.InstanceID // empty before a holder is chosen
	HolderIndex       int              // index of Holder in the rendezvous order
	Opened            bool             // the holder acknowledged the header
	AckedTokens       int              // tokens that the holder acknowledged
	Attempt           int              // number of the last attempt that the holder acknowledged
	ShowableAttempt   int              // highest attempt whose tokens may be shown on this line without a copy
	StaleCopyPossible bool             // another instance may have an older copy of this line
	Sending           bool             // a message is in flight
	LastMessage       uint64           // number of the last message; results of earlier messages are ignored
	Failures          int              // holders abandoned since the last acknowledgement
	// Unprotected is the length of the log up to which tokens shown without a
	// copy have been counted.
	Unprotected int
	RetryAt     time.Time // no message before this time
	TimerSet    bool      // a timer is set to continue copying this log
	Ended       bool      // the generation ended
}

// ProgressTable maps requests to progress. mu has lock.RankGeneration and
// guards rows; it is never held together with a generation table's lock.
//
// Invariant: a row exists from the call of replication.Manager.Opened until the copy is
// closed or dropped.
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
