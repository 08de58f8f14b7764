package suspect

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// renewInterval is the time after which a running suspect's Host row is renewed,
// well before hostExpiry.
const renewInterval = 10 * time.Second

// AttemptStarted counts one attempt of any fingerprint on this instance, and sets
// Confirmed in the instance's exclusive claim of the engine, if there is one.
// Other instances join only confirmed claims, so that none of them runs under a
// permit that is released unused.
func (t *Table) AttemptStarted(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(fp, upstream, now)
	l := t.running[fp]
	if l.attempts == 0 {
		l.upstream = upstream
	}
	l.attempts++
	t.running[fp] = l
}

// AttemptStopped ends one attempt. With the last attempt on this instance, the
// instance's Host rows of the fingerprint on the engine end.
func (t *Table) AttemptStopped(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.running[fp]
	l.attempts--
	if l.attempts > 0 {
		t.running[fp] = l
		return
	}
	delete(t.running, fp)
	t.endHosts(fp, upstream, now)
}

// CancelClaim ends a claim under which no attempt was started, and releases the permit
// if there is one. While other attempts of the fingerprint run on this instance,
// its Host rows stay.
func (t *Table) CancelClaim(fp Fingerprint, upstream model.UpstreamID, permit Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fp].attempts == 0 {
		t.endHosts(fp, upstream, now)
	}
	if permit != (Holder{}) {
		t.release(fp, permit, now)
	}
}

// Running returns the engine on which this instance runs the fingerprint, or
// false if it does not run it.
func (t *Table) Running(fp Fingerprint) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.running[fp]
	return l.upstream, ok
}

// Hosts returns the Host rows of all instances that have neither ended nor
// expired.
func (t *Table) Hosts(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, h := range t.hosts {
		if !h.Ended && now.Sub(h.Renewed) < hostExpiry {
			list = append(list, h)
		}
	}
	return list
}

// Claim adds a Host row for the engine that choose returns, if it returns one.
// choose gets the Host rows that have neither ended nor expired, runs under the
// table's lock and must not call out.
func (t *Table) Claim(fp Fingerprint, exclusive bool, now time.Time, choose func([]Host) (model.UpstreamID, bool)) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var active []Host
	for _, h := range t.hosts {
		if !h.Ended && now.Sub(h.Renewed) < hostExpiry {
			active = append(active, h)
		}
	}
	upstream, ok := choose(active)
	if !ok {
		return "", false
	}
	id := HostID{Upstream: upstream, Fingerprint: fp, By: t.self}
	old := t.hosts[id]
	t.merge(Rows{Hosts: []Host{{
		ID: id, Revision: t.revision(id, now), Exclusive: exclusive, Claimed: now, Renewed: now,
		Confirmed: old.Confirmed && !old.Ended,
	}}}, now)
	return upstream, true
}

// confirm sets Confirmed in the instance's exclusive claim of the engine, if there
// is one. The caller holds mu.
func (t *Table) confirm(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	id := HostID{Upstream: upstream, Fingerprint: fp, By: t.self}
	h, ok := t.hosts[id]
	if !ok || h.Ended || !h.Exclusive || h.Confirmed {
		return
	}
	h.Revision, h.Confirmed, h.Renewed = t.revision(id, now), true, now
	t.merge(Rows{Hosts: []Host{h}}, now)
}

// EndClaim ends the instance's Host rows of the fingerprint on the engine. Unlike
// CancelClaim, it ends them even while attempts run, and releases no permit.
func (t *Table) EndClaim(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endHosts(fp, upstream, now)
}

// revision returns a revision higher than that of the stored row. It is at least
// the time in nanoseconds, so that it is also higher than the revision of a row
// that has expired here but not on other instances.
func (t *Table) revision(id HostID, now time.Time) uint64 {
	return max(t.hosts[id].Revision+1, uint64(now.UnixNano()))
}

// renew renews the instance's Host rows of the fingerprint. The caller holds mu.
func (t *Table) renew(fp Fingerprint, now time.Time) {
	for id, h := range t.hosts {
		if id.Fingerprint != fp || id.By != t.self || h.Ended || now.Sub(h.Renewed) < renewInterval {
			continue
		}
		h.Revision, h.Renewed = t.revision(id, now), now
		t.merge(Rows{Hosts: []Host{h}}, now)
	}
}

// endHosts ends the instance's Host rows of the fingerprint on the engine, or on
// all engines if upstream is empty. The caller holds mu.
func (t *Table) endHosts(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	for id, h := range t.hosts {
		if id.Fingerprint != fp || id.By != t.self || h.Ended || (upstream != "" && id.Upstream != upstream) {
			continue
		}
		h.Revision, h.Ended, h.Renewed = t.revision(id, now), true, now
		t.merge(Rows{Hosts: []Host{h}}, now)
	}
}
