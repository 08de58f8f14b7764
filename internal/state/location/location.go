// Package location holds the engine that prefilled a prompt last, and so probably
// has the prompt in its cache.
package location

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// ttl is the time for which a location is kept. Callers resume a broken stream
// within seconds, and engines evict prompts that were not used for long.
const ttl = 20 * time.Second

// location is the engine to which a prompt was sent last.
type location struct {
	upstream model.UpstreamID
	at       time.Time
	local    bool // placed by this instance
}

// Table maps the ID of the last part of a prompt to an engine. mu has
// lock.RankPrefix and guards the other fields.
type Table struct {
	mu        lock.Mutex
	locations map[string]location
	lastSweep time.Time // time of the last removal of expired locations
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankPrefix), locations: map[string]location{}}
}

// Placed records that this instance sent a prompt to an engine.
func (t *Table) SetLocal(part string, up model.UpstreamID, now time.Time) {
	t.put(part, location{up, now, true})
}

// Tell records that another instance, or the engine's own report, has a prompt on
// an engine.
func (t *Table) SetRemote(part string, up model.UpstreamID, now time.Time) {
	t.put(part, location{up, now, false})
}

func (t *Table) put(part string, p location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.locations[part] = p
	if p.at.Sub(t.lastSweep) < ttl {
		return
	}
	t.lastSweep = p.at
	for name, old := range t.locations {
		if p.at.Sub(old.at) > ttl {
			delete(t.locations, name)
		}
	}
}

// Of returns the engine to which the prompt was sent last, or false if there is
// none or the location has expired.
func (t *Table) Get(part string, now time.Time) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.locations[part]
	return p.upstream, known && now.Sub(p.at) <= ttl
}

// OwnSince returns the engines to which this instance sent prompts after the given
// time, by the ID of the last part of the prompt.
func (t *Table) LocalSince(since time.Time) map[string]model.UpstreamID {
	t.mu.Lock()
	defer t.mu.Unlock()
	placed := map[string]model.UpstreamID{}
	for part, p := range t.locations {
		if p.local && p.at.After(since) {
			placed[part] = p.upstream
		}
	}
	return placed
}
