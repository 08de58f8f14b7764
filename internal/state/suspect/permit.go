package suspect

import (
	"cmp"
	"time"
)

// Grant records a permit for the holder unless another holder has one, and
// reports whether the holder has the permit. A repeated ask by the holder gets
// the same permit; an ask that arrives after its release gets none.
func (t *Table) Grant(fp Fingerprint, holder Holder, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.permit(fp, now); ok {
		return current.Holder == holder
	}
	if t.permits[permitKey{fingerprint: fp, holder: holder}].Released {
		return false
	}
	return t.merge(Rows{Permits: []Permit{{Fingerprint: fp, Holder: holder, At: now}}}, now)
}

// Permitted reports whether the holder has the permit in force. Two permit issuers that
// have not heard of each other may grant one each; the earlier one counts.
func (t *Table) Permitted(fp Fingerprint, holder Holder, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.permit(fp, now)
	return ok && current.Holder == holder
}

// Release gives a permit back that was not used, or that may have been granted
// by a permit issuer whose answer was lost. The holder must not ask again.
func (t *Table) Release(fp Fingerprint, holder Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(fp, holder, now)
}

func (t *Table) release(fp Fingerprint, holder Holder, now time.Time) {
	t.merge(Rows{Permits: []Permit{{Fingerprint: fp, Holder: holder, At: now, Released: true}}}, now)
}

// permit returns the permit in force.
func (t *Table) permit(fp Fingerprint, now time.Time) (Permit, bool) {
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

// earlier orders the permits of one fingerprint, the same on all instances.
func earlier(a, b Permit) bool {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Holder.Instance, b.Holder.Instance),
		cmp.Compare(a.Holder.Nonce, b.Holder.Nonce),
	) < 0
}

// addPermit keeps the earliest time of a permit that several permit issuers granted to
// one holder. A release is final.
func (t *Table) addPermit(p Permit, now time.Time) bool {
	if !fresh(p.At, now, expiry) {
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
