package call

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// BudgetOptions bound retries. All figures are in retries.
type BudgetOptions struct {
	Share  float64 // that each call deposits
	Burst  float64 // most that is saved; also the stock at the start
	Refill float64 // deposited in each second, without calls
	// Window is a time whose calls raise what may be saved by their shares.
	// Zero means that Burst is all.
	Window time.Duration
}

// rounding covers the error of sums of shares such as 0.1.
const rounding = 1e-6

// Budget limits retries and hedges to a part of the calls. mu has
// lock.RankCall and guards the other fields.
type Budget struct {
	mu     lock.Mutex
	opts   BudgetOptions
	saved  float64
	recent float64   // calls of about the last window
	at     time.Time // of the last change
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{mu: lock.New(lock.RankCall), opts: opts, saved: opts.Burst, at: time.Now()}
}

// SetOptions changes the limits.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass(time.Now())
	b.opts = opts
	b.saved = min(b.saved, b.most())
}

// Deposit counts one call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass(time.Now())
	b.recent++
	b.saved = min(b.most(), b.saved+b.opts.Share)
}

// Withdraw takes one retry, if there is one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pass(time.Now())
	if b.saved < 1-rounding {
		return false
	}
	b.saved--
	return true
}

// most is what may be saved. The caller holds mu.
func (b *Budget) most() float64 {
	if b.opts.Window == 0 {
		return b.opts.Burst
	}
	return b.opts.Burst + b.opts.Share*b.recent
}

// pass brings the budget to the given time. The caller holds mu.
func (b *Budget) pass(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	if b.opts.Window > 0 {
		b.recent *= math.Exp(-elapsed / b.opts.Window.Seconds())
	}
	b.saved = min(b.most(), b.saved+b.opts.Refill*elapsed)
}
