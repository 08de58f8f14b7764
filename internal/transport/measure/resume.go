package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// Sizes of a resume trial.
const (
	resumeEngines = 6
	resumeTokens  = 300
	promptBytes   = 8 << 10
	trialTimeout  = time.Minute
)

// Loss is a way to lose an engine.
type Loss string

// Ways to lose an engine.
const (
	LossKill   Loss = "engine killed"
	LossFreeze Loss = "engine frozen"
	LossCut    Loss = "connection cut"
	LossTwice  Loss = "two engines killed in a row"
)

// ResumeRow holds the figures for one kind of loss and one policy.
type ResumeRow struct {
	Loss          Loss
	Policy        string // "resume", or the baseline "restart"
	Trials        int
	Whole         int // answers that arrived whole and right
	P50, P95, P99 time.Duration
	// ExtraTokens is the number of tokens computed beyond those delivered, for
	// each token delivered; ExtraPrefill is the prompt bytes prefilled beyond
	// the first time, for each prompt byte.
	ExtraTokens, ExtraPrefill float64
}

// Resume measures the time without output after a loss, with trials for each
// kind of loss, for the relay's policy and for the baseline that restarts from
// the start.
func Resume(seed uint64, trials int) []ResumeRow {
	var rows []ResumeRow
	for _, loss := range []Loss{LossKill, LossFreeze, LossCut, LossTwice} {
		rows = append(rows, resumeRow(loss, "resume", seed, trials), resumeRow(loss, "restart", seed, trials))
	}
	return rows
}

func resumeRow(loss Loss, policy string, seed uint64, trials int) ResumeRow {
	row := ResumeRow{Loss: loss, Policy: policy, Trials: trials}
	histogram := hdrhistogram.New(1, trialTimeout.Microseconds(), 3)
	rng := rand.New(rand.NewPCG(seed, 1))
	var delivered, extraTokens, extraPrefill float64
	for i := range trials {
		t := newTrial(loss, policy, i, rng)
		t.run()
		_ = histogram.RecordValue(t.longestGap.Microseconds()) // bounded by trialTimeout
		tokens, prefill := t.fleet.computed()
		delivered += float64(len(t.received))
		extraTokens += float64(tokens) - float64(len(t.received))
		extraPrefill += float64(prefill)/float64(len(t.prompt)) - 1
		if t.whole() {
			row.Whole++
		}
		t.fleet.close()
	}
	row.P50, row.P95, row.P99 = quantile(histogram, 50), quantile(histogram, 95), quantile(histogram, 99)
	row.ExtraTokens = extraTokens / max(delivered, 1)
	row.ExtraPrefill = extraPrefill / float64(trials)
	return row
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// trial is one generation that loses its engine.
type trial struct {
	fleet      *fleet
	loss       Loss
	policy     string
	prompt     string
	faultAt    int // tokens received before the fault
	received   []string
	last       time.Time
	longestGap time.Duration
	restarts   int
	ended      bool
}

func newTrial(loss Loss, policy string, number int, rng *rand.Rand) *trial {
	var decide func(relay.Situation) relay.Action
	if policy == "restart" {
		decide = func(relay.Situation) relay.Action { return relay.GiveUp }
	}
	opts := standin.Options{TokenTime: 5 * time.Millisecond, PrefillRate: 200_000, Slots: 8}
	return &trial{
		fleet:   newFleet(resumeEngines, opts, decide),
		loss:    loss,
		policy:  policy,
		prompt:  strings.Repeat(fmt.Sprintf("%08d", number), promptBytes/8),
		faultAt: 20 + rng.IntN(resumeTokens/2),
	}
}

func (t *trial) run() {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	for !t.ended && ctx.Err() == nil {
		t.attempt(ctx)
	}
}

// attempt reads one generation. The baseline starts another one after a loss
// and skips what it has received already.
func (t *trial) attempt(ctx context.Context) {
	id := model.RequestID(fmt.Sprintf("r%d", t.restarts))
	t.fleet.relay.Submit(model.GenerationSpec{
		Request:  id,
		Model:    modelName,
		Prompt:   t.prompt,
		Sampling: model.Sampling{MaxTokens: resumeTokens},
	})
	cursor := t.fleet.table.Read(id, 0)
	faults := 0
	for position := 0; ; {
		batch, err := cursor.Next(ctx)
		if err != nil {
			return
		}
		for _, token := range batch.Tokens {
			if position++; position > len(t.received) {
				t.take(token)
			}
		}
		if batch.End != nil {
			t.ended = batch.End.Refusal == nil
			t.restarts++
			return
		}
		if t.due(faults, position) {
			faults++
			t.fault(id)
		}
	}
}

func (t *trial) take(token string) {
	now := time.Now()
	if len(t.received) > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.last))
	}
	t.last = now
	t.received = append(t.received, token)
}

// due reports whether the next fault is to happen now.
func (t *trial) due(faults, position int) bool {
	if t.loss == LossTwice {
		// The second engine dies right after its first token.
		return faults+t.restarts < 2 && position >= t.faultAt+faults+t.restarts
	}
	return faults+t.restarts == 0 && position >= t.faultAt
}

func (t *trial) fault(id model.RequestID) {
	i := t.fleet.engineOf(id)
	if i < 0 {
		return
	}
	switch t.loss {
	case LossFreeze:
		t.fleet.engines[i].SetFaults(standin.Faults{Freeze: true})
	case LossCut:
		t.fleet.servers[i].CloseClientConnections()
	default:
		t.fleet.engines[i].Kill()
	}
}

// whole reports whether the received tokens are the whole right answer.
func (t *trial) whole() bool {
	if len(t.received) != resumeTokens {
		return false
	}
	for i, token := range t.received {
		if token != standin.Token(version, t.prompt, 0, i) {
			return false
		}
	}
	return true
}
