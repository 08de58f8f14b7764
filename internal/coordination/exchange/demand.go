package exchange

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// isFirst reports whether this instance is the first live member of its cell.
func (m *Manager) isFirst() bool {
	for _, in := range m.opts.Members() {
		if in.State == model.InstanceLive {
			return in.ID == m.opts.Self.ID
		}
	}
	return false
}

// heartbeatDemand returns the demand that a heartbeat has: this instance's own, and at the
// first member of the cell that of the other cells.
func (m *Manager) heartbeatDemand(now time.Time) (map[string]demand.Demand, []demand.Summary) {
	own := m.opts.Demand.Local(now)
	if !m.isFirst() {
		return own, nil
	}
	return own, m.opts.Demand.OtherCells(now)
}

const (
	// cellDemandInterval is the time between two summaries to another cell. With more than
	// manyCells other cells it is manyCellsInterval, so that the first member of a cell
	// keeps to its bytes/s at 640 instances. Both leave time for an instance to hand the
	// summaries on before they are older than demand.TTL.
	cellDemandInterval = time.Second
	manyCells          = 24
	manyCellsInterval  = 1500 * time.Millisecond
)

// reportCellDemand sends the demand of the cell and schedules the next time.
func (m *Manager) reportCellDemand() {
	firsts := m.reachable(m.opts.OtherFirsts())
	m.sendCellDemand(firsts, time.Now())
	interval := cellDemandInterval
	if len(firsts) > manyCells {
		interval = manyCellsInterval
	}
	m.opts.Pool.After(interval, key, worker.Func(m.reportCellDemand))
}

// sendCellDemand sends the demand of the cell to the first members of the other cells, if
// this instance is the first one of its cell. Messages among all instances would need a
// connection between each two.
func (m *Manager) sendCellDemand(firsts []model.Instance, now time.Time) {
	if len(firsts) == 0 || !m.isFirst() {
		return
	}
	m.opts.Link.SendCellDemand(firsts, CellDemand{
		Instance: m.opts.Self.ID,
		Cell:     m.opts.CellName(),
		Summary: demand.Summary{
			Domain:   m.opts.Self.FailureDomain,
			Cells:    1,
			Services: m.cellServices(now),
		},
	})
}

// cellServices returns the demand of the cell by service. What is in flight comes from the
// commitments, in which work at upstreams that are gone no longer counts.
func (m *Manager) cellServices(now time.Time) map[string]demand.Demand {
	services := map[string]demand.Demand{}
	for service, d := range m.opts.Demand.Cell(now) {
		d.InFlight, d.MemoryTokens = 0, 0
		services[service] = d
	}
	for id, work := range m.opts.Commitments.Totals(now) {
		row, known := m.opts.Upstreams.Get(id)
		if !known {
			continue
		}
		d := services[row.Upstream.Serves]
		d.InFlight += work.Requests
		d.MemoryTokens += work.MemoryTokens + work.CopyTokens
		services[row.Upstream.Serves] = d
	}
	return services
}

// ReceiveCellDemand applies the summary of another cell.
func (m *Manager) ReceiveCellDemand(c CellDemand) {
	m.opts.Pool.Post(key, worker.Func(func() {
		if m.hasOtherCells() && c.Cell != m.opts.CellName() {
			m.opts.Demand.SetCell(c.Cell, c.Summary, time.Now())
		}
	}))
}

// hasOtherCells reports whether the deployment has several cells, as far as this instance
// knows. Where it has one, an instance whose list of instances is ahead may send summaries of
// instances that this one counts as members of its own cell.
func (m *Manager) hasOtherCells() bool { return m.opts.CellName() != "" }

// receiveDemand applies the demand in the state of an instance of the cell. A state from
// an instance of an older build has none.
func (m *Manager) receiveDemand(s State, now time.Time) {
	// The demand of an instance whose failure domain is not known yet comes again with its
	// next heartbeat.
	if in, found := m.opts.Instances.Get(s.Instance); found && s.Demand != nil {
		m.opts.Demand.SetMember(s.Instance, in.FailureDomain, s.Demand, now)
	}
	if len(s.OtherCells) > 0 && m.hasOtherCells() {
		m.opts.Demand.SetOtherCells(s.OtherCells, now)
	}
}
