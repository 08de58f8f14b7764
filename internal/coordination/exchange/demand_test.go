package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against instances that do not know what waits at the others of their cell, and
// against the demand of a lost one that counts for ever.
func TestDemandReachesTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		a.demand.SetWaiting("s", 7, 1)
		b.demand.SetWaiting("s", 2, 1)
		time.Sleep(heartbeatInterval + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, b.demand.Cell(time.Now())["s"].Waiting, 9)
		_, _, known := b.demand.Others("s", time.Now())
		assert.Assert(t, !known)
		a.disconnected.Store(true)
		time.Sleep(demand.TTL + heartbeatInterval)
		synctest.Wait()
		assert.Equal(t, b.demand.Cell(time.Now())["s"].Waiting, 2)
	})
}

// Guards against instances that do not know what other cells ask, against a message from
// one instance to each other one, and against a summary that counts after its cell is cut
// off.
func TestDemandReachesOtherCellsThroughTheirFirstMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := startCells(t, []model.InstanceID{"a", "b"}, []model.InstanceID{"c", "d", "e"}, []model.InstanceID{"f"})
		defer stop()
		n["b"].demand.SetWaiting("s", 5, 1)
		n["f"].demand.SetWaiting("s", 3, 1)
		n["b"].commitments.Add("u", commitment.Work{Requests: 4, MemoryTokens: 900})
		n["b"].StateChanged()
		time.Sleep(3*heartbeatInterval + time.Millisecond)
		synctest.Wait()
		for id, want := range map[model.InstanceID]demand.Demand{
			"a": {Waiting: 3}, "b": {Waiting: 3},
			"c": {Waiting: 8, InFlight: 4, MemoryTokens: 900}, "e": {Waiting: 8, InFlight: 4, MemoryTokens: 900},
			"f": {Waiting: 5, InFlight: 4, MemoryTokens: 900},
		} {
			got, age, known := n[id].demand.Others("s", time.Now())
			assert.Assert(t, known && age <= 2*heartbeatInterval, "instance %s: known %v, age %v", id, known, age)
			assert.Equal(t, got, want, "instance %s", id)
		}
		for id, want := range map[model.InstanceID]int32{"a": 8, "b": 0, "c": 8, "d": 0, "e": 0, "f": 8} {
			assert.Equal(t, n[id].summariesReceived.Load(), want, "instance %s", id)
		}
		n["a"].disconnected.Store(true)
		time.Sleep(demand.TTL + 2*heartbeatInterval)
		synctest.Wait()
		got, _, _ := n["e"].demand.Others("s", time.Now())
		assert.Equal(t, got, demand.Demand{Waiting: 3})
	})
}

// Guards against a cell that counts twice after another of its instances took over, which
// would make the services look full.
func TestCellCountsOnceAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := startCells(t, []model.InstanceID{"a", "b"}, []model.InstanceID{"c"})
		defer stop()
		n["a"].demand.SetWaiting("s", 5, 1)
		time.Sleep(2*heartbeatInterval + time.Millisecond)
		n["c"].ReceiveCellDemand(CellDemand{Instance: "b", Cell: "0", Summary: demand.Summary{
			Cells: 1, Services: map[string]demand.Demand{"s": {Waiting: 6}},
		}})
		synctest.Wait()
		got, _, _ := n["c"].demand.Others("s", time.Now())
		assert.Equal(t, got.Waiting, 6)
	})
}

// Guards against instances that count twice while another one already divides the deployment
// into cells, and against the demand of an instance whose failure domain is not known.
func TestSummariesAreIgnoredInOneCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, stop := startPair(t)
		defer stop()
		services := map[string]demand.Demand{"s": {Waiting: 6}}
		a.ReceiveCellDemand(CellDemand{Instance: "b", Cell: "d/1", Summary: demand.Summary{Cells: 1, Services: services}})
		a.Receive(State{Instance: "b", Incarnation: 1, Sequence: 1 << 40, OtherCells: []demand.Summary{{Cells: 1, Services: services}}})
		a.Receive(State{Instance: "unknown", Incarnation: 1, Sequence: 1, Demand: services})
		synctest.Wait()
		_, _, known := a.demand.Others("s", time.Now())
		assert.Assert(t, !known)
		assert.Equal(t, a.demand.Cell(time.Now())["s"].Waiting, 0)
	})
}
