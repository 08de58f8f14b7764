package peerwire

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// maxDatagramBytes is the size of a message that fits a datagram.
const maxDatagramBytes = 1200

// summary returns the summary of a busy domain with so many services. Service 0 has the
// most demand.
func summary(domain string, services int) demand.Summary {
	s := demand.Summary{Domain: model.FailureDomain(domain), Cells: 10, Age: time.Second, Services: map[string]demand.Demand{}}
	for i := range services {
		s.Services[fmt.Sprintf("service-%03d", i)] = demand.Demand{InFlight: 1e6 - i, Waiting: 70000, MemoryTokens: 1 << 30, Rate: 1e6, HoldTime: time.Hour}
	}
	return s
}

// Guards against demand that makes messages too large for a datagram: with many services
// the least busy ones must be left out, and no domain.
func TestDemandIsBounded(t *testing.T) {
	var others []demand.Summary
	for _, domain := range []string{"domain-a", "domain-b", "domain-c", "domain-d"} {
		others = append(others, summary(domain, 300))
	}
	m, err := EncodeState(exchange.State{Instance: "instance-0123456789", Incarnation: 1 << 60, Sequence: 1 << 40, Demand: others[0].Services, OtherCells: others})
	assert.NilError(t, err)
	assert.Assert(t, len(m.Body) < maxDatagramBytes-100, "state of %d bytes", len(m.Body))
	s, err := DecodeState(m)
	assert.NilError(t, err)
	assert.Equal(t, len(s.OtherCells), 4)
	for _, c := range s.OtherCells {
		_, found := c.Services["service-000"]
		assert.Assert(t, found, "%s lacks its busiest service: %v", c.Domain, c.Services)
	}
	_, found := s.Demand["service-000"]
	assert.Assert(t, found && len(s.Demand) < 20)

	m, err = EncodeCellDemand(exchange.CellDemand{Instance: "instance-0123456789", Cell: "domain-a/12", Summary: others[0]})
	assert.NilError(t, err)
	assert.Assert(t, len(m.Body) < maxDatagramBytes-100, "demand of %d bytes", len(m.Body))
	c, err := DecodeCellDemand(m)
	assert.NilError(t, err)
	assert.DeepEqual(t, c.Summary.Services["service-000"], others[0].Services["service-000"])
}

// Guards against an instance without callers whose demand is taken for that of a build that
// does not report it.
func TestEmptyDemandIsReported(t *testing.T) {
	for _, reported := range []map[string]demand.Demand{nil, {}} {
		m, err := EncodeState(exchange.State{Instance: "i", Demand: reported})
		assert.NilError(t, err)
		s, err := DecodeState(m)
		assert.NilError(t, err)
		assert.Equal(t, s.Demand == nil, reported == nil)
	}
}

// Guards against the summary of a cell that cannot be told from another one.
func TestCellDemandNamesItsCell(t *testing.T) {
	m, err := EncodeCellDemand(exchange.CellDemand{Instance: "i", Summary: summary("a", 1)})
	assert.NilError(t, err)
	_, err = DecodeCellDemand(m)
	assert.ErrorContains(t, err, "no cell")
}
