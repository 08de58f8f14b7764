package engine

import "time"

// loadSample is the load from a point in time on, in numbers of streams.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// loadHistory keeps samples for the time by which the reported load lags. The
// batch's lock guards it.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // oldest first, never empty
}

func newLoadHistory(lag time.Duration, now time.Time) loadHistory {
	return loadHistory{lag: lag, samples: []loadSample{{at: now}}}
}

// record adds a sample if the load changed.
func (h *loadHistory) record(sample loadSample) {
	last := h.samples[len(h.samples)-1]
	if last.running == sample.running && last.waiting == sample.waiting {
		return
	}
	h.samples = append(h.samples, sample)
	oldest := sample.at.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(oldest) {
		h.samples = h.samples[1:]
	}
}

// reported returns the load as it was one lag ago, and the time for which it
// holds.
func (h *loadHistory) reported(now time.Time) loadSample {
	at := now.Add(-h.lag)
	sample := h.samples[0]
	for _, next := range h.samples[1:] {
		if next.at.After(at) {
			break
		}
		sample = next
	}
	if at.After(sample.at) {
		sample.at = at
	}
	return sample
}
