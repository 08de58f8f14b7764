package edgelink

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
	"gotest.tools/v3/assert"
)

// connect returns a link from instance a and the server of instance b, which passes
// messages on to receive.
func connect(t *testing.T, receive Receiver) (*Link, *peer.Server) {
	t.Helper()
	handlers := peer.Mux{peerwire.KindState: receive, peerwire.KindMoveCounts: receive, peerwire.KindCellDemand: receive, peerwire.KindSuspects: receive}
	link, _, server := connectTo(t, handlers, receive.Datagram, receive.Log)
	return link, server
}

// connectTo returns a link from instance a, its client and the server of instance b.
func connectTo(t *testing.T, handlers peer.Mux, datagrams func(peer.Peer, peerwire.Message), logger log.Interface) (*Link, *peer.Client, *peer.Server) {
	t.Helper()
	ca, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	options := func(name string) peer.Options {
		f, err := ca.Issue(name)
		assert.NilError(t, err)
		return peer.Options{Address: "127.0.0.1:0", CertFile: f.Cert, KeyFile: f.Key, CAFile: f.CA}
	}
	o := options("b")
	o.Datagrams = datagrams
	server, err := peer.NewServer(o, handlers)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	client, err := peer.NewClient(options("a"))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	return New(client, logger), client, server
}

// Guards against the loss of states that are too large for a datagram: other
// instances would regard an instance with much work as lost.
func TestStatesOfAnySizeArrive(t *testing.T) {
	states := make(chan exchange.State, 1)
	link, server := connect(t, Receiver{States: func(s exchange.State) { states <- s }, Log: &log.Logger{Handler: discard.Default}})
	for i, streams := range []int{0, 20, 600} { // 600 is an instance at the target size
		s := exchange.State{Instance: "a", Sequence: uint64(i + 1), Work: map[model.UpstreamID]commitment.Work{}}
		for n := range streams {
			s.Work[model.UpstreamID(fmt.Sprintf("i-%010d", n))] = commitment.Work{Requests: 1, MemoryTokens: 5800}
		}
		link.Send(model.Instance{ID: "b", ControlAddress: server.Address()}, s)
		select {
		case got := <-states:
			assert.Equal(t, got.Sequence, s.Sequence)
			assert.Equal(t, len(got.Work), streams)
		case <-time.After(2 * time.Second):
			t.Fatalf("the state with %d upstreams did not arrive", streams)
		}
	}
}

// Guards against a state that one instance sends in the name of another.
func TestStateOfAnotherInstanceIsDropped(t *testing.T) {
	m, err := peerwire.EncodeState(exchange.State{Instance: "a", Sequence: 1})
	assert.NilError(t, err)
	logger := &log.Logger{Handler: discard.Default}
	got := 0
	receive := Receiver{States: func(exchange.State) { got++ }, Log: logger}
	receive.Datagram(peer.Peer{Name: "c"}, m)
	assert.NilError(t, receive.ServePeer(t.Context(), peer.Peer{Name: "c"}, m, nil))
	assert.Equal(t, got, 0)
	receive.Datagram(peer.Peer{Name: "a"}, m)
	assert.Equal(t, got, 1)
}

// Guards against suspect rows that do not arrive at other instances.
func TestSuspectsArrive(t *testing.T) {
	got := make(chan suspect.Rows, 1)
	link, server := connect(t, Receiver{Suspects: func(_ model.InstanceID, rows suspect.Rows) { got <- rows }, Log: &log.Logger{Handler: discard.Default}})
	rows := suspect.Rows{
		Deaths: []suspect.Death{{ID: suspect.DeathID{Upstream: "u", Incarnation: 3}, Fingerprint: "f", At: time.UnixMilli(1_700_000_000_000).UTC()}},
		Clears: []suspect.Clear{{Fingerprint: "g", At: time.UnixMilli(1_700_000_001_000).UTC()}},
	}
	link.SendSuspects([]model.Instance{{ID: "b", ControlAddress: server.Address()}}, rows)
	select {
	case received := <-got:
		assert.DeepEqual(t, received, rows)
	case <-time.After(2 * time.Second):
		t.Fatal("the rows did not arrive")
	}
}

