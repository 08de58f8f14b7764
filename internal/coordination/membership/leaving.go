package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxListLag is the longest time for which the platform's list is assumed to
// show a state that belongs to an earlier incarnation of an upstream.
const maxListLag = 30 * time.Second

// LeavingUpstreams decides which incarnations of upstreams to mark as leaving,
// from the platform's list. The list lags and names no incarnation: it can still
// show the state from before a restart. LeavingUpstreams therefore marks the
// incarnation that was current when the list last showed the upstream as working.
// If the list did not show that, it marks an incarnation that was current for
// maxListLag while the list showed the upstream as leaving. It is used by one
// goroutine at a time.
type LeavingUpstreams struct {
	working map[model.UpstreamID]uint64 // incarnation when last listed as working
	leaving map[model.UpstreamID]leavingEntry
}

// leavingEntry is an incarnation of an upstream that the list shows as leaving.
type leavingEntry struct {
	incarnation uint64
	since       time.Time
	marked      bool
}

// NewLeavingUpstreams returns a LeavingUpstreams that has seen no list.
func NewLeavingUpstreams() *LeavingUpstreams {
	return &LeavingUpstreams{working: map[model.UpstreamID]uint64{}, leaving: map[model.UpstreamID]leavingEntry{}}
}

// Observe takes one entry of the list and the current incarnation of the upstream.
// It returns each incarnation that is to be marked as leaving once.
func (l *LeavingUpstreams) Observe(id model.UpstreamID, leaving bool, incarnation uint64, now time.Time) (uint64, bool) {
	if !leaving {
		l.working[id] = incarnation
		delete(l.leaving, id)
		return 0, false
	}
	if known, ok := l.working[id]; ok {
		delete(l.working, id)
		l.leaving[id] = leavingEntry{incarnation: known, since: now, marked: true}
		return known, true
	}
	seen, ok := l.leaving[id]
	if !ok || seen.incarnation != incarnation {
		l.leaving[id] = leavingEntry{incarnation: incarnation, since: now}
		return 0, false
	}
	if seen.marked || now.Sub(seen.since) < maxListLag {
		return 0, false
	}
	seen.marked = true
	l.leaving[id] = seen
	return incarnation, true
}
