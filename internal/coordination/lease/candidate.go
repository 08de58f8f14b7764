package lease

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// readsPerTerm is how often per term the first candidate reads a lease that
	// another instance holds. A dead holder is replaced within 1.5 to 2 terms.
	readsPerTerm = 2
	// The read interval of a candidate is (1 + rank/rankSlope) times that of the
	// first candidate. All 640 candidates for a lease together then send about
	// 1.6 reads/s, against 64 reads/s with equal intervals.
	rankSlope = 3
	// jitterFraction of each delay is random, so that candidates with adjacent
	// ranks do not write at the same time.
	jitterFraction = 0.2
)

// Rank returns the position of self among the candidates, ordered by rendezvous
// hashing of the lease name. The candidate with rank 0 tries first. If self is
// missing from the list, its rank is the number of candidates with a higher weight.
func Rank(name string, self model.InstanceID, candidates []model.InstanceID) int {
	own := rendezvousWeight(name, self)
	rank := 0
	for _, id := range candidates {
		w := rendezvousWeight(name, id)
		if id != self && (w > own || w == own && id < self) {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(name string, id model.InstanceID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(id))
}

// firstAttemptDelay returns the delay before the first attempt. The first candidate
// tries almost at once, and each other one after the candidates of lower rank had
// time to succeed.
func firstAttemptDelay(termLength time.Duration, rank int, rng *rand.Rand) time.Duration {
	wait := termLength * time.Duration(rank) / (readsPerTerm * rankSlope)
	return wait + time.Duration(rng.Float64()*jitterFraction*float64(termLength)/rankSlope)
}

// readDelay returns the delay between reads of a lease that another instance holds.
func readDelay(termLength time.Duration, rank int, rng *rand.Rand) time.Duration {
	base := float64(termLength) / readsPerTerm * (1 + float64(rank)/rankSlope)
	return time.Duration(base * (1 + jitterFraction*(rng.Float64()-0.5)))
}

// retryDelay returns the delay after a failed store call of the holder, and after a
// release of a keeper that was started again. It is short enough for several attempts
// within the rest of the term.
func retryDelay(termLength time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(termLength) / 20 * (1 + rng.Float64()))
}
