package routing

const (
	// streamsPerEngine is the number of generations that an engine batches.
	streamsPerEngine = 64
	// minPerEngine leaves each instance room on each engine when instances
	// outnumber the streams of an engine.
	minPerEngine = 2
)

// Capacity is the number of generations that one of so many instances may have
// in flight on so many usable upstreams together. The others' use is not known exactly,
// so the room is shared evenly.
func Capacity(usable, instances int) int {
	return usable * max(streamsPerEngine/max(instances, 1), minPerEngine)
}
