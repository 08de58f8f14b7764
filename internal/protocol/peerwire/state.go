package peerwire

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
)

// stateBody is the wire form of an exchange.State.
type stateBody struct {
	Instance    model.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Leaving     bool             `cbor:"4,keyasint,omitempty"`
	Work        []workRow        `cbor:"5,keyasint,omitempty"`
	// Failed holds the ages of connection failures in milliseconds.
	Failed   map[model.UpstreamID]uint32 `cbor:"6,keyasint,omitempty"`
	Parts    map[string]model.UpstreamID `cbor:"7,keyasint,omitempty"`
	Outcomes []outcomeRow                `cbor:"8,keyasint,omitempty"`
	Trials   []moveCountsRow             `cbor:"9,keyasint,omitempty"`
	// Left holds the incarnations of upstreams that leave.
	Left map[model.UpstreamID]uint64 `cbor:"10,keyasint,omitempty"`
	// Resends holds the saved resends by service, in units of resendUnit.
	Resends map[string]int32 `cbor:"11,keyasint,omitempty"`
	// Demand is present, and may be empty, in the states that report it.
	Demand     *[]demandRow  `cbor:"12,keyasint,omitempty"`
	OtherCells []summaryBody `cbor:"13,keyasint,omitempty"`
}

// workRow is the wire form of a commitment.Work: one instance's work on one upstream.
type workRow struct {
	_        struct{} `cbor:",toarray"`
	Upstream model.UpstreamID
	Requests uint32
	Prefill  uint32
	Memory   uint32
	Copies   uint32
}

// outcomeRow is the wire form of an outcome.Tally: the weights of one upstream's
// outcomes in units of outcomeWeightUnit.
type outcomeRow struct {
	_        struct{} `cbor:",toarray"`
	Upstream model.UpstreamID
	Ended    uint32
	Bad      uint32
}

// moveCountsRow is the wire form of a move.Row: the counts of one route during a
// version move.
type moveCountsRow struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Revision    uint64
	Route       string
	Old, New    uint64 // requests
	OldFailures uint64
	NewFailures uint64
}

// maxResends bounds the balance that a state reports, so that it fits its field.
const maxResends = 1e6

// resendUnit is the number of resends that 1 stands for in stateBody.Resends.
const resendUnit = 0.01

// outcomeWeightUnit is the weight that 1 stands for in an outcomeRow.
const outcomeWeightUnit = 0.01

// EncodeState encodes an instance's state.
func EncodeState(s exchange.State) (Message, error) {
	b := stateBody{Instance: s.Instance, Incarnation: s.Incarnation, Sequence: s.Sequence, Leaving: s.Leaving, Parts: s.Parts, Left: s.Left}
	for id, w := range s.Work {
		b.Work = append(b.Work, workRow{
			Upstream: id,
			Requests: clampCount(w.Requests),
			Prefill:  clampCount(w.PrefillTokens),
			Memory:   clampCount(w.MemoryTokens),
			Copies:   clampCount(w.CopyTokens),
		})
	}
	for id, t := range s.Outcomes {
		b.Outcomes = append(b.Outcomes, outcomeRow{Upstream: id, Ended: clampCount(int(math.Round(t.Requests / outcomeWeightUnit))), Bad: clampCount(int(math.Round(t.Bad / outcomeWeightUnit)))})
	}
	b.Trials = moveCountsRows(s.MoveCounts)
	for service, balance := range s.Resends {
		if b.Resends == nil {
			b.Resends = make(map[string]int32, len(s.Resends))
		}
		b.Resends[service] = int32(math.Round(max(min(balance, maxResends), -maxResends) / resendUnit))
	}
	for id, age := range s.Failed {
		if b.Failed == nil {
			b.Failed = make(map[model.UpstreamID]uint32, len(s.Failed))
		}
		b.Failed[id] = clampCount(int(age.Milliseconds()))
	}
	if s.Demand != nil {
		rows := demandRows(s.Demand)
		b.Demand = &rows
	}
	b.OtherCells = summaryBodies(s.OtherCells)
	body, err := encoding.Marshal(b)
	return Message{Kind: KindState, Body: body}, trace.Wrap(err)
}

