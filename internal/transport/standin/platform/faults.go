package platform

import "time"

// Faults are the switchable faults of the platform. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	LatencyMS int64 `json:"latency_ms,omitempty"` // added to each call
	// Down refuses each call with 503 not_applied.
	Down bool `json:"down,omitempty"`
	// LoseAnswers cuts the connection of the next N writes after they took
	// effect; LoseFraction does so to a part of all writes.
	LoseAnswers  int     `json:"lose_answers,omitempty"`
	LoseFraction float64 `json:"lose_fraction,omitempty"`
	// LoseRequests cuts the connection of the next N writes before they take
	// effect. A client cannot tell this from a lost answer.
	LoseRequests int `json:"lose_requests,omitempty"`
	// FailWrites answers 500 to the next N writes after they took effect.
	FailWrites int `json:"fail_writes,omitempty"`
	// Rates in calls/s; zero means no limit. Over its rate a call gets 429.
	ReadsPerSecond   float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond  float64 `json:"writes_per_second,omitempty"`
	WeightsPerSecond float64 `json:"weights_per_second,omitempty"`
	// ListLagMS delays what GET /instances shows.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

func (f Faults) latency() time.Duration {
	return time.Duration(f.LatencyMS) * time.Millisecond
}

func (f Faults) listLag() time.Duration {
	return time.Duration(f.ListLagMS) * time.Millisecond
}

// writeFault is what happens to one write.
type writeFault int

const (
	writeWorks writeFault = iota
	writeRequestLost
	writeAnswerLost
	writeAnswerFails
)

// drawWriteFault picks the fault of the next write and counts it down.
func (p *Platform) drawWriteFault() writeFault {
	fault := writeWorks
	p.faults.Take(func(f *Faults) bool {
		switch {
		case f.LoseRequests > 0:
			f.LoseRequests--
			fault = writeRequestLost
		case f.LoseAnswers > 0:
			f.LoseAnswers--
			fault = writeAnswerLost
		case f.FailWrites > 0:
			f.FailWrites--
			fault = writeAnswerFails
		}
		return true
	})
	if fault == writeWorks && p.faults.Chance(p.faults.Get().LoseFraction) {
		fault = writeAnswerLost
	}
	return fault
}
