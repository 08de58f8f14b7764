// Package continuation decides what follows when the engine of an answer is
// lost: which arrived output counts, how long an engine may be silent, and
// whether the answer goes on, restarts or ends.
//
// All functions are pure. Positions count tokens in the relay and events in
// package forward; the rules are the same for both.
package continuation

import "time"

// Loss says how an attempt was lost.
type Loss string

// Kinds of loss.
const (
	LossReset     Loss = "connection reset"
	LossTruncated Loss = "stream ended early"
	LossDial      Loss = "connection refused"
	LossSilence   Loss = "silence"
	LossStatus    Loss = "engine error"
	LossBusy      Loss = "engine busy"
	LossVersion   Loss = "engine runs another version"
	LossNoStream  Loss = "engine does not know the stream"
	LossGap       Loss = "missing tokens"
	LossCrossed   Loss = "tokens of another stream"
	LossLeaving   Loss = "engine leaves"
	LossRejected  Loss = "engine rejected the request"
)

// Detail says more about a loss.
type Detail struct {
	Cause string // in this system's words; logged
	// Said is what the engine answered. It may quote the prompt, so it goes to
	// the request's own caller only and is never logged.
	Said string
}

const (
	// MaxFailures bounds the attempts in a row that bring no token.
	MaxFailures = 8
	// MaxUnplacedWait bounds the wait for an engine while nothing is shown.
	MaxUnplacedWait = 10 * time.Second
	// MaxContinuationWait bounds the wait for an engine of the version of a
	// generation that the caller has seen a part of.
	MaxContinuationWait = 30 * time.Second
)

// Action is what follows a loss.
type Action string

// Actions.
const (
	Reattach Action = "reattach" // join the same stream on the same engine
	Continue Action = "continue" // another engine of the version, from the accepted tokens
	Restart  Action = "restart"  // from the prompt, as a new line
	Wait     Action = "wait"     // for an engine of the version
	Stay     Action = "stay"     // keep the attempt
	GiveUp   Action = "give up"
)

// Situation is what the choice of an action depends on.
type Situation struct {
	Loss Loss
	// Rejoinable says that the engine may still run the stream, and lets this
	// instance join it again.
	Rejoinable bool
	Tokens     int  // accepted
	Shown      int  // handed to the caller
	OtherReady bool // another usable engine of the version exists
	Failures   int  // attempts in a row that brought no token
	StreamOnly bool // the caller has seen tokens that only the lost stream has
	Waited     time.Duration
}

// Next decides what follows a loss. Its main rule: once a token is shown, only
// the same version may go on, from exactly the accepted tokens.
func Next(s Situation) Action {
	switch {
	case s.Loss == LossRejected, s.Failures >= MaxFailures:
		return GiveUp
	case s.Loss == LossLeaving && !s.OtherReady:
		return Stay
	case s.Rejoinable && (s.Loss == LossReset || s.Loss == LossTruncated):
		return Reattach
	case s.StreamOnly:
		return GiveUp
	case s.OtherReady && s.Tokens > 0:
		return Continue
	case s.Shown == 0 && s.Waited < MaxUnplacedWait:
		return Restart
	case s.Shown > 0 && s.Waited < MaxContinuationWait:
		return Wait
	default:
		return GiveUp
	}
}

// DiedUnder reports whether the loss shows that the engine process died: its
// connection broke and a reattachment was refused.
func DiedUnder(l Loss, attached bool) bool {
	return attached && (l == LossDial || l == LossNoStream || l == LossReset)
}

// ConcernsEngine reports whether the loss is one of the whole engine, so that
// all its streams are lost at once.
func ConcernsEngine(l Loss) bool {
	return l == LossDial || l == LossReset || l == LossSilence
}

// CountsAgainstVersion reports whether the loss is evidence against the
// version. Load, leaving and requests that no engine accepts are not.
func CountsAgainstVersion(l Loss) bool {
	switch l {
	case LossBusy, LossLeaving, LossRejected, LossVersion, LossNoStream:
		return false
	default:
		return true
	}
}
