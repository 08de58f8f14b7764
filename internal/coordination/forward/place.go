package forward

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/outlier"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// otherDomainCost is the cost of an upstream in another failure domain while the
	// shares of work that leave are not known, as a fraction of its slots: a call accepts
	// that much more load to stay in its domain.
	otherDomainCost = 0.2
	// tieBreakCost is the random part of a call's cost, as a fraction of the slots.
	tieBreakCost = 1e-3
	// nonRepeatableRiskCost and repeatableRiskCost are the costs of a call that is
	// certain to fail, as multiples of an upstream's slots. A call that may be repeated
	// loses little by a failure, so such calls test whether an upstream has recovered.
	nonRepeatableRiskCost = 4.0
	repeatableRiskCost    = 1.0
	// defaultSlots is assumed for upstreams that do not report their slots.
	defaultSlots = 1
	// assumedPrefillRate is the speed at which an engine is assumed to read prompts.
	assumedPrefillRate = 5000.0 // tokens/s
)

// usableUpstreams returns the upstreams that may take the request. Upstreams that
// are suspected to have failed are returned only if there are no others.
func (m *Manager) usableUpstreams(r *activeRequest, now time.Time) []upstream.Row {
	ready, suspected := m.eligibleUpstreams(r, now)
	if len(ready) == 0 {
		return suspected
	}
	return ready
}

// eligibleUpstreams returns the upstreams that may take the request, split by whether
// they are suspected to have failed.
func (m *Manager) eligibleUpstreams(r *activeRequest, now time.Time) (ready, suspected []upstream.Row) {
	rows := m.opts.Upstreams.Serving(r.service.Name)
	return splitByFailure(m.filterByVersion(r, rows, now), m.outagesOf(r.service.Name, now), r.tried, now)
}

// splitByFailure returns the upstreams that are neither tried, leaving, down nor paused,
// split by whether they are suspected to have failed.
func splitByFailure(rows []upstream.Row, lost outages, tried map[model.UpstreamID]bool, now time.Time) (ready, suspected []upstream.Row) {
	for _, row := range rows {
		switch {
		case isUnavailable(row, tried), !row.WantsRequests(now):
		case lost.mayBeLost(row, now):
			suspected = append(suspected, row)
		default:
			ready = append(ready, row)
		}
	}
	return ready, suspected
}

// allLeave reports whether no upstream that the request may go to takes new work again:
// none is known, or all of them leave. An upstream whose entry lapsed while it had work
// counts as leaving until the entry is back.
func (m *Manager) allLeave(r *activeRequest, now time.Time) bool {
	rows := m.filterByVersion(r, m.opts.Upstreams.Serving(r.service.Name), now)
	return !slices.ContainsFunc(rows, func(row upstream.Row) bool { return row.Report.Health != upstream.HealthLeaving })
}

// mayHaveFailed reports whether the upstream is suspected to have failed and has
// shown no sign of recovery.
func (m *Manager) mayHaveFailed(row upstream.Row, now time.Time) bool {
	return m.outagesOf(row.Upstream.Serves, now).mayBeLost(row, now)
}

// pickCallUpstream returns the upstream with the least cost for a call.
func (m *Manager) pickCallUpstream(r *activeRequest) (model.Upstream, bool) {
	now := time.Now()
	totals := m.opts.Commitments.Totals(now)
	outcomes := m.opts.Outcomes.Totals(now)
	riskCost := nonRepeatableRiskCost
	if r.route.Repeat == model.RepeatAny {
		riskCost = repeatableRiskCost
	}
	rows := m.usableUpstreams(r, now)
	domains := m.domainCosts(r, otherDomainCost)
	best, bestCost := model.Upstream{}, 0.0
	for _, row := range rows {
		up := row.Upstream
		cost := float64(totals[up.ID].Requests) / float64(max(up.Slots, defaultSlots))
		cost += riskCost * outlier.Risk(outcomes[up.ID])
		cost += domains.of(up.FailureDomain)
		cost += tieBreakCost * hashFraction(string(r.req.ID), up.ID)
		if best.ID == "" || cost < bestCost {
			best, bestCost = up, cost
		}
	}
	m.countLeft(r, best, domains)
	return best, best.ID != ""
}

