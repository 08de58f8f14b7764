// Package storetest provides an in-memory store.Rows with fault injection for tests.
package storetest

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
)

// Fault describes the fault of one call. With the zero value the call succeeds
// without delay.
type Fault struct {
	Down       bool          // refuse the call without effect
	Delay      time.Duration // wait before the call takes effect
	LoseAnswer bool          // let a write take effect but lose its answer; refuse a read
}

// Rows is a table of typed rows in memory.
type Rows[T any] struct {
	// Fault is called before each call and returns its fault; nil means no faults.
	Fault func(key string) Fault
	// OnPut is called for each write that takes effect, in order, with the lock held.
	OnPut func(key string, old, value T)

	mu       sync.Mutex
	rows     map[string]store.Row[T]
	revision int
	writes   int
	reads    int
}

// New returns an empty table.
func New[T any]() *Rows[T] {
	return &Rows[T]{rows: map[string]store.Row[T]{}}
}

// Get implements store.Rows.
func (r *Rows[T]) Get(ctx context.Context, key string) (store.Row[T], error) {
	if err := r.startRead(ctx, key); err != nil {
		return store.Row[T]{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	row, ok := r.rows[key]
	if !ok {
		return store.Row[T]{}, store.ErrNotFound
	}
	return row, nil
}

// Put implements store.Rows. A write that is delayed beyond the context still
// takes effect, as a request on the network may.
func (r *Rows[T]) Put(ctx context.Context, key string, value T, expected store.Revision) (store.Revision, error) {
	fault := r.nextFault(key)
	if fault.Down {
		return "", store.ErrUnavailable
	}
	time.Sleep(fault.Delay)
	revision, err := r.apply(key, value, expected)
	if fault.LoseAnswer || ctx.Err() != nil {
		return "", store.ErrUnknownOutcome
	}
	return revision, err
}

// List implements store.Rows.
func (r *Rows[T]) List(ctx context.Context, prefix string) ([]store.Row[T], error) {
	if err := r.startRead(ctx, prefix); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	var found []store.Row[T]
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b store.Row[T]) int { return cmp.Compare(a.Key, b.Key) })
	return found, nil
}

// Calls returns the numbers of reads and of writes that took effect.
func (r *Rows[T]) Calls() (reads, writes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads, r.writes
}

func (r *Rows[T]) nextFault(key string) Fault {
	if r.Fault == nil {
		return Fault{}
	}
	return r.Fault(key)
}

func (r *Rows[T]) startRead(ctx context.Context, key string) error {
	fault := r.nextFault(key)
	if fault.Down || fault.LoseAnswer {
		return store.ErrUnavailable
	}
	return wait.Sleep(ctx, fault.Delay)
}

func (r *Rows[T]) apply(key string, value T, expected store.Revision) (store.Revision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.rows[key]
	if old.Revision != expected {
		return "", store.ErrConflict
	}
	r.revision++
	r.writes++
	if r.OnPut != nil {
		r.OnPut(key, old.Value, value)
	}
	revision := store.Revision(strconv.Itoa(r.revision))
	r.rows[key] = store.Row[T]{Key: key, Value: value, Revision: revision}
	return revision, nil
}
