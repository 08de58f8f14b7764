// Package resend limits the resends of requests. The limit holds for all instances
// together. Each instance keeps to its share of the limit, so that a resend needs no
// message to the other instances.
package resend

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// Limit is the number of resends that all instances together may make for a service
// within a window.
type Limit struct {
	Ratio  float64       // resends for each request that arrived in the window
	Burst  int           // resends in the window in addition to the ratio
	Window time.Duration // the limit holds in any span of this length
}

// usedLimitShare is the fraction of the limit that the instances use. The rest is a
// margin for windows that do not begin at the same time as a budget's window, and for
// instances that are not known yet.
const usedLimitShare = 0.7

// Budgets holds a budget for each service. mu has lock.RankCall and guards
// services; it is not held while a budget is used.
type Budgets struct {
	mu        lock.Mutex
	services  map[string]*call.Budget
	limit     Limit
	instances atomic.Int64
}

// New returns the budgets of one instance. instances is the number of instances that
// share the limit.
func New(limit Limit, instances int) *Budgets {
	b := &Budgets{mu: lock.New(lock.RankCall), services: map[string]*call.Budget{}, limit: limit}
	b.instances.Store(int64(max(instances, 1)))
	return b
}

// SetInstances changes the number of instances that share the limit.
func (b *Budgets) SetInstances(n int) {
	if b.instances.Swap(int64(max(n, 1))) == int64(max(n, 1)) {
		return
	}
	for _, budget := range b.allBudgets() {
		budget.SetOptions(b.budgetOptions())
	}
}

func (b *Budgets) allBudgets() []*call.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.services))
}

// CountRequest implements forward.Budget.
func (b *Budgets) CountRequest(service string) { b.budgetFor(service).Deposit() }

// TakeResend implements forward.Budget.
func (b *Budgets) TakeResend(service string) bool { return b.budgetFor(service).Withdraw() }

// budgetFor returns the budget of the service, which it creates on first use.
func (b *Budgets) budgetFor(service string) *call.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = call.NewBudget(b.budgetOptions())
		b.services[service] = budget
	}
	return budget
}

// budgetOptions returns the options of a budget. Half of the instance's burst is the
// capacity of the budget, and the other half is refilled over one window, so that no
// window sees more than the burst.
func (b *Budgets) budgetOptions() call.BudgetOptions {
	burst := usedLimitShare * float64(b.limit.Burst) / float64(b.instances.Load())
	return call.BudgetOptions{
		RetriesPerCall:   usedLimitShare * b.limit.Ratio,
		Burst:            burst / 2,
		RetriesPerSecond: burst / 2 / max(b.limit.Window.Seconds(), 1),
		Window:           b.limit.Window,
	}
}
