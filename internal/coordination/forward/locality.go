package forward

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/locality"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	localityKey worker.Key = "forward/locality"
	// localityInterval is the time between two plans. The summaries of other cells arrive
	// once a second.
	localityInterval = time.Second
	// localityTTL is the time after which a plan no longer counts, so that plans which are
	// no longer made do not go on to send work out.
	localityTTL = 3 * time.Second
	// loggedShareStep is the change of a share from which on it is logged.
	loggedShareStep = 0.1
)

// localityPlans holds the shares of work that leaves the failure domain, by service.
type localityPlans struct {
	current atomic.Pointer[map[string]locality.Shares]
	// logged holds the shares that were logged last. Only items under localityKey access
	// it.
	logged map[string]locality.Shares
}

// StartLocality begins to plan which work leaves the failure domain, if there is more than
// one.
func (m *Manager) StartLocality() {
	if m.opts.FailureDomains < 2 {
		return
	}
	m.opts.Pool.Post(localityKey, worker.Func(m.replanLocality))
}

func (m *Manager) replanLocality() {
	m.planLocality(time.Now())
	m.opts.Pool.After(localityInterval, localityKey, worker.Func(m.replanLocality))
}

// planLocality plans the shares of all services.
func (m *Manager) planLocality(now time.Time) {
	current := m.opts.Rules.Current()
	if current == nil {
		return
	}
	totals := m.opts.Commitments.Totals(now)
	plans := make(map[string]locality.Shares, len(current.Services))
	for _, service := range current.Services {
		previous := m.shares(service.Name, now)
		plan := locality.Plan(m.localityView(service, totals, now), previous, now)
		plans[service.Name] = plan
		m.reportShares(service.Name, plan)
	}
	m.localities.current.Store(&plans)
}

// shares returns the shares of the service. They are not active if none are known.
func (m *Manager) shares(service string, now time.Time) locality.Shares {
	plans := m.localities.current.Load()
	if plans == nil {
		return locality.Shares{}
	}
	s := (*plans)[service]
	if now.Sub(s.At) > localityTTL {
		return locality.Shares{}
	}
	return s
}

// localityView returns what is known of the service in all failure domains.
func (m *Manager) localityView(service model.BackendService, totals map[model.UpstreamID]commitment.Work, now time.Time) locality.View {
	callers, members := m.opts.Demand.CellByDomain(service.Name, m.opts.FailureDomain, now)
	v := locality.View{Home: m.opts.FailureDomain, HomeCells: 1}
	cells := 0
	for _, s := range m.opts.Demand.OtherCells(now) {
		callers[s.Domain] = callers[s.Domain].Plus(s.Services[service.Name])
		v.Age = max(v.Age, s.Age)
		cells += s.Cells
		if s.Domain == v.Home {
			v.HomeCells += s.Cells
		}
	}
	places, known := m.placesByDomain(service, totals, callers, now)
	// Without the report of an instance or a cell, its domain would look idle.
	v.Known = known && members >= m.opts.CellMembers() && cells >= m.opts.OtherCells()
	for domain := range callers {
		places[domain] += 0
	}
	for domain, n := range places {
		v.Domains = append(v.Domains, locality.Domain{Name: domain, Places: n, Demand: callers[domain]})
	}
	return v
}

// placesByDomain returns the requests that the usable upstreams of the service run at once,
// by failure domain. known is false if that is not known of one of them.
func (m *Manager) placesByDomain(service model.BackendService, totals map[model.UpstreamID]commitment.Work, callers map[model.FailureDomain]demand.Demand, now time.Time) (places map[model.FailureDomain]float64, known bool) {
	var all demand.Demand
	for _, d := range callers {
		all = all.Plus(d)
	}
	rows := m.opts.Upstreams.Serving(service.Name)
	ready, _ := splitByFailure(rows, m.outagesOf(service.Name, now), nil, now)
	perRequest := memoryPerRequest(rows, totals)
	places = map[model.FailureDomain]float64{}
	for _, row := range ready {
		n := float64(row.Upstream.Slots)
		hold := callers[row.Upstream.FailureDomain].HoldTime
		if hold == 0 {
			hold = all.HoldTime
		}
		for _, limit := range enginePlaces(service.Engine, perRequest, hold) {
			if limit > 0 && (n == 0 || limit < n) {
				n = limit
			}
		}
		if n == 0 {
			return places, false
		}
		places[row.Upstream.FailureDomain] += n
	}
	return places, true
}

