// Package suspect holds what is known of requests that kill engines: deaths,
// clear marks, permits, and the engines on which suspects run.
package suspect

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// expiry covers the time in which a caller repeats a lost request by hand.
	expiry = 10 * time.Minute
	// hostExpiry frees an engine whose suspect's instance died. A running
	// suspect renews its mark more often.
	hostExpiry = time.Minute
	// maxSkew bounds how far ahead of the local clock a row may be. A row of a
	// wrong clock would otherwise never expire.
	maxSkew = time.Minute
	maxRows = 4096 // of each kind; the oldest give way
)

// Fingerprint identifies requests that make an engine do the same work.
type Fingerprint string

// DeathID names one death of one engine process.
type DeathID struct {
	Upstream    model.UpstreamID
	Incarnation uint64
}

// Death says that an engine died while it ran the fingerprint.
type Death struct {
	ID          DeathID
	Fingerprint Fingerprint
	Position    int // tokens that the fingerprint had produced
	At          time.Time
}

// Clear says that the fingerprint ran on beyond its deaths. It wins over all
// deaths that are not later.
type Clear struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Holder names who asks for a permit. A holder that gave its permit back asks
// under a new nonce, so that an old ask which arrives late gets nothing.
type Holder struct {
	Instance model.InstanceID
	Nonce    uint64
}

// Permit says that a permit issuer granted the fingerprint's last run to the holder. A
// later clear mark ends it.
type Permit struct {
	Fingerprint Fingerprint
	Holder      Holder
	At          time.Time
	Released    bool // the holder made no run with it and makes none
}

// HostID names one run of a suspect on an engine.
type HostID struct {
	Upstream    model.UpstreamID
	Fingerprint Fingerprint
	By          model.InstanceID
}

// Host says that a suspect runs on an engine, or is about to.
type Host struct {
	ID        HostID
	Revision  uint64 // rises with each change by the instance
	Exclusive bool   // no other suspect may run there
	Confirmed bool   // an exclusive claim under which an attempt started
	Claimed   time.Time
	Renewed   time.Time
	Ended     bool
}

// Rows is a set of rows, as instances exchange them.
type Rows struct {
	Deaths  []Death
	Clears  []Clear
	Permits []Permit
	Hosts   []Host
}

type deathKey struct {
	fingerprint Fingerprint
	id          DeathID
}

type permitKey struct {
	fingerprint Fingerprint
	holder      Holder
}

// local counts this instance's attempts of one fingerprint.
type local struct {
	upstream model.UpstreamID // engine of the first of them
	attempts int
}

// Table holds the rows. mu has lock.RankSuspect and guards all fields.
//
// Invariants: merging is commutative, associative and idempotent, so that
// instances that exchanged their rows agree; rows are dropped only by age or,
// beyond maxRows, by being the oldest.
type Table struct {
	mu      lock.Mutex
	self    model.InstanceID
	deaths  map[deathKey]Death
	ids     map[Fingerprint][]DeathID // index of deaths, rebuilt with each change
	clears  map[Fingerprint]Clear
	permits map[permitKey]Permit
	hosts   map[HostID]Host
	running map[Fingerprint]local
	changed chan struct{}
	version uint64 // rises with each change
}

// NewTable returns an empty table of the given instance.
func NewTable(self model.InstanceID) *Table {
	return &Table{
		mu:      lock.New(lock.RankSuspect),
		self:    self,
		deaths:  map[deathKey]Death{},
		clears:  map[Fingerprint]Clear{},
		permits: map[permitKey]Permit{},
		hosts:   map[HostID]Host{},
		running: map[Fingerprint]local{},
		changed: make(chan struct{}),
	}
}

// Self returns the instance that the table belongs to.
func (t *Table) Self() model.InstanceID { return t.self }

// Merge adds rows and reports whether anything is new.
func (t *Table) Merge(in Rows, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(in, now)
}

// Version rises with each change.
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
	t.index()
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
	return out
}

// Changed returns a channel that is closed at the next change of the rows.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Count returns the deaths that count against the fingerprint, and the
// highest position among them.
func (t *Table) Count(fp Fingerprint, now time.Time) (deaths, position int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(fp, now)
}

// count is Count. The caller holds mu.
func (t *Table) count(fp Fingerprint, now time.Time) (deaths, position int) {
	cleared := t.clears[fp].At
	for _, id := range t.ids[fp] {
		d := t.deaths[deathKey{fingerprint: fp, id: id}]
		if d.At.After(cleared) && now.Sub(d.At) < expiry {
			deaths++
			position = max(position, d.Position)
		}
	}
	return deaths, position
}

// Against returns the deaths that count against the fingerprint, and its clear
// mark if it has one.
func (t *Table) Against(fp Fingerprint, now time.Time) Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows Rows
	mark, cleared := t.clears[fp]
	if cleared {
		rows.Clears = []Clear{mark}
	}
	for _, id := range t.ids[fp] {
		d := t.deaths[deathKey{fingerprint: fp, id: id}]
		if d.At.After(mark.At) && now.Sub(d.At) < expiry {
			rows.Deaths = append(rows.Deaths, d)
		}
	}
	return rows
}

// Among returns the fingerprints that the engine ran when it died.
func (t *Table) Among(id DeathID) []Fingerprint {
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

// Progress clears the fingerprint if it has deaths and the position lies
// beyond all of them. Finished work clears at any position. It is called for
// each token and returns at once for a fingerprint without deaths.
func (t *Table) Progress(fp Fingerprint, position int, finished bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths, last := t.count(fp, now)
	if deaths == 0 {
		return
	}
	if !finished && position <= last {
		t.renew(fp, now)
		return
	}
	t.merge(Rows{Clears: []Clear{{Fingerprint: fp, At: t.clearTime(fp, now)}}}, now)
	t.endHosts(fp, "", now)
}

// clearTime is no earlier than the deaths that it clears, which another
// instance's clock may have stamped ahead of the local one.
func (t *Table) clearTime(fp Fingerprint, now time.Time) time.Time {
	for _, id := range t.ids[fp] {
		if at := t.deaths[deathKey{fingerprint: fp, id: id}].At; at.After(now) {
			now = at
		}
	}
	return now
}

// Empty reports whether the set has no rows.
func (r Rows) Empty() bool {
	return len(r.Deaths) == 0 && len(r.Clears) == 0 && len(r.Permits) == 0 && len(r.Hosts) == 0
}
