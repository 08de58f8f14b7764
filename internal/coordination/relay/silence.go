package relay

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
)

const (
	minSilence          = 400 * time.Millisecond
	reattachTimeout     = 250 * time.Millisecond
	replacementInterval = 100 * time.Millisecond // between tries to find an engine
)

// tokenSilence bounds the silence of a token stream. Two losses in a row must
// fit in 5 s: the silence of a stream and of its first replacement take at
// most 3 s together.
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

// currentOf is the attempt as the acceptance rules see it.
func currentOf(a generation.Attempt) continuation.Current {
	return continuation.Current{
		Connection: continuation.Connection{Number: a.Number, Stream: string(a.Stream)},
		Open:       a.Open,
	}
}
