package callerlimit

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against small reservations that fail only because a large one, for which there is
// no memory, is tried at the same time, and against the end of a response that is refused.
func TestFailedReservationsDoNotAffectOthers(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.Check(t, !b.Reserve(Answer, limit+1))
				}
			}
		})
	}
	failed := 0
	for range 100_000 {
		if !b.Reserve(Answer, 0) {
			failed++
		}
		if !b.Reserve(Body, 1) {
			failed++
			continue
		}
		b.Release(1)
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, failed, 0)
	assert.Equal(t, b.Used(), int64(0))
}
