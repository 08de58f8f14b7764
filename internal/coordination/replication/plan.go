package replication

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/replica"
)

// action is what an owner does next for the copy of one log.
type action int

const (
	doNothing action = iota
	doWait           // call advance again at step.until
	doChoose         // choose the first or the next holder
	doOpen
	doAppend
	doClose
	doDrop // tell the holder to drop the copy
)

type step struct {
	action action
	until  time.Time
}

// nextStep decides what to do next for a log. holderUsable says whether the
// chosen holder can still hold copies. While a message is in flight nothing is
// done.
func nextStep(r *generation.Record, p replica.Progress, holderUsable bool, now time.Time) step {
	switch {
	case p.Sending:
		return step{}
	case p.Ended && !copyDue(r, now):
		return step{action: doDrop}
	case now.Before(p.RetryAt):
		return step{action: doWait, until: p.RetryAt}
	case p.Holder == "" || !holderUsable:
		return step{action: doChoose}
	case !p.Opened:
		return step{action: doOpen}
	case p.Ended:
		return step{action: doClose}
	case p.Attempt < r.Attempt.Number:
		return step{action: doAppend}
	case r.CopyAfter.IsZero():
		return step{}
	case now.Before(r.CopyAfter):
		return step{action: doWait, until: r.CopyAfter}
	case p.AckedTokens < len(r.Tokens):
		return step{action: doAppend}
	}
	return step{}
}

// copyDue reports whether the log is old enough for its tokens to be copied.
func copyDue(r *generation.Record, now time.Time) bool {
	return !r.CopyAfter.IsZero() && !now.Before(r.CopyAfter)
}

// retryDelay returns the time to wait after giving up a holder. After the
// first failure it is zero, since the next holder is probably reachable.
func retryDelay(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	return min(AckTimeout<<min(failures-1, 10), maxRetryDelay)
}
