package generation

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const shardCount = 32 // keeps lock contention low at 1,000 and more streams

// entry is a record and the channel that is closed at its next change.
type entry struct {
	record  Record
	changed chan struct{}
}

// shard is one part of the table. mu has lock.RankGeneration and guards
// entries. No goroutine holds the locks of two shards.
type shard struct {
	mu      lock.Mutex
	entries map[model.RequestID]*entry
}

// Table holds the generations in flight on this instance, owned or copied.
type Table struct {
	shards [shardCount]shard
	epochs atomic.Uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].mu = lock.New(lock.RankGeneration)
		t.shards[i].entries = map[model.RequestID]*entry{}
	}
	return t
}

func (t *Table) shard(id model.RequestID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Insert adds a record. It reports false if the request is already present.
func (t *Table) Insert(r Record) bool {
	s := t.shard(r.Spec.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[r.Spec.Request]; ok {
		return false
	}
	r.Epoch = t.epochs.Add(1)
	s.entries[r.Spec.Request] = &entry{record: r, changed: make(chan struct{})}
	return true
}

// Replace inserts a record, replacing any earlier record of the same request,
// and returns it with its epoch. Readers of the old record see it as removed.
func (t *Table) Replace(r Record) Record {
	s := t.shard(r.Spec.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[r.Spec.Request]; ok {
		close(e.changed)
	}
	r.Epoch = t.epochs.Add(1)
	s.entries[r.Spec.Request] = &entry{record: r, changed: make(chan struct{})}
	return r
}

// Get returns a copy of the record.
func (t *Table) Get(id model.RequestID) (Record, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Update changes the record in place under the table's lock and wakes its
// readers. change must not block or call out.
func (t *Table) Update(id model.RequestID, change func(*Record)) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return false
	}
	change(&e.record)
	close(e.changed)
	e.changed = make(chan struct{})
	return true
}

// Remove deletes the record and wakes its readers.
func (t *Table) Remove(id model.RequestID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		close(e.changed)
		delete(s.entries, id)
	}
}

// Each calls visit with a copy of each record, without holding a lock.
func (t *Table) Each(visit func(Record)) {
	for i := range t.shards {
		for _, r := range t.shards[i].snapshot() {
			visit(r)
		}
	}
}

func (s *shard) snapshot() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		records = append(records, e.record)
	}
	return records
}

// Len returns the number of records.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

// AwaitEnd waits for the end of a generation without showing its tokens, and
// returns the final record.
func (t *Table) AwaitEnd(ctx context.Context, id model.RequestID) (Record, error) {
	for {
		record, changed := t.pollEnd(id)
		if changed == nil {
			return record, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Record{}, ctx.Err()
		}
	}
}

// pollEnd returns the record if it has ended, an empty one if it was removed, or
// else a channel that is closed at the next change.
func (t *Table) pollEnd(id model.RequestID) (Record, <-chan struct{}) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return Record{}, nil
	}
	if e.record.End == nil {
		return Record{}, e.changed
	}
	return e.record, nil
}
