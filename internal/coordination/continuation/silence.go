package continuation

import "time"

// MaxSoundPause bounds the pauses of sound engines, which may be silent for about a
// second, answer nothing in that time, and then go on.
const MaxSoundPause = 1500 * time.Millisecond

// Limits limit how long a stream may be silent before it counts as lost. The
// factors are multiplied by a measured or estimated time; the other fields bound
// the product.
type Limits struct {
	Factor          float64       // multiple of the smoothed time between positions
	Min             time.Duration // shortest limit between positions
	Max             time.Duration // longest limit between positions
	FirstFactor     float64       // multiple of the estimated queue and prefill time
	MinFirst        time.Duration // shortest limit before the first position
	MaxFirst        time.Duration // longest limit before the first position, while the caller has seen nothing
	MaxFirstResumed time.Duration // longest limit before the first position, once the caller has waited through a loss
}

// intervalSmoothing is the weight of the latest interval in the moving average.
const intervalSmoothing = 0.2

// Pace is the measured and expected speed of an attempt.
type Pace struct {
	Interval time.Duration // smoothed time between positions; zero before the second position
	Expected time.Duration // estimated time to the first position
	Attached bool          // attached to a running stream, so that nothing is recomputed
}

// Timeout returns how long the attempt may be silent. started says that its first
// position has arrived, and resumed that the caller has already waited through a
// loss.
func (l Limits) Timeout(p Pace, started, resumed bool) time.Duration {
	if p.Attached && !started {
		return l.Min
	}
	if started {
		return clamp(scale(p.Interval, l.Factor), l.Min, l.Max)
	}
	longest := l.MaxFirst
	if resumed {
		longest = l.MaxFirstResumed
	}
	return clamp(scale(p.Expected, l.FirstFactor), l.MinFirst, longest)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func clamp(d, low, high time.Duration) time.Duration {
	return min(max(d, low), high)
}

// Smooth returns the exponential moving average of the intervals after one more
// interval.
func Smooth(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return old + time.Duration(intervalSmoothing*float64(latest-old))
}

// Silence is the situation of an attempt that has been silent for longer than its limit.
type Silence struct {
	PromptRead       bool          // the engine has the prompt in memory, as it sent a position or resumed from a copy
	CopyReady        bool          // another usable engine holds a copy of the memory
	SendsLeft        int           // further sends that the request may use
	AlternativeReady bool          // another usable engine exists
	Unanswered       time.Duration // time since the first of the last probes that got no answer; zero means none
	Lost             bool          // the engine answers probes, but no longer runs the stream or makes no progress
}

// MayMove reports whether another engine may take over from a silent one. Silence is no
// proof of a failure, so it never ends a request: without a further send or another
// engine the attempt stays open until its connection breaks or its time is over.
//
// An engine with the prompt in memory is left at once for one with a copy, because the
// answer would be late after a longer pause. Without a copy the prompt would be read
// again, which takes longer than the pause of a sound engine. The last send is kept for
// a broken connection unless the engine is silent for longer than sound engines are.
func (s Silence) MayMove() bool {
	switch {
	case s.SendsLeft < 1 || !s.AlternativeReady:
		return false
	case s.Lost, s.Unanswered >= MaxSoundPause:
		return true
	case s.SendsLeft == 1:
		return false
	case s.PromptRead:
		return s.CopyReady
	default:
		return s.Unanswered > 0
	}
}
