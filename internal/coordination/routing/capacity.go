package routing

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// streamsPerEngine is the number of generations that an engine batches.
	streamsPerEngine = 64
	// minPerEngine leaves each instance room on each engine when instances
	// outnumber the streams of an engine.
	minPerEngine = 2
)

// Capacity is the number of generations that one of so many instances may have
// in flight on the upstreams together. The others' use is not known exactly,
// so the room is shared evenly.
func Capacity(rows []upstream.Row, instances int, now time.Time) int {
	total := 0
	for _, row := range rows {
		if row.Usable(now) {
			total += max(streamsPerEngine/max(instances, 1), minPerEngine)
		}
	}
	return total
}
