// Package upstream holds the table of upstreams: their health, their reported
// load and the work that this instance has in flight on them.
package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Health is what is known of an upstream's ability to take work.
type Health string

// Health states.
const (
	HealthUnknown Health = "unknown"
	HealthUp      Health = "up"
	HealthDown    Health = "down"
	HealthLeaving Health = "leaving" // final for one incarnation
)

// maxReorder is the most by which a report with a higher sequence number can
// hold an older load: the probes of two watchers overlap, and engines report
// with a lag. A larger difference means that a clock was set back.
const maxReorder = 10 * time.Second

// Report is a watcher's or an upstream's own account. Reports with a lower
// (Incarnation, Sequence) than the stored one are ignored.
type Report struct {
	Upstream    model.UpstreamID
	Incarnation uint64 // changes when the upstream restarts
	Sequence    uint64 // rises with each report of one incarnation
	Health      Health
	Running     int           // generations that decode now
	Waiting     int           // generations that wait on the engine
	TokenTime   time.Duration // time between tokens of one stream; zero means unknown
	PrefillRate float64       // prompt bytes/s; zero means unknown
	At          time.Time     // when the load was true, by the watcher's clock
}

// Row is the state of one upstream.
type Row struct {
	Upstream  model.Upstream
	Report    Report
	InFlight  int       // this instance's requests
	Sent      int       // this instance's requests sent after Report.At, at most maxSends
	DownUntil time.Time // a connection failure keeps new work away until then
	FailedAt  time.Time // of the last connection failure, here or at another instance
	SeenAt    time.Time // of the last output that came from it
	Failures  int       // consecutive local connection failures
	Version   uint64    // of the table when Report last changed
}

// Load is the part of a row by which placements compare upstreams. Each
// placement reads the loads of all upstreams of a model; a Load has a fifth of
// the size of a Row. The fields have the meaning of those of Row and Report.
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
// Invariants: an upstream that left stays out until a higher incarnation is
// reported; InFlight equals the number of Acquire calls less Release calls;
// Sent equals the number of the row's sends, all later than Report.At.
type Table struct {
	mu      lock.Mutex
	rows    map[model.UpstreamID]*Row
	sends   map[model.UpstreamID]sends
	serving map[string][]*Row // the same rows by what they serve, sorted by ID
	version uint64            // rises with each change of a report
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankUpstream), rows: map[model.UpstreamID]*Row{}, sends: map[model.UpstreamID]sends{}}
}

// Configure makes the rows match the document's upstreams. State of kept
// upstreams stays; an upstream with work in flight that was dropped from the
// document stays as leaving until its work is done.
func (t *Table) Configure(upstreams []model.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[model.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		kept[u.ID] = true
		if row, ok := t.rows[u.ID]; ok {
			row.Upstream = u
			continue
		}
		t.rows[u.ID] = &Row{Upstream: u, Report: Report{Upstream: u.ID, Health: HealthUnknown}}
	}
	for id, row := range t.rows {
		if kept[id] {
			continue
		}
		if row.InFlight == 0 {
			delete(t.rows, id)
			delete(t.sends, id)
			continue
		}
		row.Report.Health = HealthLeaving
	}
	t.index()
}

// index rebuilds serving. The empty name stands for all rows. The caller holds
// mu.
func (t *Table) index() {
	t.serving = map[string][]*Row{}
	for _, row := range t.rows {
		t.serving[""] = append(t.serving[""], row)
		if name := row.Upstream.Serves; name != "" {
			t.serving[name] = append(t.serving[name], row)
		}
	}
	for _, rows := range t.serving {
		slices.SortFunc(rows, func(a, b *Row) int {
			return strings.Compare(string(a.Upstream.ID), string(b.Upstream.ID))
		})
	}
}

// Apply stores a report unless a newer one is known, and reports a change of
// health or load. A load that was taken before the stored one does not replace
// it, even where its report has the higher sequence number, unless it is older
// by maxReorder or more.
func (t *Table) Apply(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[r.Upstream]
	if !ok {
		return false
	}
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
	t.setSends(row, t.sends[r.Upstream].after(r.At))
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
	if !ok || row.Report.Health == HealthLeaving {
		return false
	}
	r := row.Report
	r.Health = HealthLeaving
	t.setReport(row, r)
	return true
}

// setReport stores a report under a new version. The caller holds mu.
func (t *Table) setReport(row *Row, r Report) {
	t.version++
	row.Report = r
	row.Version = t.version
}

// setSends stores the sends that are newer than the row's report. The caller
// holds mu.
func (t *Table) setSends(row *Row, newer sends) {
	t.sends[row.Upstream.ID] = newer
	row.Sent = len(newer)
}

// withLoad returns the report with the load figures of another one.
func (r Report) withLoad(of Report) Report {
	r.Running, r.Waiting = of.Running, of.Waiting
	r.TokenTime, r.PrefillRate = of.TokenTime, of.PrefillRate
	r.At = of.At
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
	t.setSends(row, t.sends[id].add(now))
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

// Failed keeps new work away from an upstream until the given time, after a
// connection failure at another one. A failure older than the last one that is
// known changes nothing.
func (t *Table) Failed(id model.UpstreamID, at, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok && !at.Before(row.FailedAt) {
		row.Failures++
		row.FailedAt = at
		row.DownUntil = until
	}
}

// Succeeded notes output of an upstream at the given time and clears the mark
// that Failed left.
func (t *Table) Succeeded(id model.UpstreamID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[id]; ok {
		row.Failures = 0
		row.SeenAt = at
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

// Loads returns the loads of the usable upstreams that serve the given model
// or service in the given version with the given adapter, sorted by upstream
// ID. An empty version means any, an empty adapter none.
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

// Usable returns the number of upstreams that serve the given model or service
// and may take new work.
func (t *Table) Usable(name string, now time.Time) int {
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

// HasVersion reports whether the document names an upstream of the version.
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
