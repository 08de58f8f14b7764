package peerwire

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// rateUnit and holdUnit are what 1 stands for in a demandRow.
	rateUnit = 0.1
	holdUnit = 100 * time.Microsecond
	// maxRate bounds the arrivals/s that a row reports, so that they fit its field.
	maxRate = 1e8
	// A state and a cell's demand are datagrams of about 1200 bytes. Rows beyond these
	// bytes are left out, those of the services with the least demand first; an instance
	// that lacks a row takes the service for less busy than it is.
	maxDemandBytes  = 240
	maxSummaryBytes = 640
	// numberBytes bounds the bytes of an encoded number, and headerBytes those of the
	// header of a text or a list.
	numberBytes = 5
	headerBytes = 3
)

// demandRow is the wire form of a demand.Demand: what callers ask of one service.
type demandRow struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	InFlight uint32
	Waiting  uint32
	Memory   uint32
	Rate     uint32
	Hold     uint32
}

// summaryBody is the wire form of a demand.Summary.
type summaryBody struct {
	Domain   model.FailureDomain `cbor:"1,keyasint"`
	Cells    uint32              `cbor:"2,keyasint,omitempty"`
	Age      uint32              `cbor:"3,keyasint,omitempty"` // milliseconds
	Services []demandRow         `cbor:"4,keyasint,omitempty"`
}

// cellDemandBody is the wire form of an exchange.CellDemand.
type cellDemandBody struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Cell     string           `cbor:"2,keyasint,omitempty"`
	Summary  summaryBody      `cbor:"3,keyasint"`
}

// EncodeCellDemand encodes the summary of a cell.
func EncodeCellDemand(c exchange.CellDemand) (Message, error) {
	return encodeBody(KindCellDemand, cellDemandBody{Instance: c.Instance, Cell: c.Cell, Summary: summaryBodies([]demand.Summary{c.Summary})[0]})
}

// DecodeCellDemand decodes the summary of a cell.
func DecodeCellDemand(m Message) (exchange.CellDemand, error) {
	b, err := decodeBody[cellDemandBody](KindCellDemand, m)
	if err != nil {
		return exchange.CellDemand{}, err
	}
	if b.Instance == "" || b.Cell == "" {
		return exchange.CellDemand{}, trace.BadParameter("demand of a cell names no instance or no cell")
	}
	return exchange.CellDemand{Instance: b.Instance, Cell: b.Cell, Summary: b.Summary.summary()}, nil
}

// demandRows returns the rows of an instance's own demand.
func demandRows(services map[string]demand.Demand) []demandRow {
	rows := make([]demandRow, 0, len(services))
	for service, d := range services {
		rows = append(rows, newDemandRow(service, d))
	}
	sortRows(rows)
	kept, bytes := 0, 0
	for kept < len(rows) {
		if bytes += rows[kept].size(); bytes > maxDemandBytes {
			break
		}
		kept++
	}
	return rows[:kept]
}

// summaryBodies returns the wire form of summaries. The room is divided among the rows of
// all of them, so that no domain is left out for another one.
func summaryBodies(list []demand.Summary) (bodies []summaryBody) {
	type position struct {
		body int
		row  demandRow
	}
	var rows []position
	bytes := 0
	for i, s := range list {
		bodies = append(bodies, summaryBody{Domain: s.Domain, Cells: clampCount(s.Cells), Age: clampCount(int(s.Age.Milliseconds()))})
		bytes += len(s.Domain) + 2*headerBytes + 2*numberBytes
		for service, d := range s.Services {
			rows = append(rows, position{i, newDemandRow(service, d)})
		}
	}
	slices.SortFunc(rows, func(a, b position) int {
		return cmp.Or(compareRows(a.row, b.row), cmp.Compare(a.body, b.body))
	})
	for _, r := range rows {
		if bytes += r.row.size(); bytes > maxSummaryBytes {
			break
		}
		bodies[r.body].Services = append(bodies[r.body].Services, r.row)
	}
	return bodies
}

func newDemandRow(service string, d demand.Demand) demandRow {
	return demandRow{
		Service:  service,
		InFlight: clampCount(d.InFlight),
		Waiting:  clampCount(d.Waiting),
		Memory:   clampCount(d.MemoryTokens),
		Rate:     clampCount(int(math.Round(min(d.Rate, maxRate) / rateUnit))),
		Hold:     clampCount(int(d.HoldTime / holdUnit)),
	}
}

// sortRows sorts rows by falling demand.
func sortRows(rows []demandRow) { slices.SortFunc(rows, compareRows) }

func compareRows(a, b demandRow) int {
	weight := func(r demandRow) uint64 { return uint64(r.InFlight) + uint64(r.Waiting) + uint64(r.Rate) }
	return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Service, b.Service))
}

// size returns a bound of the row's encoded bytes.
func (r demandRow) size() int {
	size := 2*headerBytes + len(r.Service)
	for _, n := range []uint32{r.InFlight, r.Waiting, r.Memory, r.Rate, r.Hold} {
		size += numberSize(n)
	}
	return size
}

// numberSize returns a bound of the bytes of an encoded number.
func numberSize(n uint32) int {
	if n <= math.MaxUint16 {
		return 3
	}
	return numberBytes
}

func (r demandRow) demand() demand.Demand {
	return demand.Demand{
		InFlight:     int(r.InFlight),
		Waiting:      int(r.Waiting),
		MemoryTokens: int(r.Memory),
		Rate:         float64(r.Rate) * rateUnit,
		HoldTime:     time.Duration(r.Hold) * holdUnit,
	}
}

func (b summaryBody) summary() demand.Summary {
	s := demand.Summary{
		Domain:   b.Domain,
		Cells:    int(b.Cells),
		Age:      time.Duration(b.Age) * time.Millisecond,
		Services: make(map[string]demand.Demand, len(b.Services)),
	}
	for _, r := range b.Services {
		s.Services[r.Service] = r.demand()
	}
	return s
}
