package resend

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against instances that together exceed the shared limit in some window,
// whatever their number and load.
func TestAllInstancesKeepTheSharedLimit(t *testing.T) {
	for _, instances := range []int{1, 12, 104, 295} {
		for _, perSecond := range []int{0, 30, 130} {
			if (instances > 200) != (perSecond > 100) {
				continue // such loads are covered by their neighbours
			}
			synctest.Test(t, func(t *testing.T) {
				limit := Limit{Ratio: 0.8, Burst: 240, Window: 10 * time.Second}
				var all []*Budgets
				for range instances {
					b := New(limit, 12)
					b.budgetFor("s")
					b.SetInstances(instances)
					all = append(all, b)
				}
				arrived, resent := 0, 0
				for tick := range 200 { // two windows of 100 ms steps
					if tick == 100 {
						arrived, resent = 0, 0
					}
					if tick%10 == 0 {
						shareBalances(all, 16)
					}
					for i, b := range all {
						if (tick*perSecond/10+i)%max(instances/max(perSecond, 1), 1) == 0 && perSecond > 0 {
							b.CountRequest("s")
							arrived++
						}
						for b.TakeResend("s") {
							resent++
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				allowed := limit.Ratio*float64(arrived) + float64(limit.Burst)
				assert.Assert(t, float64(resent) <= allowed, "%d instances, %d/s: %d resends of %v", instances, perSecond, resent, allowed)
			})
		}
	}
}

// shareBalances reports the balances of all instances within cells of the given size.
func shareBalances(all []*Budgets, size int) {
	for cell := range slices.Chunk(all, size) {
		for i, from := range cell {
			for _, to := range cell {
				if to != from {
					to.SetRemote(model.InstanceID(fmt.Sprint(i)), from.Balances(), time.Now())
				}
			}
		}
	}
}

// Guards against a stream that lost its engine and waits until new requests come to its
// instance, since the instance's own share of the limit is less than one resend while
// those of its cell have plenty.
func TestInstanceWithFewRequestsResendsOnCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 295
		var cell []*Budgets
		for range 16 {
			cell = append(cell, New(Limit{Ratio: 0.8, Burst: 150, Window: 10 * time.Second}, instances))
		}
		idle := cell[0]
		idle.CountRequest("s")
		for range 40 { // 20 s, in which the others get 0.4 requests/s each
			for i, b := range cell[1:] {
				if i%5 == 0 {
					b.CountRequest("s")
				}
			}
			time.Sleep(500 * time.Millisecond)
			cell = append(cell[:1], append(slices.Clone(cell[2:]), cell[1])...)
		}
		assert.Assert(t, !idle.TakeResend("s"))
		shareBalances(cell, len(cell))
		assert.Assert(t, idle.TakeResend("s"))
		shareBalances(cell, len(cell))
		assert.Assert(t, !idle.TakeResend("s"), "the credit is not bounded")
		time.Sleep(balanceTTL + time.Second)
		idle.CountRequest("s")
		assert.Assert(t, !idle.TakeResend("s"), "reported balances do not expire")
	})
}
