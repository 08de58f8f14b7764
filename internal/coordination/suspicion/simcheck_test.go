package suspicion

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// init fixes the seed of rapid. The command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// trueRecord counts the engine deaths of a fingerprint without the delay of gossip.
// It is cleared when the fingerprint runs beyond the positions of all its deaths.
type trueRecord struct {
	deaths       int
	lastPosition int // highest position among the deaths
}

// clearIfBeyond deletes the trueRecord of a fingerprint that has ended or run
// beyond its deaths.
func (s *sim) clearIfBeyond(r *runner, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done || r.position > s.records[r.fp].lastPosition {
		delete(s.records, r.fp)
	}
}

// recordDeath adds the death of an engine to the records of the requests that ran
// on it. The caller holds mu.
func (s *sim) recordDeath(lost []*runner) {
	counted := map[suspect.Fingerprint]bool{}
	for _, r := range lost {
		rec := s.records[r.fp]
		if !counted[r.fp] {
			rec.deaths++
		}
		counted[r.fp] = true
		rec.lastPosition = max(rec.lastPosition, r.position)
		s.records[r.fp] = rec
	}
}

func (s *sim) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.runners, func(r *runner) bool { return r.end == "" })
}

func (s *sim) violations() []string {
	var bad []string
	for killer, killed := range s.killed {
		if killed > 3 {
			bad = append(bad, fmt.Sprintf("killer %d took down %d engines", killer, killed))
		}
	}
	for _, r := range s.runners {
		if !r.deadline.IsZero() || r.endedCorrectly() {
			continue
		}
		bad = append(bad, fmt.Sprintf("%s (%s) ended as %q after %d deaths", r.id, r.fp, r.end, r.deaths))
	}
	return bad
}

// refusedAfter is the number of deaths after which a request is refused.
const refusedAfter = 3

// endedCorrectly reports whether a killer was refused, or an innocent finished. An
// innocent may also be refused if it has refusedAfter deaths and has not run
// beyond them, since its record then equals that of a killer, see
// TestInnocentWithTheRecordOfAKiller.
func (r *runner) endedCorrectly() bool {
	if r.isKiller() {
		return r.end == "refused"
	}
	return r.end == "finished" || (r.end == "refused" && r.deaths >= refusedAfter)
}

// Guards against a request that kills more than three engines with its repeats
// through any instance, also while another killer runs, and against the refusal
// of innocents that ran on the same engines. Gossip is delayed, permit requests
// and answers are late or lost, one permit issuer may not answer, and placements stay unused.
func TestKillerIsStoppedAndInnocentsFinish(t *testing.T) { checkSim(t, false) }

// Guards against the refusal of an innocent with two deaths whose permitted run
// finishes, or is placed while a killer is already a suspect.
func TestPermittedRunBesideThirdKiller(t *testing.T) { checkSim(t, true) }

// Shows why an innocent with three deaths may be refused. The deaths of an innocent
// that ran with a different killer each time look the same as those of a killer,
// so a rule that does not refuse this innocent lets a killer end a fourth engine.
func TestInnocentWithTheRecordOfAKiller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(plan{Delays: make([]time.Duration, 2), Engines: 2})
		defer func() {
			for _, m := range s.managers {
				m.Pool.Close()
			}
		}()
		m := s.managers[0]
		innocent, killer := fingerprint(killerCount), fingerprint(0)
		for n := range uint64(refusedAfter) {
			m.EngineDied("beside another killer", n, []Running{{Fingerprint: innocent, Position: 4}, {Fingerprint: fingerprint(1), Position: int(n)}})
			m.EngineDied("alone", n, []Running{{Fingerprint: killer, Position: 4}})
		}
		rows := map[suspect.Fingerprint][]int{}
		for _, d := range m.Suspects.Snapshot(time.Now()).Deaths {
			rows[d.Fingerprint] = append(rows[d.Fingerprint], d.Position)
		}
		assert.DeepEqual(t, rows[innocent], rows[killer])
		assert.Equal(t, m.Check(innocent), Refused)
		assert.Equal(t, m.Check(killer), Refused)
	})
}

func checkSim(t *testing.T, blamedBeside bool) {
	rapid.Check(t, func(rt *rapid.T) {
		p := genPlan(rt, blamedBeside)
		var bad []string
		synctest.Test(t, func(*testing.T) { bad = newSim(p).run() })
		if len(bad) > 0 {
			rt.Fatal(bad)
		}
	})
}
