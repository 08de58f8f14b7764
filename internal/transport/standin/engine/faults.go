package engine

import "time"

// Faults are the switchable faults of an engine. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	FailFraction float64 `json:"fail_fraction,omitempty"` // fraction of the requests that get 500
	SlowFactor   float64 `json:"slow_factor,omitempty"`   // multiplies token time and prefill time
	// AboveLoad restricts FailFraction and SlowFactor to times when more than
	// this number of streams run or wait. Zero means always.
	AboveLoad int  `json:"above_load,omitempty"`
	Freeze    bool `json:"freeze,omitempty"` // no stream produces tokens

	// CutAfter ends each connection after that number of tokens, without an end
	// of stream. CutClean ends the body properly instead of resetting the
	// connection. CutForgets also cancels the stream, so that no connection can
	// attach to it.
	CutAfter   int  `json:"cut_after,omitempty"`
	CutClean   bool `json:"cut_clean,omitempty"`
	CutForgets bool `json:"cut_forgets,omitempty"`

	// Fractions of the chunks that are sent late by LateMS, twice, never, or
	// replaced by a chunk of another stream with the ID of that stream.
	LateFraction        float64 `json:"late_fraction,omitempty"`
	LateMS              int64   `json:"late_ms,omitempty"`
	DuplicateFraction   float64 `json:"duplicate_fraction,omitempty"`
	SkipFraction        float64 `json:"skip_fraction,omitempty"`
	WrongStreamFraction float64 `json:"wrong_stream_fraction,omitempty"`

	// CrashMarker crashes the engine before a stream whose prompt contains the
	// marker produces a token at position CrashAt or later.
	CrashMarker string `json:"crash_marker,omitempty"`
	CrashAt     int    `json:"crash_at,omitempty"`
}

// applyAtLoad reports whether FailFraction and SlowFactor apply under the load.
func (f Faults) applyAtLoad(load int) bool {
	return f.AboveLoad == 0 || load > f.AboveLoad
}

// slowdown returns the factor for token time and prefill time under the load.
func (f Faults) slowdown(load int) float64 {
	if f.SlowFactor <= 0 || !f.applyAtLoad(load) {
		return 1
	}
	return f.SlowFactor
}

func (f Faults) lateDelay() time.Duration {
	return time.Duration(f.LateMS) * time.Millisecond
}
