package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
)

var testStart = time.Unix(1_700_000_040, 0)

// counts draws n requests with the given rates of failures and slow requests.
func counts(rng *rand.Rand, n int, failureRate, slowRate float64) evidence.Counts {
	var c evidence.Counts
	for range n {
		c.Requests++
		if rng.Float64() < failureRate {
			c.Failures++
		}
		bucket := 10
		if rng.Float64() < slowRate {
			bucket = 14
		}
		c.FirstWait[bucket]++
		c.Pace[bucket]++
	}
	return c
}

// verdictFraction returns the fraction of moves in which the judge gives a verdict
// against the target.
func verdictFraction(moves int, failureRate, slowRate float64) float64 {
	const batches, perBatch = 200, 20
	rng := rand.New(rand.NewPCG(7, 7))
	verdicts := 0
	for range moves {
		j := NewJudge([]string{"r"})
		for b := range batches {
			if b%20 == 0 {
				j.ShareChanged()
			}
			old := counts(rng, 4*perBatch, 0.01, 0.10)
			j.Observe(Batch{At: testStart.Add(time.Duration(b) * 10 * time.Second), Routes: []RouteCounts{
				{Route: "r", Old: old, New: counts(rng, perBatch, failureRate, slowRate)},
			}})
			if _, bad := j.Verdict(); bad {
				verdicts++
				break
			}
		}
	}
	return float64(verdicts) / float64(moves)
}

// Guards against a false-alarm rate above 1% per move, for a version that equals
// the old one and for one with the highest permitted fault rates. Also guards
// against a judge that misses a clearly worse version.
func TestFalseAlarmRate(t *testing.T) {
	const moves = 400
	equalAlarms := verdictFraction(moves, 0.01, 0.10)
	edgeAlarms := verdictFraction(moves, 0.03, 0.15)
	t.Logf("false alarms over %d moves: equal %.4f, on the edge %.4f", moves, equalAlarms, edgeAlarms)
	assert.Assert(t, equalAlarms <= falseAlarmRate && edgeAlarms <= falseAlarmRate)
	assert.Equal(t, verdictFraction(50, 0.15, 0.10), 1.0)
	assert.Equal(t, verdictFraction(50, 0.01, 0.40), 1.0)
}

// Guards against an e-process that crosses its bound in more than 1% of runs when
// the fault rate is exactly p0. Each batch and each change of share begins a new
// product, which must not raise that rate.
func TestEProcessFalseAlarmRate(t *testing.T) {
	const runs, batches, p0 = 2000, 500, 0.05
	rng := rand.New(rand.NewPCG(9, 9))
	crossed := 0
	for range runs {
		var e eProcess
		for b := range batches {
			if b%100 == 0 {
				e.shareChanged()
			}
			c := counts(rng, 10, p0, 0)
			e.observe(c.Requests, c.Failures, p0, testStart)
			if e.value() >= 1/falseAlarmRate {
				crossed++
				break
			}
		}
	}
	t.Logf("crossed in %d of %d runs", crossed, runs)
	assert.Assert(t, crossed <= runs*falseAlarmRate)
}

// Guards against slow detection of a fault after a long time without faults. It
// must take at most 4 batches more than at the start of the move.
func TestLateFaultIsFoundFast(t *testing.T) {
	batchesToVerdict := func(good int) int {
		rng := rand.New(rand.NewPCG(3, 3))
		j := NewJudge([]string{"r"})
		for b := range good + 100 {
			failureRate := 0.01
			if b >= good {
				failureRate = 0.3
			}
			at := testStart.Add(time.Duration(b) * 2 * time.Second)
			j.Observe(Batch{At: at, Routes: []RouteCounts{
				{Route: "r", Old: counts(rng, 20, 0.01, 0.1), New: counts(rng, 20, failureRate, 0.1)},
			}})
			if v, bad := j.Verdict(); bad {
				shown := testStart.Add(time.Duration(good) * 2 * time.Second)
				assert.Assert(t, v.Since.Sub(shown).Abs() <= 4*time.Second, "fault placed at %v", v.Since)
				return b - good + 1
			}
		}
		return -1
	}
	early, late := batchesToVerdict(5), batchesToVerdict(5000)
	t.Logf("batches of 20 requests until the verdict: %d after 5 good ones, %d after 5000", early, late)
	assert.Assert(t, early > 0 && late > 0 && late <= early+4)
}

// Guards against a judge that cannot detect failures of the target while the old
// version has no traffic.
func TestAbsoluteBoundWithoutOldTraffic(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	j := NewJudge([]string{"r"})
	for b := range 30 {
		j.Observe(Batch{At: testStart.Add(time.Duration(b) * time.Second), Routes: []RouteCounts{
			{Route: "r", New: counts(rng, 2, 0.5, 0.1)},
		}})
	}
	_, bad := j.Verdict()
	assert.Assert(t, bad)
}

// trace is a recorded sequence of batches with its expected outcome.
type trace struct {
	Source  string
	Routes  []string
	Outcome string // "good", or the kind of the verdict
	Route   string
	Batches []traceBatch
}

type traceBatch struct {
	Second   int
	Route    string
	Old, New traceCounts
}

// traceCounts holds latencies as a map from bucket to number of requests.
type traceCounts struct {
	Requests, Failures uint64
	FirstWait, Pace    map[int]uint64
}

func (c traceCounts) counts() evidence.Counts {
	out := evidence.Counts{Requests: c.Requests, Failures: c.Failures}
	for b, n := range c.FirstWait {
		out.FirstWait[b] = n
	}
	for b, n := range c.Pace {
		out.Pace[b] = n
	}
	return out
}

// Guards against changes to the judge that alter the verdict on a recorded move.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			var tr trace
			assert.NilError(t, json.Unmarshal(data, &tr))
			j := NewJudge(tr.Routes)
			for _, b := range tr.Batches {
				j.Observe(Batch{At: testStart.Add(time.Duration(b.Second) * time.Second), Routes: []RouteCounts{
					{Route: b.Route, Old: b.Old.counts(), New: b.New.counts()},
				}})
			}
			outcome, route := "good", ""
			if v, bad := j.Verdict(); bad {
				outcome, route = string(v.Kind), v.Route
			}
			assert.Equal(t, outcome, tr.Outcome)
			assert.Equal(t, route, tr.Route)
		})
	}
}

// Guards against a rule of hard evidence that differs from the design page.
func TestHardEvidence(t *testing.T) {
	for _, c := range []struct {
		results string // oldest first; x is a failure, a dot a success
		old     FailureRate
		lifts   int
		want    bool
	}{
		{"xx", FailureRate{}, 0, false},
		{"xxx", FailureRate{}, 0, true},
		{".xxx", FailureRate{Requests: 100, Failures: 4}, 0, true},
		{".xxx", FailureRate{Requests: 100, Failures: 5}, 0, false},
		{"x.x.x.x.x.", FailureRate{}, 0, true},
		{"x.x.x.x...", FailureRate{}, 0, false},
		{"x.x.x...x..x", FailureRate{}, 0, false},
		{"xxxxx", FailureRate{}, 1, false},
		{"xxxxxx", FailureRate{}, 1, true},
	} {
		var r ResultWindow
		for _, x := range c.results {
			r.Add(x == 'x')
		}
		assert.Equal(t, HardEvidence(r, c.old, c.lifts), c.want, "%+v", c)
	}
}
