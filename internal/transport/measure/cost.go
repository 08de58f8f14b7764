package measure

import (
	"runtime"
	"slices"
	"time"
)

const (
	costRounds = 7
	roundTime  = 40 * time.Millisecond
)

// cost returns the time of one operation in microseconds: the median of a few
// rounds, so that a disturbed round does not count.
func cost(op func()) float64 {
	rounds := make([]float64, 0, costRounds)
	for range costRounds {
		began, n := time.Now(), 0
		for time.Since(began) < roundTime {
			op()
			n++
		}
		rounds = append(rounds, float64(time.Since(began))/float64(n)/float64(time.Microsecond))
	}
	slices.Sort(rounds)
	return rounds[costRounds/2]
}

// heap returns the bytes that stay allocated after build, whose result keeps
// them alive.
func heap(build func() any) float64 {
	before := allocated()
	kept := build()
	after := allocated()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func allocated() uint64 {
	runtime.GC()
	runtime.GC() // the first one can leave what finalizers held
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
