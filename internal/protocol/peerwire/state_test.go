package peerwire

import (
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"gotest.tools/v3/assert"
)

func sampleState() exchange.State {
	return exchange.State{
		Instance: "i", Incarnation: 3, Sequence: 9, Leaving: true,
		Work:       map[model.UpstreamID]commitment.Work{"u": {Requests: 1, PrefillTokens: 2, MemoryTokens: 3, CopyTokens: 4}},
		Parts:      map[string]model.UpstreamID{"5c1e07a2": "u"},
		Failed:     map[model.UpstreamID]time.Duration{"v": 250 * time.Millisecond},
		Left:       map[model.UpstreamID]uint64{"l": 7},
		MoveCounts: []move.Row{{Service: "s", Revision: 5, Route: "r", Old: move.Counts{Requests: 9, Failures: 1}, New: move.Counts{Requests: 3}}},
		Outcomes:   map[model.UpstreamID]outcome.Tally{"v": {Requests: 2.5, Bad: 0.25}},
		Resends:    resend.Balances{"s": 1.5, "t": -0.5},
		Demand:     map[string]demand.Demand{"s": {InFlight: 1, Waiting: 2, MemoryTokens: 3, Rate: 4.5, HoldTime: 30 * time.Millisecond}},
		OtherCells: []demand.Summary{{Domain: "d", Cells: 2, Age: time.Second, Services: map[string]demand.Demand{"s": {InFlight: 5}}}},
	}
}

func sampleDelta() registry.Delta {
	return registry.Delta{
		ReaderIncarnation: 1, Version: 2, Snapshot: true, Ages: registry.Ages{Entries: time.Second, Rules: 2 * time.Second, Hops: 1, RulesHops: 2}, Removed: []model.UpstreamID{"gone"},
		Changed: []registry.Entry{{
			Upstream:    model.Upstream{ID: "u", Kind: model.KindService, Address: "10.0.0.1:1", FailureDomain: "d", Serves: "s", Version: "v1", Slots: 4},
			Incarnation: 5, Sequence: 6, Leaving: true,
		}},
		Instances: []model.Instance{{
			ID: "i", Incarnation: 4, Region: "r", FailureDomain: "d", CallerAddress: "10.0.0.2:1", ControlAddress: "10.0.0.2:2",
			State: model.InstanceLive, Fingerprint: "f",
		}},
		RemovedInstances: []model.InstanceID{"j"},
		Moves: []model.VersionMove{{
			VersionOrder: model.VersionOrder{Service: "s", Target: "v2", Revision: 5, Within: time.Minute},
			State:        model.MoveOpen, Share: 0.05, Step: 3, Started: time.Hour, Since: 2 * time.Hour, Reason: "r",
		}},
		Rules: &model.RoutingRules{
			Revision: 8,
			Routes:   []model.HostRoute{{Name: "r", Host: "h", Prefix: "/p/", Repeat: model.RepeatAny, Timeout: time.Second, Targets: []model.RouteTarget{{Service: "s", Weight: 1}}}},
			Services: []model.BackendService{{Name: "s", Engine: &model.EngineTraits{MemoryTokens: 9, Copies: true}}},
			Holders:  []model.KeyHolder{{Organisation: "o", Keys: []string{"k"}}},
		},
	}
}

// Guards against a field of a state, a poll or a registry delta that is lost between
// two instances.
func TestStateAndRegistryDeltaRoundTrip(t *testing.T) {
	m, err := EncodeState(sampleState())
	assert.NilError(t, err)
	state, err := DecodeState(m)
	assert.NilError(t, err)
	assert.DeepEqual(t, state, sampleState())
	m, err = EncodeNews(sampleDelta(), nil)
	assert.NilError(t, err)
	delta, err := DecodeNews(m, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, delta, sampleDelta())
	m, err = EncodeNewsAsk(registry.Cursor{ReaderIncarnation: 1, Version: 2, RulesRevision: 3}, time.Second)
	assert.NilError(t, err)
	ask, err := DecodeNewsAsk(m)
	assert.NilError(t, err)
	assert.Equal(t, ask.Cursor, registry.Cursor{ReaderIncarnation: 1, Version: 2, RulesRevision: 3})
	assert.Equal(t, ask.Wait, time.Second)
	assert.Assert(t, ask.Packed)
}

// Guards against a peer's message that crashes a decoder, and against a decoded
// message that cannot be encoded again.
func FuzzStateAndRegistryDelta(f *testing.F) {
	for _, m := range []func() (Message, error){
		func() (Message, error) { return EncodeState(sampleState()) },
		func() (Message, error) { return EncodeNews(sampleDelta(), nil) },
		func() (Message, error) {
			return EncodeCellDemand(exchange.CellDemand{Instance: "i", Cell: "d/0", Summary: sampleState().OtherCells[0]})
		},
		func() (Message, error) {
			return EncodeSuspects(suspect.Rows{Deaths: []suspect.Death{{Fingerprint: "f", At: time.Unix(1, 0)}}, Clears: []suspect.Clear{{Fingerprint: "g"}}})
		},
	} {
		message, err := m()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if s, err := DecodeState(Message{Kind: KindState, Body: body}); err == nil {
			_, err := EncodeState(s)
			assert.NilError(t, err)
		}
		if n, err := DecodeNews(Message{Kind: KindRegistry, Body: body}, nil); err == nil {
			_, err := EncodeNews(n, nil)
			assert.NilError(t, err)
		}
		if rows, err := DecodeSuspects(Message{Kind: KindSuspects, Body: body}); err == nil {
			_, err := EncodeSuspects(rows)
			assert.NilError(t, err)
		}
		if c, err := DecodeMoveCounts(Message{Kind: KindMoveCounts, Body: body}); err == nil {
			_, err := EncodeMoveCounts(c)
			assert.NilError(t, err)
		}
		if c, err := DecodeCellDemand(Message{Kind: KindCellDemand, Body: body}); err == nil {
			_, err := EncodeCellDemand(c)
			assert.NilError(t, err)
		}
		if ask, err := DecodeNewsAsk(Message{Kind: KindRegistry, Body: body}); err == nil {
			assert.Assert(t, ask.Wait >= 0)
		}
	})
}
