// Package location holds for each prompt the engine that prefilled it last, and so
// probably has it in its cache.
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
	local    bool // this instance sent the prompt
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

// SetLocal records that this instance sent a prompt to an engine.
func (t *Table) SetLocal(part string, up model.UpstreamID, now time.Time) {
	t.put(part, location{up, now, true})
}

// SetRemote records that another instance, or the engine's own report, has a prompt on
// an engine.
func (t *Table) SetRemote(part string, up model.UpstreamID, now time.Time) {
	t.put(part, location{up, now, false})
}

func (t *Table) put(part string, l location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.locations[part] = l
	if l.at.Sub(t.lastSweep) < ttl {
		return
	}
	t.lastSweep = l.at
	for name, old := range t.locations {
		if l.at.Sub(old.at) > ttl {
			delete(t.locations, name)
		}
	}
}

// Get returns the engine to which the prompt was sent last, or false if there is
// none or the location has expired.
func (t *Table) Get(part string, now time.Time) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.locations[part]
	return l.upstream, known && now.Sub(l.at) <= ttl
}

// LocalSince returns the engines to which this instance sent prompts after the given
// time, by the ID of the last part of the prompt.
func (t *Table) LocalSince(since time.Time) map[string]model.UpstreamID {
	t.mu.Lock()
	defer t.mu.Unlock()
	engines := map[string]model.UpstreamID{}
	for part, l := range t.locations {
		if l.local && l.at.After(since) {
			engines[part] = l.upstream
		}
	}
	return engines
}
