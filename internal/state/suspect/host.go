package suspect

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// renewEvery keeps a running suspect's mark well inside hostExpiry.
const renewEvery = 10 * time.Second

// Started counts one attempt of any fingerprint on this instance, and marks
// the instance's exclusive claim of the engine, if any, as in use. Others join
// only a claim in use, so that nobody runs under a permit that is given back.
func (t *Table) Started(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
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

// Stopped ends one attempt. The last one on this instance ends its marks.
func (t *Table) Stopped(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
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

// Unused takes back a claim under which no attempt was started, with its
// permit if it has one. Marks of other attempts of this instance stay.
func (t *Table) Unused(fp Fingerprint, upstream model.UpstreamID, permit Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fp].attempts == 0 {
		t.endHosts(fp, upstream, now)
	}
	if permit != (Holder{}) {
		t.release(fp, permit, now)
	}
}

// Running returns the engine on which this instance runs the fingerprint.
func (t *Table) Running(fp Fingerprint) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.running[fp]
	return l.upstream, ok
}

// Hosts returns the marks of suspects that run now, of all instances.
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

// Claim marks the engine as host of the fingerprint, if choose agrees. choose
// sees the current marks, runs under the table's lock and must not call out.
func (t *Table) Claim(fp Fingerprint, exclusive bool, now time.Time, choose func([]Host) (model.UpstreamID, bool)) (model.UpstreamID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []Host
	for _, h := range t.hosts {
		if !h.Ended && now.Sub(h.Renewed) < hostExpiry {
			open = append(open, h)
		}
	}
	upstream, ok := choose(open)
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

func (t *Table) confirm(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	id := HostID{Upstream: upstream, Fingerprint: fp, By: t.self}
	h, ok := t.hosts[id]
	if !ok || h.Ended || !h.Exclusive || h.Confirmed {
		return
	}
	h.Revision, h.Confirmed, h.Renewed = t.revision(id, now), true, now
	t.merge(Rows{Hosts: []Host{h}}, now)
}

// Unclaim ends the instance's mark of an engine.
func (t *Table) Unclaim(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endHosts(fp, upstream, now)
}

// revision returns a higher revision than the known one, also after the known
// one has expired here but not elsewhere.
func (t *Table) revision(id HostID, now time.Time) uint64 {
	return max(t.hosts[id].Revision+1, uint64(now.UnixNano()))
}

// renew keeps the instance's marks of the fingerprint alive.
func (t *Table) renew(fp Fingerprint, now time.Time) {
	for id, h := range t.hosts {
		if id.Fingerprint != fp || id.By != t.self || h.Ended || now.Sub(h.Renewed) < renewEvery {
			continue
		}
		h.Revision, h.Renewed = t.revision(id, now), now
		t.merge(Rows{Hosts: []Host{h}}, now)
	}
}

// endHosts ends the instance's marks of the fingerprint on the engine, or on
// all engines when none is given.
func (t *Table) endHosts(fp Fingerprint, upstream model.UpstreamID, now time.Time) {
	for id, h := range t.hosts {
		if id.Fingerprint != fp || id.By != t.self || h.Ended || (upstream != "" && id.Upstream != upstream) {
			continue
		}
		h.Revision, h.Ended, h.Renewed = t.revision(id, now), true, now
		t.merge(Rows{Hosts: []Host{h}}, now)
	}
}
