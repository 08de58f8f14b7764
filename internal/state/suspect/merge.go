package suspect

import "time"

// merge adds rows and reports a change. The caller holds mu.
func (t *Table) merge(in Rows, now time.Time) bool {
	changed := false
	for _, d := range in.Deaths {
		changed = t.addDeath(d, now) || changed
	}
	for _, c := range in.Clears {
		old, ok := t.clears[c.Fingerprint]
		if fresh(c.At, now, expiry) && (!ok || c.At.After(old.At)) {
			t.clears[c.Fingerprint] = c
			changed = true
		}
	}
	for _, p := range in.Permits {
		changed = t.addPermit(p, now) || changed
	}
	for _, h := range in.Hosts {
		old, ok := t.hosts[h.ID]
		if fresh(h.Renewed, now, hostExpiry) && (!ok || h.Revision > old.Revision) {
			t.hosts[h.ID] = h
			changed = true
		}
	}
	if changed {
		t.prune(now)
		t.index()
		t.version++
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// addDeath keeps the earliest time and the highest position of a death that
// several instances saw.
func (t *Table) addDeath(d Death, now time.Time) bool {
	if !fresh(d.At, now, expiry) {
		return false
	}
	key := deathKey{fingerprint: d.Fingerprint, id: d.ID}
	old, ok := t.deaths[key]
	if ok {
		d.Position = max(d.Position, old.Position)
		if old.At.Before(d.At) {
			d.At = old.At
		}
		if d.Position == old.Position && d.At.Equal(old.At) {
			return false
		}
	}
	t.deaths[key] = d
	return true
}

// fresh reports whether a row of that time is neither expired nor stamped by
// a clock that is far ahead.
func fresh(at, now time.Time, life time.Duration) bool {
	return now.Sub(at) < life && at.Sub(now) <= maxSkew
}

// prune drops expired rows and the oldest beyond the bound.
func (t *Table) prune(now time.Time) {
	pruneMap(t.deaths, now, expiry, func(d Death) time.Time { return d.At })
	pruneMap(t.clears, now, expiry, func(c Clear) time.Time { return c.At })
	pruneMap(t.permits, now, expiry, func(p Permit) time.Time { return p.At })
	pruneMap(t.hosts, now, hostExpiry, func(h Host) time.Time { return h.Renewed })
}

// index lists the deaths of each fingerprint. Changes are rare: a death, or a
// suspect that starts, stops or renews its mark.
func (t *Table) index() {
	t.ids = map[Fingerprint][]DeathID{}
	for key := range t.deaths {
		t.ids[key.fingerprint] = append(t.ids[key.fingerprint], key.id)
	}
}

func pruneMap[K comparable, V any](rows map[K]V, now time.Time, life time.Duration, at func(V) time.Time) {
	for key, row := range rows {
		if now.Sub(at(row)) >= life {
			delete(rows, key)
		}
	}
	for len(rows) > maxRows {
		deleteOldest(rows, at)
	}
}

func deleteOldest[K comparable, V any](rows map[K]V, at func(V) time.Time) {
	var oldest K
	var first time.Time
	for key, row := range rows {
		if when := at(row); first.IsZero() || when.Before(first) {
			oldest, first = key, when
		}
	}
	delete(rows, oldest)
}
