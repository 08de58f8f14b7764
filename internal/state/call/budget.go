package call

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// BudgetOptions bound the rate of retries. All figures but Window are numbers of
// retries.
type BudgetOptions struct {
	RetriesPerCall   float64 // deposited by each call
	Burst            float64 // most that can be saved; also the balance at the start
	RetriesPerSecond float64 // deposited in each second, even without calls
	// Window raises the limit of the balance: each call of about the last Window
	// adds its deposit to Burst. Zero means that Burst is the limit.
	Window time.Duration
}

// roundingTolerance covers the rounding error of sums of deposits such as 0.1.
const roundingTolerance = 1e-6

// Budget limits retries and hedges to a fraction of the calls, as a token bucket.
// mu has lock.RankCall and guards the other fields.
type Budget struct {
	mu          lock.Mutex
	opts        BudgetOptions
	balance     float64
	recentCalls float64   // calls of about the last window, decayed exponentially
	updatedAt   time.Time // of the last change
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{mu: lock.New(lock.RankCall), opts: opts, balance: opts.Burst, updatedAt: time.Now()}
}

// SetOptions changes the limits.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	b.opts = opts
	b.balance = min(b.balance, b.limit())
}

// Deposit counts one call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	b.recentCalls++
	b.balance = min(b.limit(), b.balance+b.opts.RetriesPerCall)
}

// Withdraw takes one retry from the balance, or returns false if less than one is
// left.
func (b *Budget) Withdraw() bool { return b.WithdrawOnCredit(0) }

// WithdrawOnCredit takes one retry from the balance, which may fall below zero by at most
// the credit, or returns false.
func (b *Budget) WithdrawOnCredit(credit float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	if b.balance+credit < 1-roundingTolerance {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of retries that are left. It is negative after withdrawals on
// credit.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	return b.balance
}

// limit returns the highest balance. The caller holds mu.
func (b *Budget) limit() float64 {
	if b.opts.Window == 0 {
		return b.opts.Burst
	}
	return b.opts.Burst + b.opts.RetriesPerCall*b.recentCalls
}

// advance applies the decay and the refill up to the given time. The caller holds
// mu.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	if b.opts.Window > 0 {
		b.recentCalls *= math.Exp(-elapsed / b.opts.Window.Seconds())
	}
	b.balance = min(b.limit(), b.balance+b.opts.RetriesPerSecond*elapsed)
}
