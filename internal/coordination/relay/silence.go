package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
)

const (
	minSilence             = 400 * time.Millisecond
	reattachTimeout        = 250 * time.Millisecond
	placementRetryInterval = 100 * time.Millisecond // between attempts to place a generation
)

// tokenSilence limits how long a token stream may be silent before it counts as
// lost. Output must resume within 5 s even after two losses in a row, so the
// limits of a stream and of its first replacement add up to at most 3 s.
var tokenSilence = continuation.Limits{
	Factor:          8,
	Min:             minSilence,
	Max:             1500 * time.Millisecond,
	FirstFactor:     3,
	MinFirst:        time.Second,
	MaxFirst:        4 * time.Second,
	MaxFirstResumed: 1500 * time.Millisecond,
}

func paceOf(a generation.Attempt) continuation.Pace {
	return continuation.Pace{Interval: a.Interval, Expected: a.Expected, Attached: a.Attached}
}

// currentOf converts the attempt to the form that continuation.Accept takes.
func currentOf(a generation.Attempt) continuation.Current {
	return continuation.Current{
		Connection: continuation.Connection{Number: a.Number, Stream: string(a.Stream)},
		Open:       a.Open,
	}
}
