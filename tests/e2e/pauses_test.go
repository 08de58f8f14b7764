package e2e

import (
	"sync"
	"time"
)

// pauseWatch measures the longest delay with which the scheduler wakes this process. mu guards
// the field below it.
type pauseWatch struct {
	mu       sync.Mutex
	maxPause time.Duration
}

// watch measures until stop is closed.
func (w *pauseWatch) watch(stop <-chan struct{}) {
	const nap = 20 * time.Millisecond
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(nap):
		}
		w.mu.Lock()
		w.maxPause = max(w.maxPause, time.Since(began)-nap)
		w.mu.Unlock()
	}
}

// reset forgets the delays so far.
func (w *pauseWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxPause = 0
}

// longest returns the longest delay.
func (w *pauseWatch) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxPause
}
