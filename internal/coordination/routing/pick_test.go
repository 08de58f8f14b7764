package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

func equalCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		id := model.UpstreamID(fmt.Sprintf("e%d", i))
		candidates[i].Load = upstream.Load{Upstream: id, Running: 10}
	}
	return candidates
}

// Guards against many instances that all send to the one engine with the least
// reported load until its next report.
func TestEarliestFinishDoesNotHerd(t *testing.T) {
	candidates := equalCandidates(20)
	candidates[7].Load.Running = 9
	rng := rand.New(rand.NewPCG(1, 1))
	const instances = 1000
	chosen := 0
	for range instances {
		if EarliestFinish(candidates, Work{PromptBytes: 4096, Tokens: 100}, rng) == 7 {
			chosen++
		}
	}
	// Two of 20 candidates are compared, so candidate 7 is among them once in 10 times.
	assert.Assert(t, chosen > instances/20 && chosen < instances/5, "chosen %d times", chosen)
}

// Guards against a sample that leaves out the engines which have the prefix cached,
// and against a failure without candidates or with a single one.
func TestEarliestFinishComparesCachedCandidates(t *testing.T) {
	candidates := equalCandidates(20)
	candidates[3].CachedBytes = 8192
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		assert.Equal(t, EarliestFinish(candidates, Work{PromptBytes: 9000, Tokens: 100}, rng), 3)
	}
	assert.Equal(t, EarliestFinish(nil, Work{}, rng), -1)
	assert.Equal(t, EarliestFinish(candidates[:1], Work{}, rng), 0)
}
