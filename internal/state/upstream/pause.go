package upstream

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// returnedSlots is the number of requests at once from which on an upstream counts as
// returned from a pause. It doubles from one with each request that it answers.
const returnedSlots = 16

// Pause keeps requests of this instance away from the upstream until the given time, and
// reports whether the pause is new. A shorter pause does not end a longer one.
func (t *Table) Pause(id model.UpstreamID, now, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok {
		return false
	}
	paused := now.Before(row.PausedUntil)
	if until.After(row.PausedUntil) {
		row.PausedUntil = until
	}
	row.Returning, row.ReturnSlots = true, 1
	return !paused
}

// TakeReturnSlot counts a request to an upstream that returns from a pause. taken is
// false if the upstream does not return from one; first says that the request is the
// first one since the pause.
func (t *Table) TakeReturnSlot(id model.UpstreamID) (taken, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok || !row.Returning {
		return false, false
	}
	row.ReturnSlots--
	first = !row.PausedUntil.IsZero()
	row.PausedUntil = time.Time{}
	return true, first
}

// EndReturnRequest counts the end of a request that took a return slot. served says that
// the upstream answered it, after which it may get twice as many at once.
func (t *Table) EndReturnRequest(id model.UpstreamID, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok || !row.Returning {
		return
	}
	row.ReturnSlots++
	if served {
		row.ReturnSlots++
	}
	if row.ReturnSlots >= returnedSlots {
		row.Returning, row.ReturnSlots = false, 0
	}
}

// WantsRequests reports whether the row's upstream may get a request at the given time as
// far as its pauses are concerned.
func (r Row) WantsRequests(now time.Time) bool {
	return !now.Before(r.PausedUntil) && (!r.Returning || r.ReturnSlots > 0)
}
