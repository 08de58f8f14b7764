package measure

import (
	"sync"
	"time"
)

const pauseTick = 10 * time.Millisecond

// watchPauses measures how long this process did not run although a timer was
// due, which happens when the machine is overloaded or stopped. Gaps of that
// length are no figures of the relay. The returned function ends the watch.
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
