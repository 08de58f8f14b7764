package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
)

// Limits on the silence of a stream. Two losses in a row must fit in 5 s: the
// silence of a stream and of its first replacement take at most 3 s together.
const (
	silenceFactor       = 8 // of the smoothed time between tokens
	minSilence          = 400 * time.Millisecond
	maxSilence          = 1500 * time.Millisecond
	firstTokenFactor    = 3 // of the estimated queue and prefill time
	minFirstTokenWait   = time.Second
	maxFirstTokenWait   = 4 * time.Second // nothing is shown yet
	maxResumeTokenWait  = 1500 * time.Millisecond
	intervalSmoothing   = 0.2 // weight of the newest interval
	reattachTimeout     = 250 * time.Millisecond
	replacementInterval = 100 * time.Millisecond // between tries to find an engine
)

// silenceLimit returns how long the attempt may be silent. resumed says that
// the caller has waited through a loss already.
func silenceLimit(a generation.Attempt, gotToken, resumed bool) time.Duration {
	if a.Attached && !gotToken {
		return minSilence
	}
	if gotToken {
		return clamp(silenceFactor*a.Interval, minSilence, maxSilence)
	}
	longest := maxFirstTokenWait
	if resumed {
		longest = maxResumeTokenWait
	}
	return clamp(firstTokenFactor*a.Expected, minFirstTokenWait, longest)
}

func clamp(d, low, high time.Duration) time.Duration {
	return min(max(d, low), high)
}

// smooth returns the new smoothed interval after one more token interval.
func smooth(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return old + time.Duration(intervalSmoothing*float64(latest-old))
}