// enginePlaces returns the streams that fit the memory of an engine, and those that run at
// once if the engine reads prompts all the time. Zero means that a limit is not known.
func enginePlaces(engine *model.EngineTraits, perRequest float64, hold time.Duration) [2]float64 {
	if engine == nil || perRequest <= 0 {
		return [2]float64{}
	}
	return [2]float64{
		capacity.MemoryFillLimit * float64(engine.MemoryTokens) / perRequest,
		assumedPrefillRate / perRequest * hold.Seconds(),
	}
}

// memoryPerRequest returns the mean memory that a running request needs, and zero if none
// is known.
func memoryPerRequest(rows []upstream.Row, totals map[model.UpstreamID]commitment.Work) float64 {
	var requests, tokens int
	for _, row := range rows {
		work := totals[row.Upstream.ID]
		requests += work.Requests
		tokens += work.MemoryTokens
	}
	if requests == 0 {
		return 0
	}
	return float64(tokens) / float64(requests)
}

// reportShares records the shares, and logs those that changed much.
func (m *Manager) reportShares(service string, plan locality.Shares) {
	for _, target := range plan.Targets {
		m.metrics.recordDomainShare(service, target.Domain, target.Share)
	}
	if m.localities.logged == nil {
		m.localities.logged = map[string]locality.Shares{}
	}
	before := m.localities.logged[service]
	if !sharesDiffer(before, plan) {
		return
	}
	m.localities.logged[service] = plan
	fields := log.Fields{"service": service, "reason": string(plan.Reason), "home_load": plan.HomeLoad, "share": plan.Out(), "share_before": before.Out()}
	for _, target := range plan.Targets {
		if target.Share > 0 {
			fields["to_"+string(target.Domain)] = target.Share
		}
	}
	m.opts.Log.WithFields(fields).Info("share of work that leaves the failure domain changed")
}

// sharesDiffer reports whether the shares differ enough to be logged.
func sharesDiffer(a, b locality.Shares) bool {
	if (a.Out() == 0) != (b.Out() == 0) {
		return true
	}
	shares := map[model.FailureDomain]float64{}
	for _, target := range a.Targets {
		shares[target.Domain] = target.Share
	}
	for _, target := range b.Targets {
		if diff := target.Share - shares[target.Domain]; diff > loggedShareStep || diff < -loggedShareStep {
			return true
		}
	}
	return false
}

// domainCosts are the costs of the failure domains for one request.
type domainCosts struct {
	home     model.FailureDomain
	active   bool // choice counts, and otherwise inactive
	choice   locality.Choice
	inactive float64 // cost of another domain while no shares are known
	reason   locality.Reason
}

// domainCosts returns the costs for the request.
func (m *Manager) domainCosts(r *activeRequest, inactive float64) domainCosts {
	c := domainCosts{home: m.opts.FailureDomain, inactive: inactive}
	shares := m.shares(r.service.Name, time.Now())
	if !shares.Active {
		return c
	}
	c.active, c.reason = true, shares.Reason
	c.choice = shares.Choose(hashFraction(string(r.req.ID), "locality"))
	return c
}

// of returns the cost of a domain. 1 is an upstream that is busy in all of its places.
func (c domainCosts) of(domain model.FailureDomain) float64 {
	switch {
	case c.active:
		return c.choice.Cost(domain)
	case domain != c.home:
		return c.inactive
	default:
		return 0
	}
}

// countLeft counts a placement in another failure domain.
func (m *Manager) countLeft(r *activeRequest, up model.Upstream, c domainCosts) {
	if up.ID == "" || up.FailureDomain == m.opts.FailureDomain {
		return
	}
	reason := "cheaper"
	if c.active && c.choice.Domain() == up.FailureDomain {
		reason = string(c.reason)
	}
	m.metrics.countLeftDomain(r.service.Name, up.FailureDomain, reason)
}
