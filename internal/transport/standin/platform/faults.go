package platform

import "time"

// Faults are the switchable faults of the platform. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	LatencyMS int64 `json:"latency_ms,omitempty"` // added to each call
	// Down refuses each call with 503 not_applied.
	Down bool `json:"down,omitempty"`
	// LoseAnswers cuts the connections of the next N writes after they are
	// applied; LoseFraction does so to that fraction of all writes.
	LoseAnswers  int     `json:"lose_answers,omitempty"`
	LoseFraction float64 `json:"lose_fraction,omitempty"`
	// LoseRequests cuts the connections of the next N writes before they are
	// applied. A client cannot distinguish this from a lost answer.
	LoseRequests int `json:"lose_requests,omitempty"`
	// FailWrites answers 500 to the next N writes after they are applied.
	FailWrites int `json:"fail_writes,omitempty"`
	// Rates in calls/s; zero means no limit. A call above the rate gets 429.
	ReadsPerSecond   float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond  float64 `json:"writes_per_second,omitempty"`
	WeightsPerSecond float64 `json:"weights_per_second,omitempty"`
	// ListLagMS is the age of the state that GET /instances shows.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

func (f Faults) latency() time.Duration {
	return time.Duration(f.LatencyMS) * time.Millisecond
}

func (f Faults) listLag() time.Duration {
	return time.Duration(f.ListLagMS) * time.Millisecond
}

// writeFault is the fault that applies to one write.
type writeFault int

const (
	writeNoFault writeFault = iota
	writeRequestLost
	writeAnswerLost
	writeAnswerFails
)

// drawWriteFault chooses the fault of the next write and decrements the counter of
// a fault that applies to the next N writes.
func (p *Platform) drawWriteFault() writeFault {
	fault := writeNoFault
	p.faults.Update(func(f *Faults) bool {
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
	if fault == writeNoFault && p.faults.Chance(p.faults.Get().LoseFraction) {
		fault = writeAnswerLost
	}
	return fault
}
