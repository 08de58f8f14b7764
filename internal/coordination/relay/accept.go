package relay

import "github.com/sequoiavalve/sequoiavalve/internal/state/generation"

// Verdict says what to do with tokens that arrived.
type Verdict int

// Verdicts.
const (
	Accepted  Verdict = iota // append the new tokens
	Duplicate                // all tokens are known already
	Stale                    // not from the current connection: drop, and cancel the sender
	Crossed                  // from a stream that is not the attempt's own: drop and fail the attempt
	Gap                      // tokens are missing: fail the attempt
)

// connection identifies where tokens came from.
type connection struct {
	number int    // attempt number of the connection
	stream string // stream ID that the engine wrote on the tokens
}

// accept judges tokens against the record. have is the number of tokens
// accepted so far; skip is how many of the arrived tokens are already known.
func accept(a generation.Attempt, have int, from connection, position, count int) (verdict Verdict, skip int) {
	switch {
	case !a.Open || from.number != a.Number:
		return Stale, 0
	case from.stream != string(a.Stream):
		return Crossed, 0
	case position > have:
		return Gap, 0
	case position+count <= have:
		return Duplicate, 0
	default:
		return Accepted, have - position
	}
}

// acceptEnd reports whether the end of a stream is the end of the answer: it
// comes from the current attempt and counts exactly the accepted tokens.
func acceptEnd(a generation.Attempt, have int, from connection, total int) Verdict {
	verdict, _ := accept(a, have, from, total, 0)
	if verdict == Duplicate && total < have {
		return Gap
	}
	return verdict
}
