package continuation

import "time"

// Limits bound the silence of a stream.
type Limits struct {
	Factor          float64       // of the smoothed time between positions
	Min             time.Duration // between positions
	Max             time.Duration // between positions
	FirstFactor     float64       // of the estimated queue and prefill time
	MinFirst        time.Duration // before the first position
	MaxFirst        time.Duration // before the first position, while the caller has nothing
	MaxFirstResumed time.Duration // before the first position, once the caller waited through a loss
}

// intervalSmoothing is the weight of the newest interval.
const intervalSmoothing = 0.2

// Pace is what is known of an attempt's speed.
type Pace struct {
	Interval time.Duration // smoothed time between positions; zero before the second
	Expected time.Duration // estimated time to the first position
	Attached bool          // joined a running stream, nothing is recomputed
}

// Silence returns how long the attempt may be silent. resumed says that the
// caller has waited through a loss already.
func (l Limits) Silence(p Pace, started, resumed bool) time.Duration {
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

// Smooth returns the new smoothed interval after one more interval.
func Smooth(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return old + time.Duration(intervalSmoothing*float64(latest-old))
}
