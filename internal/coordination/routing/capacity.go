package routing

const (
	// streamsPerEngine is the number of generations that an engine runs in one batch.
	streamsPerEngine = 64
	// minPerEngine is the least number of generations that an instance may have on each
	// engine. It applies when there are many instances for the streams of an engine.
	minPerEngine = 2
)

// Capacity returns the number of generations that one instance may have in flight on
// all usable upstreams together. The upstreams' capacity is divided evenly among the
// instances, because an instance does not know exactly how much the others use.
func Capacity(usable, instances int) int {
	return usable * max(streamsPerEngine/max(instances, 1), minPerEngine)
}
