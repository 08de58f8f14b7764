// Package lease acquires, renews and releases leases that are rows of the table
// service.
//
// A holder measures its term on its own monotonic clock, from before it sent its
// write, and stops a safety margin before the end. A candidate takes a lease of
// another instance as expired only after it has seen one revision of the row
// unchanged for a full term on its own monotonic clock. Wall clocks of two instances
// are never compared.
package lease

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// DefaultTerm is the time for which a write acquires or renews the lease.
	DefaultTerm = 10 * time.Second
	// marginFraction of the term, at its end, is not used by the holder. It covers
	// clock drift and the time between a call of Held and the action that depends
	// on it.
	marginFraction = 0.2
	// renewFraction of the term passes between renewals, so that two renewals in
	// a row can fail before the holder has to stop.
	renewFraction = 0.3
)

// Record is the content of a lease row.
type Record struct {
	Holder  model.InstanceID // empty after a release
	Nonce   string           // new for each write, so that a process recognises its own writes
	Fencing uint64           // fencing token; increases by 1 when the lease is acquired, not when it is renewed
	Expires time.Time        // for operators only; no decision reads it
}

// Key returns the table key of a lease.
func Key(name string) string {
	return "leases/" + name
}

// term is the period for which one write acquired the lease. It is not modified after
// Keeper.held points to it.
type term struct {
	fencing uint64
	until   time.Time // when the holder must stop
}

// covers reports whether the term has not ended. It must not have ended on the
// monotonic clock, because the wall clock may be set back, nor on the wall clock,
// because the monotonic clock may stop while a machine is suspended.
func (t *term) covers(now time.Time) bool {
	return t != nil && now.Before(t.until) && now.Round(0).Before(t.until.Round(0))
}

// usableTerm returns the part of the term that the holder uses.
func usableTerm(termLength time.Duration) time.Duration {
	return termLength - time.Duration(float64(termLength)*marginFraction)
}
