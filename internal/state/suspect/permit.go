package suspect

import (
	"cmp"
	"time"
)

// Grant records a permit for the holder unless another holder has one, and
// reports whether the holder has the permit. A repeated request of the holder gets
// the same permit; a request that arrives after the permit's release is refused.
func (t *Table) Grant(fp Fingerprint, holder Holder, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.permitInForce(fp, now); ok {
		return current.Holder == holder
	}
	if t.permits[permitKey{fingerprint: fp, holder: holder}].Released {
		return false
	}
	return t.merge(Rows{Permits: []Permit{{Fingerprint: fp, Holder: holder, At: now}}}, now)
}

// HasPermit reports whether the holder has the permit in force. Two gates that
// have not yet exchanged their rows may grant a permit each; the earlier permit
// is in force.
func (t *Table) HasPermit(fp Fingerprint, holder Holder, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.permitInForce(fp, now)
	return ok && current.Holder == holder
}

// Release releases a permit that was not used, or that a gate whose answer was
// lost may have granted. The holder must not request a permit again.
func (t *Table) Release(fp Fingerprint, holder Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(fp, holder, now)
}

// release implements Release. The caller holds mu.
func (t *Table) release(fp Fingerprint, holder Holder, now time.Time) {
	t.merge(Rows{Permits: []Permit{{Fingerprint: fp, Holder: holder, At: now, Released: true}}}, now)
}

// permitInForce returns the earliest permit of the fingerprint that was neither
// released nor ended by a clear row and has not expired. The caller holds mu.
func (t *Table) permitInForce(fp Fingerprint, now time.Time) (Permit, bool) {
	var first Permit
	found := false
	for _, p := range t.permits {
		if p.Fingerprint != fp || p.Released || now.Sub(p.At) >= expiry || !p.At.After(t.clears[fp].At) {
			continue
		}
		if !found || earlier(p, first) {
			first, found = p, true
		}
	}
	return first, found
}

// earlier reports whether permit a precedes permit b. The order is the same on all
// instances.
func earlier(a, b Permit) bool {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Holder.Instance, b.Holder.Instance),
		cmp.Compare(a.Holder.Nonce, b.Holder.Nonce),
	) < 0
}

// addPermit adds a permit. Of a permit that several gates granted to one holder,
// the earliest time is kept. A release is final.
func (t *Table) addPermit(p Permit, now time.Time) bool {
	if !isCurrent(p.At, now, expiry) {
		return false
	}
	key := permitKey{fingerprint: p.Fingerprint, holder: p.Holder}
	old, ok := t.permits[key]
	if ok {
		p.Released = p.Released || old.Released
		if old.At.Before(p.At) {
			p.At = old.At
		}
		if p.Released == old.Released && p.At.Equal(old.At) {
			return false
		}
	}
	t.permits[key] = p
	return true
}
