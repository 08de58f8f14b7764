// Package evidence holds the request counters by which the versions of a model or
// service are compared.
package evidence

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Key names one counter row. Minute is Unix time divided by 60 s.
type Key struct {
	Instance model.InstanceID
	Version  model.VersionKey
	Route    string // service route, or "generate" for engines
	Minute   int64
}

// Buckets is the number of latency buckets. Bucket i counts observations
// below BucketBound(i); the last has no bound.
const Buckets = 24

// BucketBound returns the upper bound of latency bucket i: 1 ms, doubled for
// every second bucket, so that neighbours differ by a factor of about 1.41.
func BucketBound(i int) time.Duration {
	bound := time.Millisecond << (i / 2)
	if i%2 == 1 {
		bound = bound * 1414 / 1000
	}
	return bound
}

// Counts are totals that only grow within one key.
type Counts struct {
	Requests  uint64
	Failures  uint64
	FirstWait [Buckets]uint64 // time to first token, or to the response
	Pace      [Buckets]uint64 // mean time between tokens of one stream
}

// replaceRow subtracts the old counts of one row from a sum and adds its updated
// counts. The old counts are part of the sum, so no counter falls below zero.
func (c *Counts) replaceRow(old, updated Counts) {
	c.Requests += updated.Requests - old.Requests
	c.Failures += updated.Failures - old.Failures
	for i := range Buckets {
		c.FirstWait[i] += updated.FirstWait[i] - old.FirstWait[i]
		c.Pace[i] += updated.Pace[i] - old.Pace[i]
	}
}

// Bucket returns the bucket for a latency.
func Bucket(d time.Duration) int {
	for i := range Buckets - 1 {
		if d < BucketBound(i) {
			return i
		}
	}
	return Buckets - 1
}

// SumKey names a sum: the counts of one version, route and minute over all
// instances.
type SumKey struct {
	Version model.VersionKey
	Route   string
	Minute  int64
}

func (k Key) sumKey() SumKey { return SumKey{k.Version, k.Route, k.Minute} }

// sum holds the counts of one SumKey over all instances. The rows of an instance are keyed by a
// pointer to their sum, which is shorter than a Key.
type sum struct {
	key    SumKey
	counts Counts
}

// Table maps keys to counts and sums the counts over the instances. mu has
// lock.RankEvidence and guards the other fields.
//
// Invariants: the requests of a row never fall, so merging is idempotent. A
// sum equals the total of its rows, including the rows that were folded. No row
// is merged into a minute before foldedBefore.
type Table struct {
	mu           lock.Mutex
	rows         map[model.InstanceID]map[*sum]packedCounts
	sums         map[SumKey]*sum
	foldedBefore int64 // minutes before this one have only sums, no rows
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:   lock.New(lock.RankEvidence),
		rows: map[model.InstanceID]map[*sum]packedCounts{},
		sums: map[SumKey]*sum{},
	}
}

// Observation is the result of one finished or failed request.
type Observation struct {
	Failed    bool
	FirstWait time.Duration // zero means not measured
	Pace      time.Duration // zero means not measured
}

// Observe counts one request.
func (t *Table) Observe(key Key, o Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sumOf(key)
	old := t.rows[key.Instance][s].counts()
	c := old
	c.Requests++
	if o.Failed {
		c.Failures++
	}
	if o.FirstWait > 0 {
		c.FirstWait[Bucket(o.FirstWait)]++
	}
	if o.Pace > 0 {
		c.Pace[Bucket(o.Pace)]++
	}
	t.setRow(key.Instance, s, old, c)
}

// Merge stores another instance's counts if they include more requests than the
// stored row, and reports whether it did. It refuses rows of folded minutes, whose
// earlier counts are no longer known.
func (t *Table) Merge(key Key, c Counts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key.Minute < t.foldedBefore || c.Requests == 0 {
		return false
	}
	s := t.sumOf(key)
	old := t.rows[key.Instance][s].counts()
	if old.Requests >= c.Requests {
		return false
	}
	t.setRow(key.Instance, s, old, c)
	return true
}

// sumOf returns the sum that a row belongs to, and creates it if there is none.
// The caller holds mu.
func (t *Table) sumOf(key Key) *sum {
	sumKey := key.sumKey()
	s, ok := t.sums[sumKey]
	if !ok {
		s = &sum{key: sumKey}
		t.sums[sumKey] = s
	}
	return s
}

// setRow stores a row and updates its sum. The caller holds mu.
func (t *Table) setRow(id model.InstanceID, s *sum, old, c Counts) {
	s.counts.replaceRow(old, c)
	rows, ok := t.rows[id]
	if !ok {
		rows = map[*sum]packedCounts{}
		t.rows[id] = rows
	}
	rows[s] = pack(c)
}

// Get returns the counts of one row.
func (t *Table) Get(key Key) (Counts, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sums[key.sumKey()]
	if !ok {
		return Counts{}, false
	}
	row, ok := t.rows[key.Instance][s]
	return row.counts(), ok
}

// InstanceRows returns the rows of one instance from the given minute on.
func (t *Table) InstanceRows(id model.InstanceID, oldest int64) map[Key]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := map[Key]Counts{}
	for s, row := range t.rows[id] {
		if s.key.Minute >= oldest {
			rows[Key{id, s.key.Version, s.key.Route, s.key.Minute}] = row.counts()
		}
	}
	return rows
}

// Sums returns the counts of the given versions over all instances.
func (t *Table) Sums(versions ...model.VersionKey) map[SumKey]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[SumKey]Counts{}
	for key, s := range t.sums {
		if slices.Contains(versions, key.Version) {
			sums[key] = s.counts
		}
	}
	return sums
}

// RowsByMinute returns the number of rows of each minute.
func (t *Table) RowsByMinute() map[int64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	minutes := map[int64]int{}
	for _, rows := range t.rows {
		for s := range rows {
			minutes[s.key.Minute]++
		}
	}
	return minutes
}

// FoldBefore removes the rows of minutes before the given one and keeps their
// sums.
func (t *Table) FoldBefore(minute int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(minute)
}

// fold implements FoldBefore. The caller holds mu.
func (t *Table) fold(minute int64) {
	if minute <= t.foldedBefore {
		return
	}
	t.foldedBefore = minute
	for id, rows := range t.rows {
		maps.DeleteFunc(rows, func(s *sum, _ packedCounts) bool { return s.key.Minute < minute })
		if len(rows) == 0 {
			delete(t.rows, id)
		}
	}
}

// DropBefore removes the rows and sums of minutes before the given one.
func (t *Table) DropBefore(minute int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(minute)
	maps.DeleteFunc(t.sums, func(key SumKey, _ *sum) bool { return key.Minute < minute })
}
