package continuation

// Verdict says what to do with output that arrived.
type Verdict int

// Verdicts on output.
const (
	Accepted    Verdict = iota // append the tokens that are not recorded yet
	Duplicate                  // all tokens are recorded already: ignore
	Stale                      // not from the current attempt: ignore, and cancel the stream that sent it
	WrongStream                // from a stream other than the attempt's: ignore, and fail the attempt
	Gap                        // tokens are missing: fail the attempt
)

// Connection identifies the source of output.
type Connection struct {
	Number int    // attempt number of the connection
	Stream string // stream ID that the engine attached to the output
}

// Current is the attempt whose output is accepted.
type Current struct {
	Connection
	Open bool // the attempt has not ended
}

// Accept returns the verdict on count tokens that arrived at a position. have is
// the number of tokens accepted so far, and skip is the number of arrived tokens
// that are already among them.
func Accept(c Current, have int, from Connection, position, count int) (verdict Verdict, skip int) {
	switch {
	case !c.Open || from.Number != c.Number:
		return Stale, 0
	case from.Stream != c.Stream:
		return WrongStream, 0
	case position > have:
		return Gap, 0
	case position+count <= have:
		return Duplicate, 0
	default:
		return Accepted, have - position
	}
}

// AcceptEnd returns the verdict on the end of a stream of total tokens. Duplicate
// means that the answer is complete: the end is from the current attempt, and
// total equals the number of accepted tokens.
func AcceptEnd(c Current, have int, from Connection, total int) Verdict {
	verdict, _ := Accept(c, have, from, total, 0)
	if verdict == Duplicate && total < have {
		return Gap
	}
	return verdict
}
