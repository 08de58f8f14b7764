package cell

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Tracker keeps the cell of this instance, as placements ask for it often. mu
// has lock.RankCell and guards the fields below it.
type Tracker struct {
	instances *instance.Table
	self      model.InstanceID

	mu      lock.Mutex
	version uint64 // of the table that current is from
	current Cell
	owned   map[string]bool // by address
}

// NewTracker returns a tracker over the table of instances.
func NewTracker(instances *instance.Table, self model.InstanceID) *Tracker {
	return &Tracker{instances: instances, self: self, mu: lock.New(lock.RankCell), owned: map[string]bool{}}
}

// Members returns the instances of the cell.
func (t *Tracker) Members() []model.Instance {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.Members
}

// Owns reports whether the cell prefers the engine at the address.
func (t *Tracker) Owns(address string) bool {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	owned, known := t.owned[address]
	if !known {
		owned = t.current.Owns(address)
		t.owned[address] = owned
	}
	return owned
}

// refresh derives the cell again after the table changed.
func (t *Tracker) refresh() {
	version := t.instances.Version()
	if t.upToDate(version) {
		return
	}
	found := Of(t.instances.All(), t.self)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version, t.current = version, found
	clear(t.owned)
}

func (t *Tracker) upToDate(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version == version && version > 0
}
