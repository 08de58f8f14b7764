// Package evidence holds the counters by which versions are judged.
package evidence

import (
	"maps"
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

// Bucket returns the bucket for a latency.
func Bucket(d time.Duration) int {
	for i := range Buckets - 1 {
		if d < BucketBound(i) {
			return i
		}
	}
	return Buckets - 1
}

// Table maps keys to counts. mu has lock.RankEvidence and guards rows.
// Invariant: the counts of a key never fall, so merging is idempotent.
type Table struct {
	mu   lock.Mutex
	rows map[Key]Counts
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankEvidence), rows: map[Key]Counts{}}
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
	c := t.rows[key]
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
	t.rows[key] = c
}

// Merge stores another instance's counts if they are higher than the known.
func (t *Table) Merge(key Key, c Counts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.rows[key]; ok && old.Requests >= c.Requests {
		return false
	}
	t.rows[key] = c
	return true
}

// Snapshot returns a copy of all rows.
func (t *Table) Snapshot() map[Key]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

// DropBefore removes the rows of older minutes.
func (t *Table) DropBefore(minute int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.rows, func(k Key, _ Counts) bool { return k.Minute < minute })
}
