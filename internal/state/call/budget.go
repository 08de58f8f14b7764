package call

import "github.com/sequoiavalve/sequoiavalve/internal/state/lock"

const (
	// A retry costs what ten calls deposit, so retries are at most 10% of the
	// calls beyond the burst. The budget counts calls and not time, so an idle
	// service saves up no more than the burst.
	retryCost   = 10
	budgetBurst = 10 * retryCost
)

// Budget limits retries and hedges to a part of the calls. mu has
// lock.RankCall and guards saved.
type Budget struct {
	mu    lock.Mutex
	saved int // in deposits
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{mu: lock.New(lock.RankCall), saved: budgetBurst}
}

// Deposit counts one call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(budgetBurst, b.saved+1)
}

// Withdraw takes one retry, if there is one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}
