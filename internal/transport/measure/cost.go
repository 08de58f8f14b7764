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

// measureCost returns the time of one operation in microseconds. It is the median
// of the rounds, so that rounds delayed by other work on the machine do not count.
func measureCost(op func()) float64 {
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

// heapGrowth returns by how many bytes the live heap grows when build runs. The
// result of build keeps them alive.
func heapGrowth(build func() any) float64 {
	before := allocated()
	built := build()
	after := allocated()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func allocated() uint64 {
	runtime.GC()
	runtime.GC() // the first collection can leave objects that finalizers held
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
