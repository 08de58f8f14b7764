package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxListLag is the longest time for which the platform's list is assumed to
// show an earlier incarnation of an upstream as leaving.
const maxListLag = 30 * time.Second

// LeavingUpstreams decides which upstreams the platform's list shows as
// leaving. The list lags and names no incarnation: it can still show the one
// before a restart. So a mark is for the incarnation that was known when the
// list showed the upstream as working or, if it never did, for one that the
// list has shown as leaving for longer than it lags. It is used by one
// goroutine at a time.
type LeavingUpstreams struct {
	working map[model.UpstreamID]uint64 // incarnation
	leaving map[model.UpstreamID]sighting
}

// sighting is an incarnation that the list shows as leaving.
type sighting struct {
	incarnation uint64
	since       time.Time
	marked      bool
}

// NewLeavingUpstreams returns a decision that has seen no list.
func NewLeavingUpstreams() *LeavingUpstreams {
	return &LeavingUpstreams{working: map[model.UpstreamID]uint64{}, leaving: map[model.UpstreamID]sighting{}}
}

// Listed takes one entry of the list, with the incarnation that is known of the
// upstream. It returns the incarnation to mark as leaving, once.
func (l *LeavingUpstreams) Listed(id model.UpstreamID, leaving bool, incarnation uint64, now time.Time) (uint64, bool) {
	if !leaving {
		l.working[id] = incarnation
		delete(l.leaving, id)
		return 0, false
	}
	if known, ok := l.working[id]; ok {
		delete(l.working, id)
		l.leaving[id] = sighting{incarnation: known, since: now, marked: true}
		return known, true
	}
	seen, ok := l.leaving[id]
	if !ok || seen.incarnation != incarnation {
		l.leaving[id] = sighting{incarnation: incarnation, since: now}
		return 0, false
	}
	if seen.marked || now.Sub(seen.since) < maxListLag {
		return 0, false
	}
	seen.marked = true
	l.leaving[id] = seen
	return incarnation, true
}
