package platform

import "sync/atomic"

// Stats counts the calls since the start, including refused calls.
type Stats struct {
	Reads        int64 `json:"reads"`         // tables, objects, list and weights
	Writes       int64 `json:"writes"`        // tables, objects and list
	Applied      int64 `json:"applied"`       // writes that took effect
	LostAnswers  int64 `json:"lost_answers"`  // writes that were applied and whose answer a fault dropped
	LostRequests int64 `json:"lost_requests"` // writes that a fault dropped before they were applied
	RateLimited  int64 `json:"rate_limited"`
	Weights      int64 `json:"weights"` // weight answers sent
}

type counters struct {
	reads, writes, applied, lostAnswers, lostRequests, rateLimited, weights atomic.Int64
}

// Stats returns the counts.
func (p *Platform) Stats() Stats {
	return Stats{
		Reads:        p.counters.reads.Load(),
		Writes:       p.counters.writes.Load(),
		Applied:      p.counters.applied.Load(),
		LostAnswers:  p.counters.lostAnswers.Load(),
		LostRequests: p.counters.lostRequests.Load(),
		RateLimited:  p.counters.rateLimited.Load(),
		Weights:      p.counters.weights.Load(),
	}
}
