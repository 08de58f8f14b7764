// Package upstream holds the table of upstreams: their health, their reported
// load and the requests that this instance has in flight on them.
package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Health is an upstream's last known ability to take work.
type Health string

// Health states.
const (
	HealthUnknown Health = "unknown"
	HealthUp      Health = "up"
	HealthDown    Health = "down"
	HealthLeaving Health = "leaving" // final for one incarnation
)

// maxReorder bounds how much older the load in a report with a higher sequence
// number can be: the probes of two watchers overlap, and engines report with a
// lag. A larger difference means that a clock was set back.
const maxReorder = 10 * time.Second

// Report is the health and load of an upstream, reported by the upstream itself
// or by an instance that watches it. A report whose (Incarnation, Sequence) is
// not higher than that of the stored report is ignored.
type Report struct {
	Upstream    model.UpstreamID
	Incarnation uint64 // changes when the upstream restarts
	Sequence    uint64 // rises with each report of one incarnation
	Health      Health
	Running     int           // generations that the engine decodes now
	Waiting     int           // generations queued on the engine
	TokenTime   time.Duration // time between tokens of one stream; zero means unknown
	PrefillRate float64       // prompt bytes/s; zero means unknown
	At          time.Time     // when the load was measured, by the watcher's clock
}

// Row is the state of one upstream.
type Row struct {
	Upstream     model.Upstream
	Report       Report
	InFlight     int       // this instance's requests
	Sent         int       // this instance's requests sent after Report.At, at most maxSends
	DownUntil    time.Time // end of the backoff after a connection failure; no new work before it
	FailedAt     time.Time // time of the last connection failure, here or at another instance
	LastOutputAt time.Time // time of the upstream's last output
	Failures     int       // consecutive connection failures, here or at another instance
	Version      uint64    // version of the table when Report last changed
	// PausedUntil is the end of the pause that the upstream asked this instance for.
	PausedUntil time.Time
	// Returning means that the upstream has been paused and gets few requests until it
	// has answered some. ReturnSlots is the number of requests that it may get now.
	Returning   bool
	ReturnSlots int
	// absent means that the upstream was dropped from the document while it had work in
	// flight. healthBefore is its health without that.
	absent       bool
	healthBefore Health
}

// Load is the part of a row by which placements compare upstreams. Each
// placement reads the loads of all upstreams of a model, and a Load has a fifth
// of the size of a Row. The fields mean the same as in Row and Report.
type Load struct {
	Upstream    model.UpstreamID
	Running     int
	Waiting     int
	TokenTime   time.Duration
	PrefillRate float64
	InFlight    int
	Sent        int
}

// Table maps upstream IDs to rows. mu has lock.RankUpstream and guards all
// fields.
//
// Invariants: a leaving upstream stays leaving until a higher incarnation is reported or its
// entry has another one, unless it was only absent from the document; InFlight equals the
// number of Acquire calls less Release calls; Sent equals the number of the row's send times,
// all later than Report.At.
type Table struct {
	mu        lock.Mutex
	rows      map[model.UpstreamID]*Row
	sendTimes map[model.UpstreamID]sendTimes
	serving   map[string][]*Row // the rows by the model or service that they serve, sorted by ID
	// domains holds the number of rows of each model or service by failure domain. The
	// inner maps are replaced and never changed.
	domains map[string]map[model.FailureDomain]int
	version uint64 // rises with each change of a report
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:        lock.New(lock.RankUpstream),
		rows:      map[model.UpstreamID]*Row{},
		sendTimes: map[model.UpstreamID]sendTimes{},
	}
}

