package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// historyRetention is how long past changes are kept. It bounds the lag of the
// list.
const historyRetention = 10 * time.Minute

// change is the state of an entry from a point in time on.
type change struct {
	at      time.Time
	entry   platformapi.Entry
	removed bool
}

// directory holds the history of each entry, so that the list can show an earlier
// state. mu has standin.RankData and guards history.
type directory struct {
	mu      lock.Mutex
	history map[string][]change // by ID, oldest first
}

func newDirectory() *directory {
	return &directory{mu: lock.New(standin.RankData), history: map[string][]change{}}
}

// record adds a change and drops changes that are too old to be listed.
func (d *directory) record(id string, c change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := append(d.history[id], c)
	oldest := c.at.Add(-historyRetention)
	for len(changes) > 1 && changes[1].at.Before(oldest) {
		changes = changes[1:]
	}
	d.history[id] = changes
}

// asOf returns the entries as they were at the given time, sorted by ID.
func (d *directory) asOf(at time.Time) []platformapi.Entry {
	d.mu.Lock()
	entries := []platformapi.Entry{}
	for _, changes := range d.history {
		if entry, ok := entryAt(changes, at); ok {
			entries = append(entries, entry)
		}
	}
	d.mu.Unlock()
	slices.SortFunc(entries, func(a, b platformapi.Entry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

func entryAt(changes []change, at time.Time) (platformapi.Entry, bool) {
	for _, c := range slices.Backward(changes) {
		if !c.at.After(at) {
			return c.entry, !c.removed
		}
	}
	return platformapi.Entry{}, false
}
