package routing

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Values that are assumed until an upstream reports its own.
const (
	defaultTokenTime   = 50 * time.Millisecond
	defaultPrefillRate = 20_000.0 // prompt bytes/s
	// batchSlowdown is the fraction by which each further stream of a continuous
	// batch lengthens the time between tokens.
	batchSlowdown = 0.02
	// typicalTokens is the output length that a waiting request is assumed to
	// have: 6.2 million tokens/s over 22,000 requests/s.
	typicalTokens = 280
)

// Work is the size of the request that is to be placed.
type Work struct {
	PromptBytes int // size of the prompt and of the tokens that are continued
	Tokens      int // upper limit of the output tokens that are still to come
}

// Candidate is one upstream that may take the request.
type Candidate struct {
	Load        upstream.Load
	CachedBytes int // length of the longest prompt prefix that it has probably cached
}

// Estimate is the expected time course of a request on one upstream.
type Estimate struct {
	FirstToken time.Duration // queue and prefill
	Finish     time.Duration // until the last token
}

// EstimateFinish predicts when the candidate would finish the work. Requests
// that this instance sent since the last load report are added to the report,
// because reports lag.
func EstimateFinish(c Candidate, w Work) Estimate {
	running := c.Load.Running + c.Load.Sent
	step := tokenTime(c.Load, running)
	first := queueTime(c.Load, running, step) + prefillTime(c, w)
	tokens := min(max(w.Tokens, 1), typicalTokens)
	return Estimate{FirstToken: first, Finish: first + time.Duration(tokens)*step}
}

// tokenTime is the expected time between tokens with the given number of running streams.
func tokenTime(load upstream.Load, running int) time.Duration {
	base := load.TokenTime
	if base == 0 {
		base = defaultTokenTime
	}
	return time.Duration(float64(base) * (1 + batchSlowdown*float64(running)))
}

// queueTime is the expected wait behind the requests that are queued already: slots
// become free at the rate running/(typicalTokens*step).
func queueTime(load upstream.Load, running int, step time.Duration) time.Duration {
	if load.Waiting == 0 {
		return 0
	}
	waiting := load.Waiting + load.Sent
	service := time.Duration(typicalTokens) * step
	return service * time.Duration(waiting) / time.Duration(max(running, 1))
}

func prefillTime(c Candidate, w Work) time.Duration {
	rate := c.Load.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	bytes := max(w.PromptBytes-c.CachedBytes, 0)
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