// Configure makes the rows match the document's upstreams. Upstreams that are
// still in the document keep their state. An upstream that was dropped from the
// document while it has work in flight is marked as leaving and removed by the
// first call of Configure after its work has ended. If it comes back before, it has
// the health that it had.
func (t *Table) Configure(upstreams []model.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	configured := make(map[model.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		configured[u.ID] = true
		if row, ok := t.rows[u.ID]; ok {
			row.Upstream = u
			if row.absent {
				row.absent, row.Report.Health = false, row.healthBefore
			}
			continue
		}
		t.rows[u.ID] = &Row{Upstream: u, Report: Report{Upstream: u.ID, Health: HealthUnknown}}
	}
	for id, row := range t.rows {
		if configured[id] {
			continue
		}
		if row.InFlight == 0 {
			delete(t.rows, id)
			delete(t.sendTimes, id)
			continue
		}
		if !row.absent {
			row.absent, row.healthBefore = true, row.Report.Health
			row.Report.Health = HealthLeaving
		}
	}
	t.rebuildIndex()
}

// rebuildIndex rebuilds serving. The empty name maps to all rows. The caller
// holds mu.
func (t *Table) rebuildIndex() {
	t.serving = map[string][]*Row{}
	t.domains = map[string]map[model.FailureDomain]int{}
	for _, row := range t.rows {
		t.serving[""] = append(t.serving[""], row)
		if name := row.Upstream.Serves; name != "" {
			t.serving[name] = append(t.serving[name], row)
		}
	}
	for name, rows := range t.serving {
		sizes := map[model.FailureDomain]int{}
		for _, row := range rows {
			sizes[row.Upstream.FailureDomain]++
		}
		t.domains[name] = sizes
		slices.SortFunc(rows, func(a, b *Row) int {
			return strings.Compare(string(a.Upstream.ID), string(b.Upstream.ID))
		})
	}
}

// Apply stores a report unless the stored one is as new, and returns whether it
// was stored. A load that was measured before the stored load does not replace
// it, even if its report has the higher sequence number, unless it is older by
// maxReorder or more.
func (t *Table) Apply(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[r.Upstream]
	return ok && t.apply(row, r)
}

// ApplyEntry is Apply for the entry in which an upstream describes itself. Entries arrive in the
// order in which they were written, so that one of another incarnation is of a later start even
// if the number is lower: it is the time of day at the upstream, which may be set back, and
// another writer may have written the entry in between.
func (t *Table) ApplyEntry(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[r.Upstream]
	if !ok {
		return false
	}
	if r.Incarnation < row.Report.Incarnation {
		row.absent = false
		row.Report = Report{Upstream: r.Upstream, Health: HealthUnknown}
	}
	return t.apply(row, r)
}

// apply is Apply for a row. The caller holds mu.
func (t *Table) apply(row *Row, r Report) bool {
	old := row.Report
	if r.Incarnation < old.Incarnation || (r.Incarnation == old.Incarnation && r.Sequence <= old.Sequence) {
		return false
	}
	if r.Incarnation == old.Incarnation && old.Health == HealthLeaving {
		r.Health = HealthLeaving
	}
	if r.Incarnation == old.Incarnation && r.At.Before(old.At) && old.At.Sub(r.At) < maxReorder {
		r = r.withLoad(old)
	}
	t.setReport(row, r)
	if r.Incarnation > old.Incarnation {
		row.absent = false
	}
	t.setSendTimes(row, t.sendTimes[r.Upstream].after(r.At))
	if r.Health == HealthUp && r.Incarnation > old.Incarnation {
		row.DownUntil = time.Time{}
		row.Failures = 0
	}
	return true
}

// Leave marks an upstream as leaving for its current incarnation.
func (t *Table) Leave(id model.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok || row.health() == HealthLeaving {
		return false
	}
	row.healthBefore = HealthLeaving // also where the upstream is absent, so that it stays leaving
	r := row.Report
	r.Health = HealthLeaving
	t.setReport(row, r)
	return true
}

// health returns the upstream's health, whether it is in the document or not.
func (r *Row) health() Health {
	if r.absent {
		return r.healthBefore
	}
	return r.Report.Health
}

// setReport stores a report under a new version. The caller holds mu.
func (t *Table) setReport(row *Row, r Report) {
	t.version++
	row.Report = r
	row.Version = t.version
}

// setSendTimes stores the times of the sends after the row's report. The caller
// holds mu.
func (t *Table) setSendTimes(row *Row, times sendTimes) {
	t.sendTimes[row.Upstream.ID] = times
	row.Sent = len(times)
}

// withLoad returns the report with the load figures of another report.
func (r Report) withLoad(other Report) Report {
	r.Running, r.Waiting = other.Running, other.Waiting
	r.TokenTime, r.PrefillRate = other.TokenTime, other.PrefillRate
	r.At = other.At
	return r
}

// ReportsSince returns the reports that changed after the given version, and
// the version up to which they are complete.
func (t *Table) ReportsSince(version uint64) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.version {
		return nil, version
	}
	var reports []Report
	for _, row := range t.rows {
		if row.Version > version {
			reports = append(reports, row.Report)
		}
	}
	return reports, t.version
}