// clampCount limits n to 0 and 2^31-1, so that it fits a wire field.
func clampCount(n int) uint32 { return uint32(min(max(n, 0), 1<<31-1)) }

// DecodeState decodes an instance's state.
func DecodeState(m Message) (exchange.State, error) {
	var b stateBody
	if err := decoding.Unmarshal(m.Body, &b); err != nil {
		return exchange.State{}, trace.BadParameter("state message: %v", err)
	}
	if b.Instance == "" {
		return exchange.State{}, trace.BadParameter("state message names no instance")
	}
	s := exchange.State{
		Instance:    b.Instance,
		Incarnation: b.Incarnation,
		Sequence:    b.Sequence,
		Leaving:     b.Leaving,
		Parts:       b.Parts,
		Left:        b.Left,
		Work:        make(map[model.UpstreamID]commitment.Work, len(b.Work)),
		Failed:      make(map[model.UpstreamID]time.Duration, len(b.Failed)),
		Outcomes:    make(map[model.UpstreamID]outcome.Tally, len(b.Outcomes)),
	}
	s.MoveCounts = moveRows(b.Trials)
	for service, balance := range b.Resends {
		if s.Resends == nil {
			s.Resends = make(resend.Balances, len(b.Resends))
		}
		s.Resends[service] = float64(balance) * resendUnit
	}
	for _, o := range b.Outcomes {
		s.Outcomes[o.Upstream] = outcome.Tally{Requests: float64(o.Ended) * outcomeWeightUnit, Bad: float64(o.Bad) * outcomeWeightUnit}
	}
	for id, age := range b.Failed {
		s.Failed[id] = time.Duration(age) * time.Millisecond
	}
	if b.Demand != nil {
		s.Demand = make(map[string]demand.Demand, len(*b.Demand))
		for _, r := range *b.Demand {
			s.Demand[r.Service] = r.demand()
		}
	}
	for _, c := range b.OtherCells {
		s.OtherCells = append(s.OtherCells, c.summary())
	}
	for _, r := range b.Work {
		s.Work[r.Upstream] = commitment.Work{
			Requests:      int(r.Requests),
			PrefillTokens: int(r.Prefill),
			MemoryTokens:  int(r.Memory),
			CopyTokens:    int(r.Copies),
		}
	}
	return s, nil
}

// moveCountsBody is the wire form of an exchange.MoveCounts.
type moveCountsBody struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Rows     []moveCountsRow  `cbor:"2,keyasint,omitempty"`
}

// EncodeMoveCounts encodes an instance's counts for the open version moves.
func EncodeMoveCounts(c exchange.MoveCounts) (Message, error) {
	return encodeBody(KindMoveCounts, moveCountsBody{Instance: c.Instance, Rows: moveCountsRows(c.Rows)})
}

// DecodeMoveCounts decodes an instance's counts for the open version moves.
func DecodeMoveCounts(m Message) (exchange.MoveCounts, error) {
	b, err := decodeBody[moveCountsBody](KindMoveCounts, m)
	if err != nil {
		return exchange.MoveCounts{}, err
	}
	if b.Instance == "" {
		return exchange.MoveCounts{}, trace.BadParameter("counts of version moves name no instance")
	}
	return exchange.MoveCounts{Instance: b.Instance, Rows: moveRows(b.Rows)}, nil
}

func moveCountsRows(rows []move.Row) (wire []moveCountsRow) {
	for _, r := range rows {
		wire = append(wire, moveCountsRow{
			Service: r.Service, Revision: r.Revision, Route: r.Route,
			Old: r.Old.Requests, New: r.New.Requests, OldFailures: r.Old.Failures, NewFailures: r.New.Failures,
		})
	}
	return wire
}

func moveRows(wire []moveCountsRow) (rows []move.Row) {
	for _, r := range wire {
		rows = append(rows, move.Row{
			Service: r.Service, Revision: r.Revision, Route: r.Route,
			Old: move.Counts{Requests: r.Old, Failures: r.OldFailures},
			New: move.Counts{Requests: r.New, Failures: r.NewFailures},
		})
	}
	return rows
}
