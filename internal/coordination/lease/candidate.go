package lease

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// readsPerTerm is how often the first candidate reads a foreign lease in
	// one term: a dead holder is replaced within 1.5 to 2 terms.
	readsPerTerm = 2
	// rankSlope divides the rank in the growth of the read interval. With 640
	// candidates it gives about 1.6 reads/s for each lease in all, against 64
	// reads/s with equal intervals.
	rankSlope = 3
	// jitterFraction of each wait is random, so that candidates of
	// neighbouring rank do not write together.
	jitterFraction = 0.2
)

// Rank returns the place of self among the candidates in the rendezvous order
// of the lease name; the candidate with rank 0 tries first. A candidate that
// is missing from the list ranks last.
func Rank(name string, self model.InstanceID, candidates []model.InstanceID) int {
	own := weight(name, self)
	rank := 0
	for _, id := range candidates {
		w := weight(name, id)
		if id != self && (w > own || w == own && id < self) {
			rank++
		}
	}
	return rank
}

func weight(name string, id model.InstanceID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(id))
}

// firstWait is the wait before the first attempt. The first candidate tries at
// once; the others leave time for it to succeed.
func firstWait(full time.Duration, rank int, rng *rand.Rand) time.Duration {
	wait := full * time.Duration(rank) / (readsPerTerm * rankSlope)
	return wait + time.Duration(rng.Float64()*jitterFraction*float64(full)/rankSlope)
}

// readWait is the wait between reads of a foreign lease.
func readWait(full time.Duration, rank int, rng *rand.Rand) time.Duration {
	base := float64(full) / readsPerTerm * (1 + float64(rank)/rankSlope)
	return time.Duration(base * (1 + jitterFraction*(rng.Float64()-0.5)))
}

// retryWait is the wait after a failed call of the holder. It fits several
// times into the rest of the term.
func retryWait(full time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(full) / 20 * (1 + rng.Float64()))
}