// Acquire counts one request in flight, sent at the given time. It returns
// false for an unknown upstream.
func (t *Table) Acquire(id model.UpstreamID, now time.Time) (model.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok {
		return model.Upstream{}, false
	}
	row.InFlight++
	t.setSendTimes(row, t.sendTimes[id].add(now))
	return row.Upstream, true
}

// Release ends one request in flight.
func (t *Table) Release(id model.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok && row.InFlight > 0 {
		row.InFlight--
	}
}

// RecordFailure records a connection failure at the time at, and keeps new work
// away from the upstream until the time until. A failure older than the last known failure
// changes nothing.
func (t *Table) RecordFailure(id model.UpstreamID, at, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok && !at.Before(row.FailedAt) {
		row.Failures++
		row.FailedAt = at
		row.DownUntil = until
	}
}

// RecordOutput records output of an upstream at the given time and ends the backoff
// after a connection failure.
func (t *Table) RecordOutput(id model.UpstreamID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok {
		row.Failures = 0
		row.LastOutputAt = at
		row.DownUntil = time.Time{}
	}
}

// Get returns a copy of one row.
func (t *Table) Get(id model.UpstreamID) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	if !ok {
		return Row{}, false
	}
	return *row, true
}

// Serving returns the rows that serve the given model or service, sorted by
// upstream ID. An empty name returns all rows.
func (t *Table) Serving(name string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.serving[name]))
	for _, row := range t.serving[name] {
		rows = append(rows, *row)
	}
	return rows
}

// Failed returns the rows that serve the given model or service and whose last connection
// failure is later than the given time, and the number of all of its rows in each failure
// domain, which the caller must not change. It is called for each check of a running
// stream, where a copy of all rows would cost more than the check.
func (t *Table) Failed(name string, after time.Time) ([]Row, map[model.FailureDomain]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []Row
	for _, row := range t.serving[name] {
		if row.FailedAt.After(after) {
			failed = append(failed, *row)
		}
	}
	return failed, t.domains[name]
}

// Loads returns the loads of the usable upstreams that serve the given model
// or service in the given version with the given adapter, sorted by upstream
// ID. An empty version matches any version; an empty adapter means that none is
// needed.
func (t *Table) Loads(name, version, adapter string, now time.Time) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make([]Load, 0, len(t.serving[name]))
	for _, row := range t.serving[name] {
		if row.Upstream.Runs(version, adapter) && row.usable(now) {
			loads = append(loads, row.load())
		}
	}
	return loads
}

// CountUsable returns the number of upstreams that serve the given model or service
// and may take new work.
func (t *Table) CountUsable(name string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, row := range t.serving[name] {
		if row.usable(now) {
			n++
		}
	}
	return n
}

// HasVersion reports whether the table has an upstream that serves the given
// model or service in the given version, usable or not.
func (t *Table) HasVersion(name, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.serving[name], func(row *Row) bool { return row.Upstream.Version == version })
}

// Usable reports whether the row's upstream may take new work.
func (r Row) Usable(now time.Time) bool { return r.usable(now) }

func (r *Row) usable(now time.Time) bool {
	if r.Report.Health == HealthDown || r.Report.Health == HealthLeaving {
		return false
	}
	return !now.Before(r.DownUntil)
}

func (r *Row) load() Load {
	return Load{
		Upstream:    r.Upstream.ID,
		Running:     r.Report.Running,
		Waiting:     r.Report.Waiting,
		TokenTime:   r.Report.TokenTime,
		PrefillRate: r.Report.PrefillRate,
		InFlight:    r.InFlight,
		Sent:        r.Sent,
	}
}
