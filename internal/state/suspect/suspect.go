// Package suspect holds rows about requests that may crash engines. A suspect is a
// fingerprint whose requests ran on an engine that died. The rows are the deaths
// of engines, clear rows, permits, and the engines on which suspects run.
package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// expiry is the lifetime of deaths, clear rows and permits. It covers the time
	// in which a user repeats a lost request by hand.
	expiry = 10 * time.Minute
	// hostExpiry is the lifetime of a Host row that is not renewed. It frees an
	// engine after the instance that ran a suspect there has died.
	hostExpiry = time.Minute
	// maxSkew bounds how far ahead of the local clock the time of a row may be. A
	// row from an instance with a wrong clock would otherwise never expire.
	maxSkew = time.Minute
	maxRows = 4096 // of each kind; beyond it the oldest are dropped
)

// Fingerprint identifies requests that make an engine do the same work.
type Fingerprint string

// DeathID names the death of one engine process.
type DeathID struct {
	Upstream    model.UpstreamID
	Incarnation uint64
}

// Death records that an engine died while it ran the fingerprint.
type Death struct {
	ID          DeathID
	Fingerprint Fingerprint
	Position    int // number of tokens that the request had produced
	At          time.Time
}

// Clear records that a run of the fingerprint finished, or got beyond the positions
// of all of its deaths. Deaths that are not later than At no longer count.
type Clear struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Holder names the run that requests a permit. After a holder released its permit,
// its instance requests the next one under a new nonce, so that a delayed request
// for the old permit is refused.
type Holder struct {
	Instance model.InstanceID
	Nonce    uint64
}

// Permit records that a gate, an instance that grants permits, granted the holder
// the last run of the fingerprint before its requests are refused. A later clear
// row ends the permit.
type Permit struct {
	Fingerprint Fingerprint
	Holder      Holder
	At          time.Time
	Released    bool // the holder started no run with the permit and will start none
}

// HostID names the runs of a suspect by one instance on an engine.
type HostID struct {
	Upstream    model.UpstreamID
	Fingerprint Fingerprint
	By          model.InstanceID
}

// Host records that a suspect runs on an engine, or is about to. A row whose run
// has not started yet is a claim of the engine.
type Host struct {
	ID        HostID
	Revision  uint64 // rises with each change of the row
	Exclusive bool   // no other suspect may run on the engine
	Confirmed bool   // an attempt was started under the exclusive claim
	Claimed   time.Time
	Renewed   time.Time
	Ended     bool
}

// Rows is a set of rows that instances exchange.
type Rows struct {
	Deaths   []Death
	Clears   []Clear
	Permits  []Permit
	Hosts    []Host
	Disputes []Dispute `cbor:",omitempty"` // unknown to earlier builds, which ignore them
}

type deathKey struct {
	fingerprint Fingerprint
	id          DeathID
}

type permitKey struct {
	fingerprint Fingerprint
	holder      Holder
}

// localAttempts counts this instance's attempts of one fingerprint.
type localAttempts struct {
	upstream model.UpstreamID // engine of the first attempt
	attempts int
}

// Table holds the rows. mu has lock.RankSuspect and guards all fields.
//
// Invariants: merging is commutative, associative and idempotent, so that
// instances that exchanged their rows agree; rows are dropped only when they
// expire or, beyond maxRows, when they are the oldest.
type Table struct {
	mu       lock.Mutex
	self     model.InstanceID
	deaths   map[deathKey]Death
	disputes map[deathKey]Dispute
	deathIDs map[Fingerprint][]DeathID // index of deaths and disputes, rebuilt with each change
	clears   map[Fingerprint]Clear
	permits  map[permitKey]Permit
	hosts    map[HostID]Host
	running  map[Fingerprint]localAttempts
	trials   map[Fingerprint]time.Time // begin of this instance's last trial
	changed  chan struct{}
	version  uint64 // rises with each change
}

// NewTable returns an empty table of the given instance.
func NewTable(self model.InstanceID) *Table {
	return &Table{
		mu:       lock.New(lock.RankSuspect),
		self:     self,
		deaths:   map[deathKey]Death{},
		disputes: map[deathKey]Dispute{},
		clears:   map[Fingerprint]Clear{},
		permits:  map[permitKey]Permit{},
		hosts:    map[HostID]Host{},
		running:  map[Fingerprint]localAttempts{},
		trials:   map[Fingerprint]time.Time{},
		changed:  make(chan struct{}),
	}
}

