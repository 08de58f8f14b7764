// Package resend limits the resends of requests. The limit holds for all instances
// together. Each instance keeps to its share of the limit, so that a resend needs no
// message to the other instances.
//
// Among hundreds of instances a share is a few resends, and requests do not arrive evenly:
// an instance that got few requests lately has saved less than one resend. The instances
// of a cell therefore report what they have saved, and one that has too little may take
// resends on credit, which its next requests pay back.
package resend

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
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

const (
	// creditShare is the credit of an instance as a fraction of the mean balance in its
	// cell. If all instances use their balance and their credit at once, they stay within
	// the limit: usedLimitShare * (1 + creditShare) < 1.
	creditShare = 0.4
	// balanceTTL is how long the balances that an instance reported count.
	balanceTTL = 3 * time.Second
	// minReportedBalance is the lowest balance that is reported, as far from zero.
	minReportedBalance = 0.05
)

// Balances are the resends that an instance has saved, by service.
type Balances map[string]float64

// report holds the balances of another instance and the time at which they were received.
type report struct {
	balances Balances
	at       time.Time
}

// Budgets holds a budget for each service. mu has lock.RankCall and guards
// services and reports; it is not held while a budget is used.
type Budgets struct {
	mu        lock.Mutex
	services  map[string]*call.Budget
	reports   map[model.InstanceID]report // of the other instances of the cell
	limit     Limit
	instances atomic.Int64
}

// New returns the budgets of one instance. instances is the number of instances that
// share the limit.
func New(limit Limit, instances int) *Budgets {
	b := &Budgets{
		mu:       lock.New(lock.RankCall),
		services: map[string]*call.Budget{},
		reports:  map[model.InstanceID]report{},
		limit:    limit,
	}
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
func (b *Budgets) TakeResend(service string) bool {
	credit := b.credit(service, time.Now())
	return b.budgetFor(service).WithdrawOnCredit(credit)
}

// credit returns the number of resends for the service that this instance may take beyond
// its balance.
func (b *Budgets) credit(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0.0
	for from, r := range b.reports {
		if now.Sub(r.at) > balanceTTL {
			delete(b.reports, from)
			continue
		}
		sum += r.balances[service]
	}
	return max(creditShare*sum/float64(len(b.reports)+1), 0)
}

// Balances returns what this instance reports to the others of its cell.
func (b *Budgets) Balances() Balances {
	b.mu.Lock()
	budgets := maps.Clone(b.services)
	b.mu.Unlock()
	balances := Balances{}
	for service, budget := range budgets {
		if balance := budget.Balance(); math.Abs(balance) >= minReportedBalance {
			balances[service] = balance
		}
	}
	return balances
}

// SetRemote replaces the balances of another instance of the cell.
func (b *Budgets) SetRemote(from model.InstanceID, balances Balances, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[from] = report{balances, now}
}

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
