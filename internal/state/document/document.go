// Package document holds the environment document in force.
package document

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Table holds one document. mu has lock.RankDocument and guards the other
// fields. Invariant: the generation of current never falls.
type Table struct {
	mu           lock.Mutex
	current      *model.Document
	inForceSince time.Time // when current came into force here
	changed      chan struct{}
}

// NewTable returns a table without a document.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankDocument), changed: make(chan struct{})}
}

// Apply puts the document in force if its generation is higher than the
// current one, and reports whether it did. The caller must not change d
// afterwards.
func (t *Table) Apply(d *model.Document) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && d.Generation <= t.current.Generation {
		return false
	}
	t.current, t.inForceSince = d, time.Now()
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Current returns the document in force, or nil. The caller must not change the
// document.
func (t *Table) Current() *model.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// InForceSince returns the time at which the current document was applied on
// this instance, or false if there is no document.
func (t *Table) InForceSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForceSince, t.current != nil
}

// Changed returns a channel that is closed when the next document is applied.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
