// Package stop holds the versions that get no new work and the shares of the
// version moves.
package stop

import (
	"cmp"
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Table holds stops and shares. mu has lock.RankStop and guards the maps and version.
//
// Invariants: stops are never removed, and for each version the one with the
// highest epoch is kept; the revision of a share never falls.
type Table struct {
	mu      lock.Mutex
	stops   map[model.VersionKey]model.Stop
	shares  map[string]model.Share
	version uint64 // rises with each change
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:     lock.New(lock.RankStop),
		stops:  map[model.VersionKey]model.Stop{},
		shares: map[string]model.Share{},
	}
}

// Add stores a stop unless one of the same or a higher epoch is known.
func (t *Table) Add(s model.Stop) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.stops[s.Key]; ok && old.Epoch >= s.Epoch {
		return false
	}
	t.stops[s.Key] = s
	t.version++
	return true
}

// SetShare stores a share unless one of the same or a higher revision is known.
func (t *Table) SetShare(s model.Share) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.shares[s.Serves]; ok && old.Revision >= s.Revision {
		return false
	}
	t.shares[s.Serves] = s
	t.version++
	return true
}

// Share returns the share of the model or service.
func (t *Table) Share(serves string) (model.Share, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shares[serves]
	return s, ok
}

// Stopped reports whether the version gets no new work: a stop exists whose
// epoch is not older than the epoch of the version's move. The epoch of the move
// applies to both of its versions: a version whose stop was lifted and whose move
// finished is the previous version of the next move. For a version outside of the
// move, a stop of any epoch counts.
func (t *Table) Stopped(key model.VersionKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.stops[key]
	if !ok {
		return false
	}
	share, ok := t.shares[key.Serves]
	inMove := share.Target == key.Version || share.Previous == key.Version
	return !ok || !inMove || s.Epoch >= share.Epoch
}

// Version returns a number that rises with each change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Stops returns all stops sorted by version.
func (t *Table) Stops() []model.Stop {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]model.Stop, 0, len(t.stops))
	for _, s := range t.stops {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b model.Stop) int {
		return cmp.Or(cmp.Compare(a.Key.Serves, b.Key.Serves), cmp.Compare(a.Key.Version, b.Key.Version))
	})
	return all
}

// Shares returns all shares sorted by the model or service.
func (t *Table) Shares() []model.Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]model.Share, 0, len(t.shares))
	for _, s := range t.shares {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b model.Share) int { return cmp.Compare(a.Serves, b.Serves) })
	return all
}
