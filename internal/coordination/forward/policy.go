package forward

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Candidate is an engine as a policy sees it.
type Candidate struct {
	Load              commitment.Work // from all instances
	SameFailureDomain bool            // in this instance's failure domain
	Preferred         bool            // assigned to this instance's cell
	DomainCost        float64         // of the engine's failure domain, as locality.Choice gives it
	CachedTokens      int             // prompt tokens expected to be in the engine's cache
	Risk              float64         // fraction of the engine's streams that fail or are late
	HashFraction      float64         // pseudo-random, 0 to 1; depends on the prompt and the engine alone
}

// Policy returns the cost of an engine for a prompt of the given number of tokens.
// The stream goes to the engine of least cost among those with enough free memory.
type Policy func(c Candidate, prompt int) float64

const (
	// otherCellCost is the cost, in prompts, of an engine that is assigned to another
	// cell. This instance does not know the work that the other cell sends there.
	otherCellCost = 1.0
	// domainCost is the cost, in prompts, of a failure domain whose DomainCost is 1. It is
	// about the load that one further running stream puts on an engine: a stream stays in
	// its domain as long as that costs its caller next to nothing, and a cached prompt, a
	// load or a risk outweighs it.
	domainCost = 0.5
	// cachedTokenCredit is the credit for a prompt token that is expected to be in an
	// engine's cache, in tokens that must be read. Reading the token again would take
	// the engine's time and delay the other streams there.
	cachedTokenCredit = 4.0
	// failureRiskCost is the cost, in prompts, of an engine that is certain to fail: a
	// stream that must be placed again has lost the time in which several prompts are
	// read.
	failureRiskCost = 6.0
	// memoryTokenCost and copyTokenCost are the costs of a token in the memory of a
	// running stream and in a copy, relative to a prompt token that is queued to be
	// read first. Reading a prompt slows down the running streams.
	memoryTokenCost = 0.4
	copyTokenCost   = 0.1
	// randomSpread is the random part of an engine's cost, in prompts. Instances that
	// place streams at the same moment do not know each other's placements yet, and
	// would otherwise all choose the same engine.
	randomSpread = 0.5
)

// EarliestFinish is the default policy. It expresses costs in prompt tokens that the
// engine must read before the request can start.
func EarliestFinish(c Candidate, prompt int) float64 {
	cost := float64(c.Load.PrefillTokens) + memoryTokenCost*float64(c.Load.MemoryTokens) + copyTokenCost*float64(c.Load.CopyTokens)
	if !c.Preferred {
		cost += otherCellCost * float64(prompt)
	}
	cost += failureRiskCost * float64(prompt) * c.Risk
	cost += domainCost * float64(prompt) * c.DomainCost
	cost -= cachedTokenCredit * float64(c.CachedTokens)
	return cost + randomSpread*float64(prompt)*c.HashFraction
}

// candidate returns the engine as the policy sees it, without cache and risk.
func (m *Manager) candidate(up model.Upstream, load commitment.Work, key string) Candidate {
	return Candidate{
		Load:              load,
		SameFailureDomain: up.FailureDomain == m.opts.FailureDomain,
		Preferred:         m.opts.PrefersEngine(up.Address),
		HashFraction:      hashFraction(key, up.ID),
	}
}
