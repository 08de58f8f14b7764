package engine

import "time"

// Faults are the switchable faults of an engine. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	FailFraction float64 `json:"fail_fraction,omitempty"` // part of the requests that get 500
	SlowFactor   float64 `json:"slow_factor,omitempty"`   // multiplies token time and prefill time
	// AboveLoad makes FailFraction and SlowFactor apply only while more
	// streams than this run or wait. Zero means always.
	AboveLoad int  `json:"above_load,omitempty"`
	Freeze    bool `json:"freeze,omitempty"` // no stream produces tokens

	// CutAfter ends each connection after that many tokens, without an end of
	// stream. CutClean ends the body properly in place of a reset; CutForgets
	// cancels the stream too, so that nothing can attach to it.
	CutAfter   int  `json:"cut_after,omitempty"`
	CutClean   bool `json:"cut_clean,omitempty"`
	CutForgets bool `json:"cut_forgets,omitempty"`

	// Parts of the chunks that are sent late, twice, never, or replaced by a
	// chunk of another stream under that stream's ID.
	LateFraction        float64 `json:"late_fraction,omitempty"`
	LateMS              int64   `json:"late_ms,omitempty"`
	DuplicateFraction   float64 `json:"duplicate_fraction,omitempty"`
	SkipFraction        float64 `json:"skip_fraction,omitempty"`
	WrongStreamFraction float64 `json:"wrong_stream_fraction,omitempty"`

	// CrashMarker crashes the engine when a stream whose prompt holds it is to
	// produce the token at position CrashAt, or a later one.
	CrashMarker string `json:"crash_marker,omitempty"`
	CrashAt     int    `json:"crash_at,omitempty"`
}

// applies reports whether FailFraction and SlowFactor apply under the load.
func (f Faults) applies(load int) bool {
	return f.AboveLoad == 0 || load > f.AboveLoad
}

// slow returns the factor for times under the load.
func (f Faults) slow(load int) float64 {
	if f.SlowFactor <= 0 || !f.applies(load) {
		return 1
	}
	return f.SlowFactor
}

func (f Faults) late() time.Duration {
	return time.Duration(f.LateMS) * time.Millisecond
}