// Guards against suspects of an instance that a started one asks for and does not get.
func TestSuspectsAreExchanged(t *testing.T) {
	mine := suspect.Rows{Deaths: []suspect.Death{{Fingerprint: "f", At: time.UnixMilli(1_700_000_000_000).UTC()}}}
	theirs := suspect.Rows{Clears: []suspect.Clear{{Fingerprint: "g", At: time.UnixMilli(1_700_000_001_000).UTC()}}}
	arrived, received := make(chan suspect.Rows, 1), make(chan suspect.Rows, 1)
	link, server := connect(t, Receiver{
		Suspects:      func(_ model.InstanceID, rows suspect.Rows) { arrived <- rows },
		KnownSuspects: func() suspect.Rows { return theirs },
		Log:           &log.Logger{Handler: discard.Default},
	})
	link.ExchangeSuspects(model.Instance{ID: "b", ControlAddress: server.Address()}, mine, func(rows suspect.Rows) { received <- rows })
	for _, c := range []struct {
		rows <-chan suspect.Rows
		want suspect.Rows
	}{{arrived, mine}, {received, theirs}} {
		select {
		case got := <-c.rows:
			assert.DeepEqual(t, got, c.want)
		case <-time.After(2 * time.Second):
			t.Fatal("the rows did not arrive")
		}
	}
}

// Guards against counts of version moves that do not reach the judge, and against counts
// that one instance sends in the name of another.
func TestMoveCountsArrive(t *testing.T) {
	got := make(chan exchange.MoveCounts, 1)
	receive := Receiver{MoveCounts: func(c exchange.MoveCounts) { got <- c }, Log: &log.Logger{Handler: discard.Default}}
	link, server := connect(t, receive)
	counts := exchange.MoveCounts{Instance: "a", Rows: []move.Row{{Service: "s", Revision: 7, Route: "r", Old: move.Counts{Requests: 9, Failures: 1}, New: move.Counts{Requests: 3, Failures: 2}}}}
	link.SendMoveCounts(model.Instance{ID: "b", ControlAddress: server.Address()}, counts)
	select {
	case received := <-got:
		assert.DeepEqual(t, received, counts)
	case <-time.After(2 * time.Second):
		t.Fatal("the counts did not arrive")
	}
	m, err := peerwire.EncodeMoveCounts(counts)
	assert.NilError(t, err)
	receive.Datagram(peer.Peer{Name: "c"}, m)
	assert.Equal(t, len(got), 0)
}

// Guards against the demand of a cell that does not arrive, and against demand that one
// instance sends in the name of another.
func TestCellDemandArrives(t *testing.T) {
	got := make(chan exchange.CellDemand, 1)
	receive := Receiver{CellDemand: func(c exchange.CellDemand) { got <- c }, Log: &log.Logger{Handler: discard.Default}}
	link, server := connect(t, receive)
	sum := exchange.CellDemand{Instance: "a", Cell: "d/0", Summary: demand.Summary{Domain: "d", Cells: 1, Services: map[string]demand.Demand{"s": {InFlight: 9, Rate: 12.5}}}}
	link.SendCellDemand([]model.Instance{{ID: "b", ControlAddress: server.Address()}}, sum)
	select {
	case received := <-got:
		assert.DeepEqual(t, received, sum)
	case <-time.After(2 * time.Second):
		t.Fatal("the demand did not arrive")
	}
	m, err := peerwire.EncodeCellDemand(sum)
	assert.NilError(t, err)
	receive.Datagram(peer.Peer{Name: "c"}, m)
	assert.Equal(t, len(got), 0)
}