// hashFraction returns a number from 0 to 1 that depends on the key and the upstream
// alone, so that choices are repeatable and different keys spread over the upstreams.
func hashFraction(key string, id model.UpstreamID) float64 {
	var buffer [96]byte // holds most keys and IDs without an allocation
	text := append(append(append(buffer[:0], key...), 0), id...)
	return float64(xxhash.Sum64(text)) / math.MaxUint64
}

// streamDemand is the work and the memory that a stream needs from an engine.
type streamDemand struct {
	prefillTokens int // prompt tokens that must be read
	memoryTokens  int // tokens held in memory until the stream ends
}

// pickEngine returns the engine of least cost among those with enough free memory,
// or among all engines if none has enough. The engine that read the same prompt
// before is preferred, because it may still have the prompt in its cache.
func (m *Manager) pickEngine(r *activeRequest, demand streamDemand) (engineChoice, bool) {
	now := time.Now()
	totals := m.opts.Commitments.Totals(now)
	key := affinityKey(r.req)
	located, _ := m.opts.Locations.Get(key, now)
	outcomes := m.opts.Outcomes.Totals(now)
	rows := m.usableUpstreams(r, now)
	domains := m.domainCosts(r, 0)
	best, bestCost, bestFits := model.Upstream{}, 0.0, false
	for _, row := range rows {
		up := row.Upstream
		load := totals[up.ID]
		c := m.candidate(up, load, key)
		c.Risk = outlier.Risk(outcomes[up.ID])
		c.DomainCost = domains.of(up.FailureDomain)
		if up.ID == located {
			c.CachedTokens = demand.prefillTokens
		}
		cost := m.opts.Policy(c, r.req.Work.PromptTokens)
		fits := fitsMemory(r.service.Engine, load, demand.memoryTokens)
		if best.ID == "" || (fits && !bestFits) || (fits == bestFits && cost < bestCost) {
			best, bestCost, bestFits = up, cost, fits
		}
	}
	m.countLeft(r, best, domains)
	return engineChoice{best, totals[best.ID], best.ID == located, len(rows)}, best.ID != ""
}

// engineChoice is the engine that a stream goes to.
type engineChoice struct {
	engine       model.Upstream
	load         commitment.Work
	promptCached bool // the engine read the stream's prompt recently
	engineCount  int  // engines that the choice was made from
}

// fitsMemory reports whether the engine's memory has room for so many more tokens.
func fitsMemory(engine *model.EngineTraits, load commitment.Work, added int) bool {
	if engine == nil || engine.MemoryTokens == 0 {
		return true
	}
	return float64(load.MemoryTokens+load.CopyTokens+added) <= capacity.MemoryFillLimit*float64(engine.MemoryTokens)
}

// affinityKey returns the ID of the prompt's last part, or the request ID if the
// request does not describe its prompt.
func affinityKey(req *Request) string {
	if n := len(req.Work.Parts); n > 0 {
		return req.Work.Parts[n-1].ID
	}
	return string(req.ID)
}

// pickCopyHolder returns the engine of least cost that can hold a copy of a stream's
// memory. An engine outside the failure domain of the stream's engine is preferred.
func (m *Manager) pickCopyHolder(r *activeRequest, runner model.Upstream, demand streamDemand) (model.Upstream, bool) {
	if r.service.Engine == nil || !r.service.Engine.Copies {
		return model.Upstream{}, false
	}
	now := time.Now()
	totals := m.opts.Commitments.Totals(now)
	key := string(r.req.ID) + "/copy"
	best, bestCost := model.Upstream{}, 0.0
	ready, _ := m.eligibleUpstreams(r, now)
	for _, row := range ready {
		up, load := row.Upstream, totals[row.Upstream.ID]
		if up.ID == runner.ID || !fitsMemory(r.service.Engine, load, demand.memoryTokens) {
			continue
		}
		cost := EarliestFinish(m.candidate(up, load, key), r.req.Work.PromptTokens)
		if up.FailureDomain == runner.FailureDomain {
			cost += float64(r.service.Engine.MemoryTokens)
		}
		if best.ID == "" || cost < bestCost {
			best, bestCost = up, cost
		}
	}
	return best, best.ID != ""
}
