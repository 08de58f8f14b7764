package call

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// BudgetOptions bound retries. All figures are in retries.
type BudgetOptions struct {
	Share  float64 // that each call deposits
	Burst  float64 // most that is saved; also the stock at the start
	Refill float64 // deposited in each second, without calls
}

// rounding covers the error of sums of shares such as 0.1.
const rounding = 1e-6

// Budget limits retries and hedges to a part of the calls. mu has
// lock.RankCall and guards the other fields.
type Budget struct {
	mu    lock.Mutex
	opts  BudgetOptions
	saved float64
	at    time.Time // of the last refill
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{mu: lock.New(lock.RankCall), opts: opts, saved: opts.Burst, at: time.Now()}
}

// Deposit counts one call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.opts.Burst, b.saved+b.opts.Share)
}

// Withdraw takes one retry, if there is one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.saved = min(b.opts.Burst, b.saved+b.opts.Refill*now.Sub(b.at).Seconds())
	b.at = now
	if b.saved < 1-rounding {
		return false
	}
	b.saved--
	return true
}
