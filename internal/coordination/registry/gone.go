package registry

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// goneEntryAge is how long a dropped entry is remembered. The store keeps its history for
	// 20 s, and a copy that it is restored from is not older than that; the rest is for the
	// restore itself.
	goneEntryAge = 60 * time.Second
	// maxGoneEntries bounds the number of dropped entries that are remembered. It is more than
	// the number of upstreams of the largest deployment, 3,500.
	maxGoneEntries = 4096
)

// goneEntry is the last state of a dropped entry.
type goneEntry struct {
	incarnation uint64
	sequence    uint64
	leaving     bool
	at          time.Time // when it was dropped
}

// goneEntries are the entries that were dropped lately. A restored store may show them again
// as they were.
type goneEntries map[model.UpstreamID]goneEntry

// add records that an entry was dropped. Beyond maxGoneEntries the oldest one is forgotten.
func (g goneEntries) add(e Entry, now time.Time) {
	g[e.Upstream.ID] = goneEntry{e.Incarnation, e.Sequence, e.Leaving, now}
	if len(g) <= maxGoneEntries {
		return
	}
	oldest := e.Upstream.ID
	for id, gone := range g {
		switch {
		case now.Sub(gone.at) >= goneEntryAge:
			delete(g, id)
		case gone.at.Before(g[oldest].at):
			oldest = id
		}
	}
	if len(g) > maxGoneEntries {
		delete(g, oldest)
	}
}

// covers reports whether the entry is no newer than the one that was dropped. An upstream that
// has written its entry since then is in use again. A reader sends no mere renewals, so that an
// older sequence number that was polled says nothing, unless the upstream was leaving: an
// incarnation stays so.
func (g goneEntries) covers(e Entry, polled bool, now time.Time) bool {
	gone, known := g[e.Upstream.ID]
	switch {
	case !known || now.Sub(gone.at) >= goneEntryAge:
		return false
	case e.Incarnation != gone.incarnation:
		return e.Incarnation < gone.incarnation
	}
	return e.Sequence <= gone.sequence && (gone.leaving || !polled)
}
