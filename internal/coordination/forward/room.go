package forward

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/capacity"
)

// Room estimates what the service can take further, from the upstreams that are not
// suspected to have failed and the work and demand of all instances as far as it is known.
func (m *Manager) Room(service string) capacity.Room {
	now := time.Now()
	v := capacity.View{
		Own:    m.opts.Demand.Service(service, now),
		Cell:   m.opts.Demand.Cell(now)[service],
		Dither: rand.Float64(),
	}
	v.Others, v.OthersAge, v.OthersKnown = m.opts.Demand.Others(service, now)
	memory := 0
	if rules := m.opts.Rules.Index(); rules != nil {
		if s, found := rules.Service(service); found && s.Engine != nil {
			memory = s.Engine.MemoryTokens
		}
	}
	rows := m.servingUpstreams(service, now)
	totals := m.opts.Commitments.Totals(now)
	v.Upstreams = make([]capacity.Upstream, len(rows))
	for i, row := range rows {
		v.Upstreams[i] = capacity.Upstream{
			ID: row.Upstream.ID, FailureDomain: row.Upstream.FailureDomain, Slots: row.Upstream.Slots,
			MemoryTokens: memory, Work: totals[row.Upstream.ID],
		}
	}
	return capacity.Estimate(v)
}
