// Package lease holds, renews and releases leases kept as rows of the table
// service.
//
// A holder counts its term on its own monotonic clock from before it sent its
// write, and stops one margin before the end. A candidate judges a foreign
// lease as lapsed only after it has seen one revision unchanged for a full
// term on its own monotonic clock. Wall clocks of two instances are never
// compared.
package lease

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// DefaultTerm is the time for which one write holds the lease.
	DefaultTerm = 10 * time.Second
	// marginFraction of the term is left unused by the holder, to cover clock
	// drift and the time between a check of Held and the action.
	marginFraction = 0.2
	// renewFraction of the term passes between renewals, so that two of them
	// can fail before the holder has to stop.
	renewFraction = 0.3
)

// Record is the content of a lease row.
type Record struct {
	Holder  model.InstanceID // empty after a release
	Nonce   string           // new for each write; identifies the writer's process
	Fencing uint64           // rises by 1 for each new holder
	Expires time.Time        // for operators only; no decision reads it
}

// Key returns the table key of a lease.
func Key(name string) string {
	return "leases/" + name
}

// term is one period for which a write holds the lease. It is never changed
// after it was published.
type term struct {
	fencing uint64
	until   time.Time
}

// covers reports whether the term still runs. Both readings of the clock must
// agree: the monotonic one may stand still while a machine is suspended, and
// the wall clock may be set back.
func (t *term) covers(now time.Time) bool {
	return t != nil && now.Before(t.until) && now.Round(0).Before(t.until.Round(0))
}

// usable returns the part of the term that a holder may use.
func usable(full time.Duration) time.Duration {
	return full - time.Duration(float64(full)*marginFraction)
}
