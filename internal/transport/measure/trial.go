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

// Sizes and times of a resume trial.
const (
	resumeEngines = 6
	resumeTokens  = 300
	promptBytes   = 8 << 10
	firstFault    = 20 // tokens received before the earliest fault
	trialTimeout  = time.Minute
)

// result is what one trial measured.
type result struct {
	faulted   bool // every fault was applied to a running attempt, and each ended one
	complete  bool
	gap       time.Duration // longest time between new tokens after the first fault
	delivered int           // tokens
	tokens    int64         // computed by all engines
	prefill   int64         // prompt bytes computed by all engines
}

// trial is one generation whose engine is lost.
type trial struct {
	fleet          *fleet
	loss           Loss
	prompt         string
	faultAt        int // tokens received before the first fault
	received       []string
	lastToken      time.Time
	gap            time.Duration
	faultedEngines map[int]bool // engines that a fault was applied to
	faults         sync.WaitGroup
	lostAttempts   int // attempts that ended without the end of the answer
	submitted      int // generations submitted, more than one after restarts
	ended          bool
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
		t.streamGeneration(ctx)
	}
	t.faults.Wait()
	tokens, prefill := t.fleet.computedWork()
	return result{
		faulted:   len(t.faultedEngines) == t.faultCount() && t.lostAttempts >= t.faultCount(),
		complete:  t.complete(),
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
		fleet:          newFleet(resumeEngines, opts, decide),
		loss:           loss,
		prompt:         strings.Repeat(fmt.Sprintf("%08d", number), promptBytes/8),
		faultAt:        firstFault + rng.IntN(resumeTokens/2),
		faultedEngines: map[int]bool{},
	}
}

// faultCount returns the number of faults of the trial.
func (t *trial) faultCount() int {
	if t.loss == LossTwice {
		return 2
	}
	return 1
}

// streamGeneration submits one generation and reads it to its end. Under the
// baseline a trial submits another one after a loss, and skips the tokens that it
// has received already.
func (t *trial) streamGeneration(ctx context.Context) {
	id := model.RequestID(fmt.Sprintf("r%d", t.submitted))
	t.submitted++
	t.fleet.relay.Submit(model.GenerationSpec{
		Request:  id,
		Model:    modelName,
		Prompt:   t.prompt,
		Sampling: model.Sampling{MaxTokens: resumeTokens},
	})
	cursor := t.fleet.generations.NewCursor(id, 0)
	for position := 0; ; {
		batch, err := cursor.Next(ctx)
		if err != nil {
			return
		}
		for _, token := range batch.Tokens {
			if position++; position > len(t.received) {
				t.receive(token)
			}
		}
		if batch.End != nil {
			t.endGeneration(id, batch.End.Refusal == nil)
			return
		}
		t.applyNextFault(id, position)
	}
}

// endGeneration counts the attempts that the generation lost.
func (t *trial) endGeneration(id model.RequestID, complete bool) {
	t.ended = complete
	if r, ok := t.fleet.generations.Get(id); ok {
		t.lostAttempts += r.Resumes
	}
}

// receive adds one new token. Gaps before the first fault do not count.
func (t *trial) receive(token string) {
	now := time.Now()
	if len(t.faultedEngines) > 0 {
		t.gap = max(t.gap, now.Sub(t.lastToken))
	}
	t.lastToken = now
	t.received = append(t.received, token)
}

// applyNextFault applies the next fault once it is due. The second fault is due when
// the next engine has delivered a token. Tokens that the first engine sent before
// its death do not count.
func (t *trial) applyNextFault(id model.RequestID, position int) {
	if len(t.faultedEngines) == t.faultCount() || position < t.faultAt+len(t.faultedEngines) {
		return
	}
	i, first := t.fleet.runningEngine(id)
	if i < 0 || t.faultedEngines[i] || position <= first {
		return
	}
	t.faultedEngines[i] = true
	// Cutting connections waits until they are closed, which must not hold up
	// the reader whose gap is measured.
	t.faults.Go(func() { t.applyFault(i) })
}

func (t *trial) applyFault(i int) {
	switch t.loss {
	case LossFreeze:
		t.fleet.engines[i].SetFaults(standin.Faults{Freeze: true})
	case LossCut:
		t.fleet.servers[i].CloseClientConnections()
	default:
		t.fleet.engines[i].Kill()
	}
}

// complete reports whether the received tokens are the complete and correct answer.
func (t *trial) complete() bool {
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
