package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// maxSilence is the longest silence of a sound worker.
const maxSilence = 1300 * time.Millisecond

// planSilences plans pauses of sound workers, for every second seed. It has random
// numbers of its own, so that the other faults of a seed stay as they were.
func planSilences(seed uint64, faulty time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 9))
	if random.IntN(2) == 0 {
		return nil
	}
	var faults []fault
	for range 2 + random.IntN(5) {
		faults = append(faults, fault{
			kind:   faultSilent,
			at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
			length: maxSilence/2 + time.Duration(random.Int64N(int64(maxSilence/2))),
			target: random.IntN(1 << 20),
			times:  1 + random.IntN(4),
			gap:    time.Duration(random.Int64N(int64(300 * time.Millisecond))),
		})
	}
	return faults
}

// checkSilences checks that a request which workers began gets the whole answer of one of
// them while these workers are sound, however long they are silent.
func (s *soak) checkSilences(attempts map[string]soakAttempt, runs map[string][]soakRun) []string {
	var violations []string
	for id, a := range attempts {
		unanswered := a.cut || a.status == http.StatusBadGateway
		if !unanswered || a.cancelled || len(runs[id]) == 0 || !s.onlySilences(a, runs[id]) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s %s at %s, sent at %s: ended at %s with status %d after event %d, though all %d workers that ran it were sound",
			id, a.path, a.address, s.offset(a.sent), s.offset(a.ended), a.status, a.lastEvent, len(runs[id])))
	}
	return violations
}

// onlySilences reports whether the attempt's instance and the workers that ran the attempt
// had no faults but silences from shortly before it to its end, and the rules did not change
// meanwhile.
func (s *soak) onlySilences(a soakAttempt, runs []soakRun) bool {
	scopes := []string{s.instanceScopeOf(a.address), "all"}
	for _, r := range runs {
		scopes = append(scopes, r.worker.ID())
	}
	from := a.sent.Add(-soakSlack)
	for _, f := range s.appliedFaults {
		if f.kind != faultSilent && slices.Contains(scopes, f.scope) && f.overlaps(from, a.ended) {
			return false
		}
	}
	return !slices.ContainsFunc(s.keyChanges, func(change keyChange) bool {
		return change.at.After(from) && change.at.Before(a.ended)
	})
}
