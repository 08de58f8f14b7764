package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// trialsAtOnce bounds the concurrent trials. A trial mostly waits; 24 of them take
// about half a core, so they do not delay one another.
const trialsAtOnce = 24

// Loss is a way to lose an engine.
type Loss string

// Ways to lose an engine.
const (
	LossKill   Loss = "engine killed"
	LossFreeze Loss = "engine frozen"
	LossCut    Loss = "connection cut"
	LossTwice  Loss = "two engines killed in a row"
)

// Losses are all ways to lose an engine, in the order of the report.
var Losses = []Loss{LossKill, LossFreeze, LossCut, LossTwice}

// Policy says what happens after an engine is lost.
type Policy string

// Policies.
const (
	PolicyResume  Policy = "resume"  // the relay's own policy
	PolicyRestart Policy = "restart" // the baseline: a new generation from the start
)

// ResumeRow holds the figures for one kind of loss and one policy.
type ResumeRow struct {
	Loss          Loss
	Policy        Policy
	Trials        int // trials whose faults all took effect; the other figures count only these
	WithoutEffect int // trials in which a fault was not applied or no attempt was lost
	Complete      int // answers that arrived complete and correct
	P50           time.Duration
	P95           time.Duration
	P99           time.Duration
	LongestGap    time.Duration
	// ExtraTokens is the number of tokens computed but not delivered, for each
	// token delivered. ExtraPrefill is the number of prompt bytes prefilled again,
	// for each prompt byte.
	ExtraTokens, ExtraPrefill float64
}

// Resume measures the time without output after a loss. It runs the given number of
// trials for each kind of loss, under the relay's policy and under the baseline,
// which starts a new generation. Trial i has the same prompt and the same time of
// the fault under each policy and each kind of loss.
func Resume(seed uint64, trials int) []ResumeRow {
	var rows []ResumeRow
	for _, loss := range Losses {
		rows = append(rows, ResumeRow{Loss: loss, Policy: PolicyResume}, ResumeRow{Loss: loss, Policy: PolicyRestart})
	}
	results := make([][]result, len(rows))
	var group errgroup.Group
	group.SetLimit(trialsAtOnce)
	for i, row := range rows {
		results[i] = make([]result, trials)
		for number := range trials {
			group.Go(func() error {
				results[i][number] = runTrial(row.Loss, row.Policy, seed, number)
				return nil
			})
		}
	}
	_ = group.Wait() // trials return no error
	for i := range rows {
		rows[i].summarise(results[i])
	}
	return rows
}

// summarise fills the figures from the trials whose faults took effect.
func (r *ResumeRow) summarise(results []result) {
	histogram := hdrhistogram.New(1, trialTimeout.Microseconds(), 3)
	var delivered, extraTokens, extraPrefill float64
	for _, one := range results {
		if !one.faulted {
			r.WithoutEffect++
			continue
		}
		r.Trials++
		if one.complete {
			r.Complete++
		}
		_ = histogram.RecordValue(min(one.gap, trialTimeout).Microseconds()) // within the bounds
		delivered += float64(one.delivered)
		extraTokens += float64(one.tokens) - float64(one.delivered)
		extraPrefill += float64(one.prefill)/promptBytes - 1
	}
	r.P50, r.P95, r.P99 = quantile(histogram, 50), quantile(histogram, 95), quantile(histogram, 99)
	r.LongestGap = time.Duration(histogram.Max()) * time.Microsecond
	r.ExtraTokens = extraTokens / max(delivered, 1)
	r.ExtraPrefill = extraPrefill / float64(max(r.Trials, 1))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
