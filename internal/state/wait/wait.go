// Package wait provides a sleep that a context can end early.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and returns the error of ctx in the
// latter case. It returns at once if d is not positive.
//
// Sleep never sets a timer that is already due: a testing/synctest bubble runs
// such timers on the goroutines that set them, and the race detector of Go 1.26
// crashes when two of these timers run at the same time.
func Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
