package suspect

import "time"

// merge adds rows and reports whether the table changed. The caller holds mu.
func (t *Table) merge(in Rows, now time.Time) bool {
	changed := false
	for _, d := range in.Deaths {
		changed = t.addDeath(d, now) || changed
	}
	for _, d := range in.Disputes {
		changed = t.addDispute(d, now) || changed
	}
	for _, c := range in.Clears {
		old, ok := t.clears[c.Fingerprint]
		if isCurrent(c.At, now, expiry) && (!ok || c.At.After(old.At)) {
			t.clears[c.Fingerprint] = c
			changed = true
		}
	}
	for _, p := range in.Permits {
		changed = t.addPermit(p, now) || changed
	}
	for _, h := range in.Hosts {
		old, ok := t.hosts[h.ID]
		if isCurrent(h.Renewed, now, hostExpiry) && (!ok || h.Revision > old.Revision) {
			t.hosts[h.ID] = h
			changed = true
		}
	}
	if changed {
		t.prune(now)
		t.rebuildIndex()
		t.version++
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// addDeath adds a death. Of a death that several instances saw, the earliest time
// and the highest position are kept.
func (t *Table) addDeath(d Death, now time.Time) bool {
	if !isCurrent(d.At, now, expiry) {
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

// isCurrent reports whether a row with the given time has not expired and was not
// stamped by a clock that is more than maxSkew ahead.
func isCurrent(at, now time.Time, lifetime time.Duration) bool {
	return now.Sub(at) < lifetime && at.Sub(now) <= maxSkew
}

// prune drops expired rows, and the oldest rows beyond maxRows of each kind.
func (t *Table) prune(now time.Time) {
	pruneMap(t.deaths, now, expiry, func(d Death) time.Time { return d.At })
	pruneMap(t.disputes, now, expiry, func(d Dispute) time.Time { return d.At })
	pruneMap(t.trials, now, expiry, func(at time.Time) time.Time { return at })
	pruneMap(t.clears, now, expiry, func(c Clear) time.Time { return c.At })
	pruneMap(t.permits, now, expiry, func(p Permit) time.Time { return p.At })
	pruneMap(t.hosts, now, hostExpiry, func(h Host) time.Time { return h.Renewed })
}

// rebuildIndex rebuilds deathIDs. That is cheap enough, as changes are rare: a
// death, or a suspect that starts, stops or renews its Host row.
func (t *Table) rebuildIndex() {
	t.deathIDs = map[Fingerprint][]DeathID{}
	for key := range t.deaths {
		t.deathIDs[key.fingerprint] = append(t.deathIDs[key.fingerprint], key.id)
	}
	for key := range t.disputes {
		if _, undisputed := t.deaths[key]; !undisputed {
			t.deathIDs[key.fingerprint] = append(t.deathIDs[key.fingerprint], key.id)
		}
	}
}

func pruneMap[K comparable, V any](rows map[K]V, now time.Time, lifetime time.Duration, timestamp func(V) time.Time) {
	for key, row := range rows {
		if now.Sub(timestamp(row)) >= lifetime {
			delete(rows, key)
		}
	}
	for len(rows) > maxRows {
		deleteOldest(rows, timestamp)
	}
}

func deleteOldest[K comparable, V any](rows map[K]V, timestamp func(V) time.Time) {
	var oldest K
	var first time.Time
	for key, row := range rows {
		if when := timestamp(row); first.IsZero() || when.Before(first) {
			oldest, first = key, when
		}
	}
	delete(rows, oldest)
}
