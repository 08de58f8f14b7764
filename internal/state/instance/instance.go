// Package instance holds the membership table of the system's instances.
package instance

import (
	"slices"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Table maps instance IDs to the last known data of the instances. mu has
// lock.RankInstance and guards instances and version.
//
// Invariant: for each instance the pair (incarnation, state rank) never falls,
// except that Restore turns a suspected instance live again.
type Table struct {
	mu        lock.Mutex
	instances map[model.InstanceID]model.Instance
	version   uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankInstance), instances: map[model.InstanceID]model.Instance{}}
}

// StateRank returns the rank of a state within one incarnation. A state of a
// higher rank overrides one of a lower rank.
func StateRank(s model.InstanceState) int {
	switch s {
	case model.InstanceLive:
		return 0
	case model.InstanceSuspected:
		return 1
	case model.InstanceLeaving:
		return 2
	default:
		return 3
	}
}

// Merge stores in if it supersedes the stored data of its instance, and reports
// whether it did.
func (t *Table) Merge(in model.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.instances[in.ID]
	if ok && !supersedes(in, old) {
		return false
	}
	t.instances[in.ID] = in
	t.version++
	return true
}

func supersedes(in, old model.Instance) bool {
	if in.Incarnation != old.Incarnation {
		return in.Incarnation > old.Incarnation
	}
	return StateRank(in.State) > StateRank(old.State)
}

// Get returns one instance.
func (t *Table) Get(id model.InstanceID) (model.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, ok := t.instances[id]
	return in, ok
}

// All returns the instances sorted by ID.
func (t *Table) All() []model.Instance {
	t.mu.Lock()
	all := make([]model.Instance, 0, len(t.instances))
	for _, in := range t.instances {
		all = append(all, in)
	}
	t.mu.Unlock()
	slices.SortFunc(all, func(a, b model.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all
}

// Version returns a number that rises with each change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Forget removes an instance if it is dead and of the given or an older
// incarnation.
func (t *Table) Forget(id model.InstanceID, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.instances[id]; ok && old.Incarnation <= incarnation && old.State == model.InstanceDead {
		delete(t.instances, id)
		t.version++
	}
}

// Restore makes a suspected instance live again after it sent a message in the
// same incarnation, and reports whether it changed the state.
func (t *Table) Restore(id model.InstanceID, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, ok := t.instances[id]
	if !ok || in.Incarnation != incarnation || in.State != model.InstanceSuspected {
		return false
	}
	in.State = model.InstanceLive
	t.instances[id] = in
	t.version++
	return true
}
