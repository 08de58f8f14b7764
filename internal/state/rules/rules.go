// Package rules holds the routing rules in force.
package rules

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Table holds one set of routing rules. mu has lock.RankDocument and guards
// the other fields. Invariant: the revision of current never falls.
type Table struct {
	mu      lock.Mutex
	current *model.RoutingRules
}

// NewTable returns a table without rules.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankDocument)}
}

// Apply puts the rules in force if their revision is higher than the current
// one, and reports whether it did. The caller must not change r afterwards.
func (t *Table) Apply(r *model.RoutingRules) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && r.Revision <= t.current.Revision {
		return false
	}
	t.current = r
	return true
}

// Current returns the rules in force, or nil. The caller must not change them.
func (t *Table) Current() *model.RoutingRules {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
