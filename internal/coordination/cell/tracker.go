package cell

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Tracker caches the cell of this instance, since every placement needs it. mu
// has lock.RankCell and guards the fields below it.
type Tracker struct {
	instances *instance.Table
	self      model.InstanceID

	mu             lock.Mutex
	tableVersion   uint64 // version of the instance table from which current was derived
	current        Cell
	prefersAddress map[string]bool // cached results of Cell.Prefers by address
}

// NewTracker returns a tracker over the table of instances.
func NewTracker(instances *instance.Table, self model.InstanceID) *Tracker {
	return &Tracker{instances: instances, self: self, mu: lock.New(lock.RankCell), prefersAddress: map[string]bool{}}
}

// Members returns the instances of the cell.
func (t *Tracker) Members() []model.Instance {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.Members
}

// OtherFirsts returns the first live members of the other cells.
func (t *Tracker) OtherFirsts() []model.Instance {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.OtherFirsts
}

// Name returns the name of the cell. It is empty in a deployment of one cell.
func (t *Tracker) Name() string {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.name
}

// Prefers reports whether the cell prefers the engine at the address.
func (t *Tracker) Prefers(address string) bool {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	owned, known := t.prefersAddress[address]
	if !known {
		owned = t.current.Prefers(address)
		t.prefersAddress[address] = owned
	}
	return owned
}

// refresh recomputes the cell if the instance table has changed.
func (t *Tracker) refresh() {
	version := t.instances.Version()
	if t.upToDate(version) {
		return
	}
	current := ForInstance(t.instances.All(), t.self)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tableVersion, t.current = version, current
	clear(t.prefersAddress)
}

func (t *Tracker) upToDate(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tableVersion == version && version > 0
}
