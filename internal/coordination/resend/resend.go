// Package resend bounds the sends beyond the first of each request. The limit
// holds for all instances together; each one keeps to a part of it, so that no
// message is needed for a send.
package resend

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// Limit holds for each service, over all instances.
type Limit struct {
	Ratio  float64       // of the requests in the window
	Burst  int           // in the window, beside the ratio
	Window time.Duration // any span of this length
}

// keep is the part of the limit that is used. The rest covers windows that do
// not begin with ours, and instances that are not known yet.
const keep = 0.7

// Budgets holds a budget for each service. mu has lock.RankCall and guards
// services; it is not held while a budget is used.
type Budgets struct {
	mu        lock.Mutex
	services  map[string]*call.Budget
	limit     Limit
	instances atomic.Int64
}

// New returns budgets for one of the given number of instances.
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
	for _, budget := range b.all() {
		budget.SetOptions(b.options())
	}
}

func (b *Budgets) all() []*call.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.services))
}

// Arrived implements forward.Budget.
func (b *Budgets) Arrived(service string) { b.of(service).Deposit() }

// Resend implements forward.Budget.
func (b *Budgets) Resend(service string) bool { return b.of(service).Withdraw() }

func (b *Budgets) of(service string) *call.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = call.NewBudget(b.options())
		b.services[service] = budget
	}
	return budget
}

// options splits the burst. Half of it is the stock, and the other half comes
// back within one window, so that no window sees more than the burst.
func (b *Budgets) options() call.BudgetOptions {
	burst := keep * float64(b.limit.Burst) / float64(b.instances.Load())
	return call.BudgetOptions{
		Share:  keep * b.limit.Ratio,
		Burst:  burst / 2,
		Refill: burst / 2 / max(b.limit.Window.Seconds(), 1),
		Window: b.limit.Window,
	}
}
