package continuation

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

// Connection identifies where output came from.
type Connection struct {
	Number int    // attempt number of the connection
	Stream string // stream ID that the engine wrote on the output
}

// Current is the attempt whose output counts.
type Current struct {
	Connection
	Open bool // the engine still works on it
}

// Accept judges tokens against the record. have is the number of tokens
// accepted so far; skip is how many of the arrived tokens are already known.
func Accept(c Current, have int, from Connection, position, count int) (verdict Verdict, skip int) {
	switch {
	case !c.Open || from.Number != c.Number:
		return Stale, 0
	case from.Stream != c.Stream:
		return Crossed, 0
	case position > have:
		return Gap, 0
	case position+count <= have:
		return Duplicate, 0
	default:
		return Accepted, have - position
	}
}

// AcceptEnd reports whether the end of a stream is the end of the answer: it
// comes from the current attempt and counts exactly the accepted tokens.
func AcceptEnd(c Current, have int, from Connection, total int) Verdict {
	verdict, _ := Accept(c, have, from, total, 0)
	if verdict == Duplicate && total < have {
		return Gap
	}
	return verdict
}
