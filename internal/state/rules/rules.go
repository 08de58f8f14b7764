// Package rules holds the routing rules in force.
package rules

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxReplaced is the number of replaced rules that are kept. Instances poll for
// changes without pause, so that they are rarely more than a few changes behind.
const maxReplaced = 4

// Table holds one set of routing rules. mu has lock.RankDocument and guards
// the other fields. Invariant: the revision of current never falls.
type Table struct {
	mu       lock.Mutex
	current  *Index                // of the rules in force; nil means none
	replaced []*model.RoutingRules // the last ones, oldest first
}

// NewTable returns a table without rules.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankDocument)}
}

// Apply puts the rules in force if their revision is higher than the current
// one, and reports whether it did. The caller must not change r afterwards.
func (t *Table) Apply(r *model.RoutingRules) bool {
	if current := t.Current(); current != nil && r.Revision <= current.Revision {
		return false
	}
	index := NewIndex(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && r.Revision <= t.current.Rules.Revision {
		return false
	}
	if t.current != nil {
		if len(t.replaced) == maxReplaced {
			t.replaced = slices.Delete(t.replaced, 0, 1)
		}
		t.replaced = append(t.replaced, t.current.Rules)
	}
	t.current = index
	return true
}

// Recent returns the rules of the revision if they were replaced recently, or nil.
// The caller must not change them.
func (t *Table) Recent(revision uint64) *model.RoutingRules {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.replaced {
		if r.Revision == revision {
			return r
		}
	}
	return nil
}

// Current returns the rules in force, or nil. The caller must not change them.
func (t *Table) Current() *model.RoutingRules {
	if index := t.Index(); index != nil {
		return index.Rules
	}
	return nil
}

// Index returns the index of the rules in force, or nil.
func (t *Table) Index() *Index {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
