// Package bench compares the policy of package rollout with a baseline that raises
// the share at fixed times without looking at evidence. It runs on simulated traffic
// with fixed seeds.
//
// It simulates requests only, not processes: a stop reaches all instances after one
// second, and pooled evidence reaches the holder after two seconds.
package bench

import (
	"math/rand/v2"
	"time"
)

// Policy selects how a move is run.
type Policy string

// Policies.
const (
	Judged Policy = "judged" // rollout.Decide, as the holder of a move runs it
	Timed  Policy = "timed"  // baseline: steps of equal duration, without evidence
)

// Summary summarises the simulated moves of one kind under one policy.
type Summary struct {
	Kind           string
	Good           bool // the target is not worse than the previous version
	Policy         Policy
	Moves          int
	HighestShare   float64       // mean over the moves
	SentAfterFault float64       // mean requests to the target after the fault showed
	TimeToTakeBack time.Duration // mean over the moves that were taken back
	TakenBack      float64       // fraction of the moves
	OnTime         float64       // fraction of the moves that finished by finish_by
}

// result is the outcome of one move.
type result struct {
	highestShare   float64
	sentAfterFault int
	takenBack      bool
	timeToTakeBack time.Duration
	onTime         bool
}

// Run simulates the given number of moves of each kind under both policies.
func Run(seed int64, moves int) []Summary {
	var rows []Summary
	for i, k := range scenarios() {
		for _, p := range []Policy{Judged, Timed} {
			results := make([]result, moves)
			for n := range results {
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(i)<<32|uint64(n)))
				results[n] = newSimulation(k, rng).run(p)
			}
			rows = append(rows, summary(k, p, results))
		}
	}
	return rows
}

func summary(k scenario, p Policy, results []result) Summary {
	row := Summary{Kind: k.name, Good: k.good(), Policy: p, Moves: len(results)}
	n := float64(len(results))
	takenBack := 0
	for _, r := range results {
		row.HighestShare += r.highestShare / n
		row.SentAfterFault += float64(r.sentAfterFault) / n
		if r.onTime {
			row.OnTime += 1 / n
		}
		if r.takenBack {
			takenBack++
			row.TimeToTakeBack += r.timeToTakeBack
		}
	}
	if takenBack > 0 {
		row.TimeToTakeBack /= time.Duration(takenBack)
	}
	row.TakenBack = float64(takenBack) / n
	return row
}
