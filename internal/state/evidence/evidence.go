// Package evidence holds the counters by which versions are judged.
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

// Counts are sums that only grow within one key.
type Counts struct {
	Requests  uint64
	Failures  uint64
	FirstWait [Buckets]uint64 // time to first token, or to the response
	Pace      [Buckets]uint64 // mean time between tokens of one stream
}

// replace takes one row's old counts out of a sum and adds the new ones. The
// old ones are part of the sum, so nothing falls below zero.
func (c *Counts) replace(old, now Counts) {
	c.Requests += now.Requests - old.Requests
	c.Failures += now.Failures - old.Failures
	for i := range Buckets {
		c.FirstWait[i] += now.FirstWait[i] - old.FirstWait[i]
		c.Pace[i] += now.Pace[i] - old.Pace[i]
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

// Cell names the sum of one minute over all instances.
type Cell struct {
	Version model.VersionKey
	Route   string
	Minute  int64
}

func (k Key) cell() Cell { return Cell{k.Version, k.Route, k.Minute} }

// sum is a cell with its counts. Rows point to it, so that their keys are
// short.
type sum struct {
	cell   Cell
	counts Counts
}

// Table maps keys to counts and sums them over the instances. mu has
// lock.RankEvidence and guards the other fields.
//
// Invariants: the requests of a row never fall, so merging is idempotent. A
// sum equals the sum of its rows, those that were folded included. No row
// merges into a minute before folded.
type Table struct {
	mu     lock.Mutex
	rows   map[model.InstanceID]map[*sum]packed
	sums   map[Cell]*sum
	folded int64 // minutes before this one have sums only
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:   lock.New(lock.RankEvidence),
		rows: map[model.InstanceID]map[*sum]packed{},
		sums: map[Cell]*sum{},
	}
}

// Observation is one finished or failed request on one version.
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
	t.set(key.Instance, s, old, c)
}

// Merge stores another instance's counts if they are higher than the known. It
// refuses rows of folded minutes, whose earlier counts are not known.
func (t *Table) Merge(key Key, c Counts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key.Minute < t.folded || c.Requests == 0 {
		return false
	}
	s := t.sumOf(key)
	old := t.rows[key.Instance][s].counts()
	if old.Requests >= c.Requests {
		return false
	}
	t.set(key.Instance, s, old, c)
	return true
}

// sumOf returns the sum that a row belongs to. The caller holds mu.
func (t *Table) sumOf(key Key) *sum {
	cell := key.cell()
	s, ok := t.sums[cell]
	if !ok {
		s = &sum{cell: cell}
		t.sums[cell] = s
	}
	return s
}

// set stores a row. The caller holds mu.
func (t *Table) set(id model.InstanceID, s *sum, old, c Counts) {
	s.counts.replace(old, c)
	rows, ok := t.rows[id]
	if !ok {
		rows = map[*sum]packed{}
		t.rows[id] = rows
	}
	rows[s] = pack(c)
}

// Get returns the counts of one row.
func (t *Table) Get(key Key) (Counts, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sums[key.cell()]
	if !ok {
		return Counts{}, false
	}
	row, ok := t.rows[key.Instance][s]
	return row.counts(), ok
}

// Of returns the rows of one instance from the given minute on.
func (t *Table) Of(id model.InstanceID, oldest int64) map[Key]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := map[Key]Counts{}
	for s, row := range t.rows[id] {
		if s.cell.Minute >= oldest {
			rows[Key{id, s.cell.Version, s.cell.Route, s.cell.Minute}] = row.counts()
		}
	}
	return rows
}

// Sums returns the counts of the given versions over all instances.
func (t *Table) Sums(versions ...model.VersionKey) map[Cell]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[Cell]Counts{}
	for cell, s := range t.sums {
		if slices.Contains(versions, cell.Version) {
			sums[cell] = s.counts
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
			minutes[s.cell.Minute]++
		}
	}
	return minutes
}

// FoldBefore keeps only the sums of minutes before the given one.
func (t *Table) FoldBefore(minute int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(minute)
}

// fold removes rows. The caller holds mu.
func (t *Table) fold(minute int64) {
	if minute <= t.folded {
		return
	}
	t.folded = minute
	for id, rows := range t.rows {
		maps.DeleteFunc(rows, func(s *sum, _ packed) bool { return s.cell.Minute < minute })
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
	maps.DeleteFunc(t.sums, func(c Cell, _ *sum) bool { return c.Minute < minute })
}