// Self returns the instance that the table belongs to.
func (t *Table) Self() model.InstanceID { return t.self }

// Merge adds rows and reports whether any of them changed the table.
func (t *Table) Merge(in Rows, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(in, now)
}

// Version returns a number that rises with each change of the rows.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Snapshot returns all rows that have not expired.
func (t *Table) Snapshot(now time.Time) Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	t.rebuildIndex()
	var out Rows
	for _, d := range t.deaths {
		out.Deaths = append(out.Deaths, d)
	}
	for _, c := range t.clears {
		out.Clears = append(out.Clears, c)
	}
	for _, p := range t.permits {
		out.Permits = append(out.Permits, p)
	}
	for _, h := range t.hosts {
		out.Hosts = append(out.Hosts, h)
	}
	for _, d := range t.disputes {
		out.Disputes = append(out.Disputes, d)
	}
	return out
}

// Changed returns a channel that is closed at the next change of the rows.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// CountDeaths returns the number of deaths that count against the fingerprint, and the
// highest position among them.
func (t *Table) CountDeaths(fp Fingerprint, now time.Time) (deaths, position int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countDeaths(fp, now)
}

// countDeaths implements CountDeaths. The caller holds mu.
func (t *Table) countDeaths(fp Fingerprint, now time.Time) (deaths, position int) {
	if len(t.deathIDs[fp]) == 0 {
		return 0, 0
	}
	counted := t.countedDeaths(fp, now)
	for _, d := range counted {
		position = max(position, d.Position)
	}
	return len(counted), position
}

// compareDeaths orders deaths by time.
func compareDeaths(a, b Death) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID.Upstream, b.ID.Upstream), cmp.Compare(a.ID.Incarnation, b.ID.Incarnation))
}

// FingerprintsOf returns the fingerprints that the engine ran when it died.
func (t *Table) FingerprintsOf(id DeathID) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Fingerprint
	for key := range t.deaths {
		if key.id == id {
			list = append(list, key.fingerprint)
		}
	}
	return list
}

// ExplainedByOthers reports whether some fingerprint, other than those given in except,
// has all deaths that count against fp.
func (t *Table) ExplainedByOthers(fp Fingerprint, except []Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths := map[DeathID]bool{}
	for _, d := range t.countedDeaths(fp, now) {
		deaths[d.ID] = true
	}
	for other := range t.deathIDs {
		if slices.Contains(except, other) {
			continue
		}
		common := 0
		for _, d := range t.countedDeaths(other, now) {
			if deaths[d.ID] {
				common++
			}
		}
		if common == len(deaths) {
			return true
		}
	}
	return false
}

// RecordProgress clears the fingerprint if it has deaths, disputed ones included, and the
// position lies beyond all of their positions. A finished request clears the fingerprint at any
// position; an unfinished one at another position renews its Host rows.
// RecordProgress is called for each token and returns at once for a fingerprint
// without deaths.
func (t *Table) RecordProgress(fp Fingerprint, position int, finished bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths, disputes := t.uncleared(fp, now)
	if len(deaths)+len(disputes) == 0 {
		return
	}
	last := 0
	for _, d := range deaths {
		last = max(last, d.Position)
	}
	if !finished && position <= last {
		t.renew(fp, now)
		return
	}
	t.merge(Rows{Clears: []Clear{{Fingerprint: fp, At: t.clearTime(fp, now)}}}, now)
	t.endHosts(fp, "", now)
}

// clearTime returns the time of a clear row: now, or the latest time of the deaths
// that it clears, which may be later if the clock of another instance is ahead.
func (t *Table) clearTime(fp Fingerprint, now time.Time) time.Time {
	for _, id := range t.deathIDs[fp] {
		key := deathKey{fingerprint: fp, id: id}
		for _, at := range []time.Time{t.deaths[key].At, t.disputes[key].At} {
			if at.After(now) {
				now = at
			}
		}
	}
	return now
}

// Empty reports whether the set has no rows.
func (r Rows) Empty() bool {
	return len(r.Deaths) == 0 && len(r.Clears) == 0 && len(r.Permits) == 0 && len(r.Hosts) == 0 && len(r.Disputes) == 0
}
