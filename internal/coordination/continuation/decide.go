// Package continuation has the rules by which an answer survives the loss of its
// engine: which output is accepted, how long an engine may be silent, and whether
// the answer continues on another engine, restarts or ends.
//
// All functions are pure. A position is a number of tokens in package relay and of
// events in package forward; the rules are the same for both.
package continuation

import "time"

// Loss is the kind of failure by which an attempt was lost.
type Loss string

// Kinds of loss.
const (
	LossReset       Loss = "connection reset"
	LossTruncated   Loss = "stream ended early"
	LossDial        Loss = "connection refused"
	LossSilence     Loss = "silence"
	LossStatus      Loss = "engine error"
	LossBusy        Loss = "engine busy"
	LossVersion     Loss = "engine runs another version"
	LossNoStream    Loss = "engine does not know the stream"
	LossGap         Loss = "missing tokens"
	LossWrongStream Loss = "tokens of another stream"
	LossLeaving     Loss = "engine leaves"
	LossRejected    Loss = "engine rejected the request"
)

// Detail describes a loss.
type Detail struct {
	Cause string // description by this system; logged
	// EngineMessage is the error text of the engine. It may quote the prompt, so it is
	// sent only to the caller of the request and never logged.
	EngineMessage string
}

const (
	// MaxFailures limits the consecutive attempts that reach an engine and deliver no token.
	MaxFailures = 8
	// MaxUnplacedWait limits the wait for an engine while the caller has seen no
	// token.
	MaxUnplacedWait = 10 * time.Second
	// MaxContinuationWait limits the wait for an engine of the same version, once
	// the caller has seen a part of the answer.
	MaxContinuationWait = 30 * time.Second
)

// Action is the reaction to a loss.
type Action string

// Actions.
const (
	Reattach    Action = "reattach" // read the same stream on the same engine again
	Continue    Action = "continue" // continue from the accepted tokens on another engine of the version
	Restart     Action = "restart"  // start again from the prompt, as a new line
	Wait        Action = "wait"     // wait for an engine of the version
	KeepAttempt Action = "stay"     // keep the current attempt
	GiveUp      Action = "give up"
)

// Situation is the input to the choice of an action.
type Situation struct {
	Loss Loss
	// CanReattach is set if the engine may still run the stream, and allows this
	// instance to read it again.
	CanReattach      bool
	Tokens           int           // number of accepted tokens
	Shown            int           // number of tokens handed to the caller
	AlternativeReady bool          // another usable engine of the version exists
	Failures         int           // consecutive attempts that reached an engine and delivered no token
	NeedsLostStream  bool          // the caller has seen tokens that only the lost stream can deliver
	Waited           time.Duration // time spent waiting for an engine so far
}

// Next returns the action to take after a loss. Once the caller has seen a token,
// only an engine of the same version may continue the answer, and from exactly the
// accepted tokens. A rejection by one engine is final only while no engine has run the
// request: one that has brought tokens is valid.
func Next(s Situation) Action {
	switch {
	case s.Loss == LossRejected && s.Tokens == 0, s.Failures >= MaxFailures:
		return GiveUp
	case s.Loss == LossLeaving && !s.AlternativeReady:
		return KeepAttempt
	case s.CanReattach && (s.Loss == LossReset || s.Loss == LossTruncated):
		return Reattach
	case s.NeedsLostStream:
		return GiveUp
	case s.AlternativeReady && s.Tokens > 0:
		return Continue
	case s.Shown == 0 && s.Waited < MaxUnplacedWait:
		return Restart
	case s.Shown > 0 && s.Waited < MaxContinuationWait:
		return Wait
	default:
		return GiveUp
	}
}

// ReachedEngine reports whether an engine may have had the request of the lost attempt.
// Other attempts are no failures of the stream: in an outage connections to many engines
// are refused within milliseconds.
func ReachedEngine(l Loss) bool { return l != LossDial }

// ProcessDied reports whether the loss shows that the engine process died: the
// connection to it broke, and reattaching to the stream failed as well. attached
// says that the lost attempt was such a reattachment, and delivered nothing.
func ProcessDied(l Loss, attached bool) bool {
	return attached && (l == LossDial || l == LossNoStream || l == LossReset)
}

// ConcernsEngine reports whether the loss affects the whole engine, and so all of
// its streams.
func ConcernsEngine(l Loss) bool {
	return l == LossDial || l == LossReset || l == LossSilence
}

// CountsAgainstVersion reports whether the loss is evidence against the version of
// the engine. A busy or leaving engine, a version or stream that the engine does
// not have, and a rejected request are not.
func CountsAgainstVersion(l Loss) bool {
	switch l {
	case LossBusy, LossLeaving, LossRejected, LossVersion, LossNoStream:
		return false
	default:
		return true
	}
}
