package measure

import (
	"sync"
	"time"
)

const pauseTick = 10 * time.Millisecond

// watchPauses measures the longest time for which this process did not run although
// a timer was due, as on an overloaded or suspended machine. Gaps in the output of
// that length do not come from the relay. The returned function stops the
// measurement and returns the longest pause.
func watchPauses() func() time.Duration {
	var running sync.WaitGroup
	var longest time.Duration
	done := make(chan struct{})
	running.Go(func() {
		ticker := time.NewTicker(pauseTick)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-ticker.C:
				now := time.Now()
				longest = max(longest, now.Sub(last)-pauseTick)
				last = now
			case <-done:
				return
			}
		}
	})
	return func() time.Duration {
		close(done)
		running.Wait()
		return longest
	}
}
