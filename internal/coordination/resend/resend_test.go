package resend

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that together exceed the shared limit in some window,
// whatever their number and load.
func TestAllInstancesKeepTheSharedLimit(t *testing.T) {
	for _, instances := range []int{1, 12, 104} {
		for _, perSecond := range []int{0, 30} {
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
