package demand

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// TTL is the age from which on what other instances and cells report counts as unknown.
// Both are sent once a second, so two reports may be lost.
const TTL = 3 * time.Second

// Summary is what the callers of one cell, or of several cells of one failure domain, ask.
type Summary struct {
	Domain   model.FailureDomain // of the callers' instances
	Cells    int                 // cells that it sums
	Age      time.Duration       // of the oldest of them
	Services map[string]Demand
}

// member is the demand of another instance of the cell.
type member struct {
	domain   model.FailureDomain
	services map[string]Demand
	at       time.Time
}

// cellSummary is the summary of another cell.
type cellSummary struct {
	summary Summary
	at      time.Time // at which the summary was made
}

// SetMember replaces the demand of another instance of the cell.
func (t *Table) SetMember(from model.InstanceID, domain model.FailureDomain, services map[string]Demand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[from] = member{domain, services, now}
}

// SetCell replaces the summary of another cell, which arrived from that cell. The key is
// the cell and not the instance that sent it, so that a cell does not count twice while
// another of its instances takes over.
func (t *Table) SetCell(cell string, s Summary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cells[cell] = cellSummary{s, now}
	t.cellsAt = now
}

// SetOtherCells replaces the summaries by domain that an instance of the own cell got from
// the other cells.
func (t *Table) SetOtherCells(list []Summary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handed, t.handedAt = list, now
}

// OtherCells returns the summaries of the other cells by domain. It removes old ones.
func (t *Table) OtherCells(now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.otherCells(now)
}

// otherCells returns what arrived last: the summaries that this instance got from the
// other cells itself, or those that an instance of its cell handed on. The caller holds
// mu.
func (t *Table) otherCells(now time.Time) (list []Summary) {
	if t.handedAt.After(t.cellsAt) {
		for _, s := range t.handed {
			if s.Age += now.Sub(t.handedAt); s.Age <= TTL {
				list = append(list, s)
			}
		}
		return list
	}
	byDomain := map[model.FailureDomain]*Summary{}
	for name, c := range t.cells {
		age := c.summary.Age + now.Sub(c.at)
		if age > TTL {
			delete(t.cells, name)
			continue
		}
		sum, found := byDomain[c.summary.Domain]
		if !found {
			sum = &Summary{Domain: c.summary.Domain, Services: map[string]Demand{}}
			byDomain[c.summary.Domain] = sum
		}
		sum.Cells += max(c.summary.Cells, 1)
		sum.Age = max(sum.Age, age)
		for service, s := range c.summary.Services {
			sum.Services[service] = sum.Services[service].Plus(s)
		}
	}
	for _, s := range byDomain {
		list = append(list, *s)
	}
	return list
}

// Cell returns the demand of this instance and of the other instances of its cell, by
// service. It removes old reports.
func (t *Table) Cell(now time.Time) map[string]Demand {
	local := t.Local(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if now.Sub(m.at) > TTL {
			delete(t.members, id)
			continue
		}
		for service, d := range m.services {
			local[service] = local[service].Plus(d)
		}
	}
	return local
}

// CellByDomain returns the demand for the service of this instance, which is in the domain
// self, and of the other instances of its cell, by failure domain of the instances. members
// is the number of other instances that report their demand.
func (t *Table) CellByDomain(service string, self model.FailureDomain, now time.Time) (domains map[model.FailureDomain]Demand, members int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own Demand
	if c, found := t.local[service]; found {
		own = c.demand
		own.Rate = c.rate(now)
	}
	domains = map[model.FailureDomain]Demand{self: own}
	for _, m := range t.members {
		if now.Sub(m.at) <= TTL {
			members++
			domains[m.domain] = domains[m.domain].Plus(m.services[service])
		}
	}
	return domains, members
}

// Others returns the demand of all other cells for the service and the age of the oldest
// summary in it. known is false if there is no summary.
func (t *Table) Others(service string, now time.Time) (d Demand, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.otherCells(now) {
		d = d.Plus(s.Services[service])
		age, known = max(age, s.Age), true
	}
	return d, age, known
}
