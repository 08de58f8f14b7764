// Package location remembers which engine read a prompt last, and so probably
// has it in its cache.
package location

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// life is how long a location is kept. Callers come back to a broken stream
// within seconds, and engines drop what was not used for long.
const life = 20 * time.Second

// place is where a prompt was read.
type place struct {
	upstream model.UpstreamID
	at       time.Time
	own      bool // placed by this instance
}

// Table maps the last part of a prompt to an engine. mu has lock.RankPrefix
// and guards the other fields.
type Table struct {
	mu     lock.Mutex
	places map[string]place
	swept  time.Time // when old places were dropped last
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankPrefix), places: map[string]place{}}
}

// Placed notes that this instance sent a prompt to an engine.
func (t *Table) Placed(part string, up model.UpstreamID, now time.Time) {
	t.put(part, place{up, now, true})
}

// Tell notes what another instance placed.
func (t *Table) Tell(part string, up model.UpstreamID, now time.Time) {
	t.put(part, place{up, now, false})
}

func (t *Table) put(part string, p place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.places[part] = p
	if p.at.Sub(t.swept) < life {
		return
	}
	t.swept = p.at
	for name, old := range t.places {
		if p.at.Sub(old.at) > life {
			delete(t.places, name)
		}
	}
}

// Of returns the engine that read the prompt, if that is not long ago.
func (t *Table) Of(part string, now time.Time) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.places[part]
	return p.upstream, known && now.Sub(p.at) <= life
}

// OwnSince returns what this instance placed after the given time.
func (t *Table) OwnSince(since time.Time) map[string]model.UpstreamID {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]model.UpstreamID{}
	for part, p := range t.places {
		if p.own && p.at.After(since) {
			found[part] = p.upstream
		}
	}
	return found
}
