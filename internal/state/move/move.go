// Package move holds the version moves that are in force on this instance, and
// counts how the requests of both versions ended during them.
package move

import (
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Counts are the ended requests of one version on one route.
type Counts struct {
	Requests uint64
	Failures uint64 // requests that failed or were late
}

// Row is one instance's counts of one route during a move.
type Row struct {
	Service  string
	Revision uint64 // of the order that started the move
	Route    string
	Old, New Counts
}

// VersionCounts holds the counts of the previous and the target version on one route.
type VersionCounts struct{ Old, New Counts }

type rowKey struct {
	service  string
	revision uint64
	route    string
}

// appliedMove is a move with the local time at which it was applied.
type appliedMove struct {
	model.VersionMove
	appliedAt time.Time
}

// Table holds moves and counts. mu has lock.RankMove and guards the other
// fields except hasMoves, which is atomic.
//
// Invariants: the move of a service is replaced only by one of a later order, or,
// for the same order, of a more final state (finished, then taken back, then
// open), or, for the same state, of a later step. Counts of a service belong to
// its present move only. Once the store was restored, a move without an era, of an earlier
// build, replaces one of a known era only if both are of the same order.
type Table struct {
	hasMoves atomic.Bool // true once a move was applied; requests need no lock before that
	mu       lock.Mutex
	restored bool // the store was restored from an older copy
	moves    map[string]appliedMove
	local    map[rowKey]VersionCounts
	remote   map[model.InstanceID]map[rowKey]VersionCounts
}

// NewTable returns a table without moves.
func NewTable() *Table {
	return &Table{
		mu:     lock.New(lock.RankMove),
		moves:  map[string]appliedMove{},
		local:  map[rowKey]VersionCounts{},
		remote: map[model.InstanceID]map[rowKey]VersionCounts{},
	}
}

// Apply stores a move if it supersedes the stored move of its service, and
// reports whether it did.
func (t *Table) Apply(m model.VersionMove, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.moves[m.Service]
	if known && !supersedes(m, old.VersionMove, t.restored) {
		return false
	}
	if m.Era == 0 && m.Is(old.VersionOrder) {
		m.Era = old.Era // the earlier build that sent it does not know the era of the order
	}
	t.moves[m.Service] = appliedMove{m, now}
	t.hasMoves.Store(true)
	if old.Revision != m.Revision || old.Target != m.Target {
		t.dropCounts(m.Service)
	}
	return true
}

// StoreRestored records that the store was restored from an older copy.
func (t *Table) StoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restored = true
}

func supersedes(m, old model.VersionMove, restored bool) bool {
	switch {
	case restored && !m.IsOnceRestored(old.VersionOrder):
		return m.AfterOnceRestored(old.VersionOrder)
	case !m.Is(old.VersionOrder):
		return m.After(old.VersionOrder)
	}
	if finality(m.State) != finality(old.State) {
		return finality(m.State) > finality(old.State)
	}
	if m.Step != old.Step {
		return m.Step > old.Step
	}
	return m.Era > old.Era // learned from an earlier build before
}

// finality returns the precedence of a state. MoveFinished comes before
// MoveTakenBack: a finished move is in the store and the upstreams of the previous
// version stop at once, so a finished move stays so even when evidence against the
// target arrives later.
func finality(s model.MoveState) int {
	switch s {
	case model.MoveFinished:
		return 2
	case model.MoveTakenBack:
		return 1
	default:
		return 0
	}
}

// dropCounts removes the counts of a service. The caller holds mu.
func (t *Table) dropCounts(service string) {
	drop := func(rows map[rowKey]VersionCounts) {
		for key := range rows {
			if key.service == service {
				delete(rows, key)
			}
		}
	}
	drop(t.local)
	for _, rows := range t.remote {
		drop(rows)
	}
}

// Get returns the newest move of a service and the local time at which it was
// applied.
func (t *Table) Get(service string) (m model.VersionMove, at time.Time, known bool) {
	if !t.hasMoves.Load() {
		return model.VersionMove{}, time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	applied, known := t.moves[service]
	return applied.VersionMove, applied.appliedAt, known
}

// All returns the newest move of each service.
func (t *Table) All() []model.VersionMove {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]model.VersionMove, 0, len(t.moves))
	for _, applied := range t.moves {
		all = append(all, applied.VersionMove)
	}
	return all
}

// Record counts a request that ended at an upstream of the version, if the
// service's move is open. bad means that the request failed or was late.
func (t *Table) Record(service, version, route string, bad bool) {
	if !t.hasMoves.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.moves[service]
	if m.State != model.MoveOpen {
		return
	}
	key := rowKey{service, m.Revision, route}
	versions := t.local[key]
	counts := &versions.Old
	if version == m.Target {
		counts = &versions.New
	}
	counts.Requests++
	if bad {
		counts.Failures++
	}
	t.local[key] = versions
}

// LocalRows returns this instance's counts of open moves.
func (t *Table) LocalRows() []Row {
	if !t.hasMoves.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row
	for key, versions := range t.local {
		if t.moves[key.service].State == model.MoveOpen {
			rows = append(rows, Row{key.service, key.revision, key.route, versions.Old, versions.New})
		}
	}
	return rows
}

// SetRemote replaces the counts of another instance. Rows of moves other than the
// present ones are dropped.
func (t *Table) SetRemote(from model.InstanceID, rows []Row) {
	if !t.hasMoves.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[rowKey]VersionCounts, len(rows))
	for _, r := range rows {
		if t.moves[r.Service].Revision == r.Revision {
			counts[rowKey{r.Service, r.Revision, r.Route}] = VersionCounts{r.Old, r.New}
		}
	}
	if len(counts) > 0 {
		t.remote[from] = counts
	}
}

// Totals returns the counts of a service's move by route, summed over this
// instance and all instances whose counts were received.
func (t *Table) Totals(service string) map[string]VersionCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := map[string]VersionCounts{}
	add := func(rows map[rowKey]VersionCounts) {
		for key, versions := range rows {
			if key.service == service {
				totals[key.route] = totals[key.route].plus(versions)
			}
		}
	}
	add(t.local)
	for _, rows := range t.remote {
		add(rows)
	}
	return totals
}

func (c VersionCounts) plus(o VersionCounts) VersionCounts {
	return VersionCounts{c.Old.plus(o.Old), c.New.plus(o.New)}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failures + o.Failures}
}

// Since returns the difference to earlier counts, at least zero: the totals fall
// when an instance restarts, as it counts from zero again.
func (c Counts) Since(earlier Counts) Counts {
	difference := func(a, b uint64) uint64 {
		if a < b {
			return 0
		}
		return a - b
	}
	return Counts{difference(c.Requests, earlier.Requests), difference(c.Failures, earlier.Failures)}
}
