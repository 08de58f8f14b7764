package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

// Sizes of a resume trial.
const (
	resumeEngines = 6
	resumeTokens  = 300
	promptBytes   = 8 << 10
	firstFault    = 20 // tokens received before the earliest fault
	trialTimeout  = time.Minute
)

// result is what one trial measured.
type result struct {
	hurt      bool // every fault was applied to a running attempt, and each ended one
	whole     bool
	gap       time.Duration // longest time without a new token after the first fault
	delivered int           // tokens
	tokens    int64         // computed by all engines
	prefill   int64         // prompt bytes computed by all engines
}

// trial is one generation that loses its engine.
type trial struct {
	fleet    *fleet
	loss     Loss
	prompt   string
	faultAt  int // tokens received before the first fault
	received []string
	last     time.Time
	gap      time.Duration
	hit      map[int]bool // engines that a fault was applied to
	faults   sync.WaitGroup
	lost     int // attempts that ended without the end of the answer
	runs     int // generations submitted
	ended    bool
}

// runTrial runs trial number of a series. The fault's moment depends on the
// seed and the number only.
func runTrial(loss Loss, policy Policy, seed uint64, number int) result {
	return newTrial(loss, policy, seed, number).run()
}

func (t *trial) run() result {
	defer t.fleet.close()
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	for !t.ended && ctx.Err() == nil {
		t.generate(ctx)
	}
	t.faults.Wait()
	tokens, prefill := t.fleet.computed()
	return result{
		hurt:      len(t.hit) == t.wanted() && t.lost >= t.wanted(),
		whole:     t.whole(),
		gap:       t.gap,
		delivered: len(t.received),
		tokens:    tokens,
		prefill:   prefill,
	}
}

func newTrial(loss Loss, policy Policy, seed uint64, number int) *trial {
	var decide func(continuation.Situation) continuation.Action
	if policy == PolicyRestart {
		decide = func(continuation.Situation) continuation.Action { return continuation.GiveUp }
	}
	opts := standin.Options{TokenTime: 5 * time.Millisecond, PrefillRate: 200_000, Slots: 8}
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	return &trial{
		fleet:   newFleet(resumeEngines, opts, decide),
		loss:    loss,
		prompt:  strings.Repeat(fmt.Sprintf("%08d", number), promptBytes/8),
		faultAt: firstFault + rng.IntN(resumeTokens/2),
		hit:     map[int]bool{},
	}
}

// wanted is the number of faults of the trial.
func (t *trial) wanted() int {
	if t.loss == LossTwice {
		return 2
	}
	return 1
}

// generate reads one generation to its end. The baseline starts another one
// after a loss and skips what it has received already.
func (t *trial) generate(ctx context.Context) {
	id := model.RequestID(fmt.Sprintf("r%d", t.runs))
	t.runs++
	t.fleet.relay.Submit(model.GenerationSpec{
		Request:  id,
		Model:    modelName,
		Prompt:   t.prompt,
		Sampling: model.Sampling{MaxTokens: resumeTokens},
	})
	cursor := t.fleet.table.NewCursor(id, 0)
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
			t.end(id, batch.End.Refusal == nil)
			return
		}
		t.fault(id, position)
	}
}

// end counts the attempts that the generation lost.
func (t *trial) end(id model.RequestID, whole bool) {
	t.ended = whole
	if r, ok := t.fleet.table.Get(id); ok {
		t.lost += r.Resumes
	}
}

// take adds one new token. Gaps before the first fault do not count.
func (t *trial) take(token string) {
	now := time.Now()
	if len(t.hit) > 0 {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
	t.received = append(t.received, token)
}

// fault applies the next fault once it is due. The second one hits the next
// engine as soon as that one has brought a token; tokens that the first engine
// sent before its death do not bring it forward.
func (t *trial) fault(id model.RequestID, position int) {
	if len(t.hit) == t.wanted() || position < t.faultAt+len(t.hit) {
		return
	}
	i, first := t.fleet.current(id)
	if i < 0 || t.hit[i] || position <= first {
		return
	}
	t.hit[i] = true
	// Cutting connections waits until they are closed, which must not hold up
	// the reader whose gap is measured.
	t.faults.Go(func() { t.apply(i) })
}

func (t *trial) apply(i int) {
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
