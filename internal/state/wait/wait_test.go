package wait

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against timers that are already due when they are set: with the race
// detector on, concurrent timers of this kind crashed the tests
// ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:282").
func TestConcurrentZeroSleeps(t *testing.T) {
	const goroutines, rounds = 8, 20000
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for range rounds {
					assert.Check(t, Sleep(t.Context(), 0))
				}
			})
		}
		wg.Wait()
	})
}

// Guards against a sleep that ignores its context.
func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		assert.ErrorIs(t, Sleep(ctx, time.Minute), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), time.Second)
		assert.ErrorIs(t, Sleep(ctx, 0), context.DeadlineExceeded)
	})
}
