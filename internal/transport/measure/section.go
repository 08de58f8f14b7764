package measure

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing/bench"
)

// Config says what to measure.
type Config struct {
	Seed uint64 // of prompts, traces and the times of faults
	// Size scales the number of trials and the length of traces: 1 is the full
	// size, with 100 trials for each kind of loss.
	Size float64
	// Deployment is needed by the sections that measure running processes;
	// scripts/measure.sh starts one.
	Deployment Deployment
}

// scaled returns n times Size, but at least low.
func (c Config) scaled(n, low int) int { return max(int(float64(n)*c.Size), low) }

// errNeedsDeployment is returned by sections that measure running processes if none
// are configured. Run then skips the section.
var errNeedsDeployment = errors.New("needs a running deployment; use scripts/measure.sh")

// Section is one part of the report.
type Section struct {
	Name string
	Run  func(context.Context, Config) ([]Row, error)
}

// Sections are the parts of the report, in the order of printing.
var Sections = []Section{
	{"resume", resumeSection},
	{"moves", movesSection},
	{"routing", routingSection},
	{"upstream", upstreamSection},
	{"generation", generationSection},
	{"document", documentSection},
	{"log", logSection},
	{"evidence", evidenceSection},
	{"process", processSection},
	{"relay", relaySection},
}

// Run runs the named sections, or all of them if no name is given. A section that
// needs a deployment without one in the configuration gets a row that says so.
func Run(ctx context.Context, c Config, only []string) ([]Row, error) {
	for _, name := range only {
		if !slices.ContainsFunc(Sections, func(s Section) bool { return s.Name == name }) {
			return nil, fmt.Errorf("section %q does not exist", name)
		}
	}
	var rows []Row
	for _, s := range Sections {
		if len(only) > 0 && !slices.Contains(only, s.Name) {
			continue
		}
		got, err := s.Run(ctx, c)
		switch {
		case errors.Is(err, errNeedsDeployment):
			got = []Row{{Section: s.Name, Figure: "not run: " + err.Error()}}
		case err != nil:
			return rows, fmt.Errorf("section %s: %w", s.Name, err)
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

func resumeSection(_ context.Context, c Config) ([]Row, error) {
	var rows []Row
	pause := watchPauses()
	measured := Resume(c.Seed, c.scaled(100, 4))
	longest := pause()
	for i := 0; i < len(measured); i += 2 {
		ours, base := measured[i], measured[i+1]
		add := func(figure, unit, value, baseline string) {
			rows = append(rows, Row{
				Section: "resume", Case: string(ours.Loss), Figure: figure, Unit: unit, Value: value, Baseline: baseline,
			})
		}
		add("gap p50", "ms", formatMillis(ours.P50), formatMillis(base.P50))
		add("gap p95", "ms", formatMillis(ours.P95), formatMillis(base.P95))
		add("gap p99", "ms", formatMillis(ours.P99), formatMillis(base.P99))
		add("longest gap", "ms", formatMillis(ours.LongestGap), formatMillis(base.LongestGap))
		add("whole answers", "of trials", formatTrials(ours), formatTrials(base))
		add("trials without effect", "trials", fmt.Sprint(ours.WithoutEffect), fmt.Sprint(base.WithoutEffect))
		add("extra tokens", "each token", formatNumber(ours.ExtraTokens), formatNumber(base.ExtraTokens))
		add("extra prefill", "each prompt byte", formatNumber(ours.ExtraPrefill), formatNumber(base.ExtraPrefill))
	}
	return append(rows, Row{Section: "resume", Case: "this process", Figure: "longest pause", Unit: "ms", Value: formatMillis(longest)}), nil
}

func formatTrials(r ResumeRow) string { return fmt.Sprintf("%d/%d", r.Complete, r.Trials) }

func routingSection(_ context.Context, c Config) ([]Row, error) {
	const fullTrace = 5 * time.Minute
	duration := max(time.Duration(c.Size*float64(fullTrace)), 10*time.Second)
	var rows []Row
	measured := bench.Run(c.Seed, duration)
	for i := 0; i < len(measured); i += len(bench.Policies) {
		ours, base := measured[i], measured[i+1]
		add := func(figure, unit, value, baseline string) {
			rows = append(rows, Row{
				Section: "routing", Case: ours.Trace, Figure: figure, Unit: unit, Value: value, Baseline: baseline,
			})
		}
		add("first token mean", "ms", formatMillis(ours.FirstMean), formatMillis(base.FirstMean))
		add("first token p95", "ms", formatMillis(ours.FirstP95), formatMillis(base.FirstP95))
		add("finish mean", "ms", formatMillis(ours.FinishMean), formatMillis(base.FinishMean))
		add("finish p95", "ms", formatMillis(ours.FinishP95), formatMillis(base.FinishP95))
		add("prompt found cached", "part", formatNumber(ours.CachedShare), formatNumber(base.CachedShare))
		add("worst load", "of mean", formatNumber(ours.WorstLoad), formatNumber(base.WorstLoad))
	}
	return rows, nil
}
