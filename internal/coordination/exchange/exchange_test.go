package exchange

import (
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// member is one instance with its tables.
type member struct {
	*Manager
	pool         *worker.Pool
	instances    *instance.Table
	commitments  *commitment.Table
	upstreams    *upstream.Table
	suspects     *suspect.Table
	moves        *move.Table
	disconnected atomic.Bool  // the states that it sends are lost
	rowsReceived atomic.Int32 // messages with suspects
	demand       *demand.Table

	summariesReceived atomic.Int32
}

// network delivers messages at once.
type network map[model.InstanceID]*member

// link is one instance's Link.
type link struct {
	network
	self model.InstanceID
}

// Send implements Link.
func (l link) Send(to model.Instance, s State) {
	if !l.network[l.self].disconnected.Load() {
		l.network[to.ID].Receive(s)
	}
}

// SendMoveCounts implements Link.
func (l link) SendMoveCounts(to model.Instance, c MoveCounts) {
	l.network[to.ID].ReceiveMoveCounts(c)
}

// SendCellDemand implements Link.
func (l link) SendCellDemand(to []model.Instance, c CellDemand) {
	if l.network[l.self].disconnected.Load() {
		return
	}
	for _, in := range to {
		l.network[in.ID].summariesReceived.Add(1)
		l.network[in.ID].ReceiveCellDemand(c)
	}
}

// SendSuspects implements Link.
func (l link) SendSuspects(to []model.Instance, rows suspect.Rows) {
	for _, in := range to {
		l.network[in.ID].rowsReceived.Add(1)
		l.network[in.ID].ReceiveSuspects(l.self, rows)
	}
}

// ExchangeSuspects implements Link.
func (l link) ExchangeSuspects(with model.Instance, rows suspect.Rows, received func(suspect.Rows)) {
	l.network[with.ID].suspects.Merge(rows, time.Now())
	received(l.network[with.ID].suspects.Snapshot(time.Now()))
}

// startPair starts two instances of one cell that know each other.
func startPair(t *testing.T) (a, b *member, stop func()) {
	t.Helper()
	n, stop := startCells(t, []model.InstanceID{"a", "b"})
	return n["a"], n["b"], stop
}

// startCells starts the instances of cells. The first one judges version moves.
func startCells(t *testing.T, cells ...[]model.InstanceID) (n network, stop func()) {
	t.Helper()
	n = network{}
	record := func(id model.InstanceID) model.Instance {
		return model.Instance{ID: id, Incarnation: 1, State: model.InstanceLive, ControlAddress: string(id)}
	}
	records := func(ids []model.InstanceID) (list []model.Instance) {
		for _, id := range ids {
			list = append(list, record(id))
		}
		return list
	}
	for i, cell := range cells {
		var firsts []model.InstanceID
		for k, other := range cells {
			if k != i {
				firsts = append(firsts, other[0])
			}
		}
		for _, id := range cell {
			m := &member{
				pool:        worker.NewPool(worker.Options{Workers: 1}),
				instances:   instance.NewTable(),
				commitments: commitment.NewTable(3 * time.Second),
				upstreams:   upstream.NewTable(),
				suspects:    suspect.NewTable(id),
				moves:       move.NewTable(),
				demand:      demand.NewTable(),
			}
			for _, in := range records(slices.Concat(cells...)) {
				m.instances.Merge(in)
			}
			m.upstreams.Configure([]model.Upstream{{ID: "u", Serves: "s"}})
			m.Manager = New(Options{
				Pool: m.pool, Self: record(id), Instances: m.instances, Commitments: m.commitments,
				Members:     func() []model.Instance { return records(cell) },
				OtherFirsts: func() []model.Instance { return records(firsts) },
				CellName: func() string {
					if len(cells) == 1 {
						return ""
					}
					return strconv.Itoa(i)
				},
				Demand:    m.demand,
				Judge:     func() (model.Instance, bool) { return record(cells[0][0]), true },
				Upstreams: m.upstreams, Locations: location.NewTable(), Outcomes: outcome.NewTable(), Moves: m.moves, Suspects: m.suspects,
				Resends: resend.New(resend.Limit{Ratio: 0.8, Burst: 100, Window: 10 * time.Second}, 2),
				Link:    link{n, id}, Log: &log.Logger{Handler: discard.Default},
			})
			n[id] = m
		}
	}
	for _, m := range n {
		m.Start()
	}
	return n, func() {
		for _, m := range n {
			m.pool.Close()
		}
	}
}

// Guards against placements that ignore the work that another instance has just
// placed.
func TestWorkIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		a.commitments.Add("u", commitment.Work{Requests: 1, PrefillTokens: 5000})
		a.StateChanged()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, b.commitments.Totals(time.Now())["u"].PrefillTokens, 5000)
	})
}

// Guards against counting the work of a lost instance for ever, and against sending
// callers to that instance.
func TestSilentInstanceIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		a.commitments.Add("u", commitment.Work{Requests: 1})
		a.StateChanged()
		time.Sleep(2 * time.Second)
		a.disconnected.Store(true)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Equal(t, b.commitments.Totals(time.Now())["u"], commitment.Work{})
		in, _ := b.instances.Get("a")
		assert.Equal(t, in.State, model.InstanceSuspected)
		a.disconnected.Store(false)
		time.Sleep(2 * time.Second)
		in, _ = b.instances.Get("a")
		assert.Equal(t, in.State, model.InstanceLive)
	})
}

// Guards against a connection failure that each instance has to detect for itself.
func TestFailureIsSentToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		a.ConnectionFailed("u", time.Now())
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		row, _ := b.upstreams.Get("u")
		assert.Assert(t, !row.FailedAt.IsZero())
	})
}

// Guards against an older state replacing a newer one.
func TestOlderStateIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b, stop := startPair(t)
		defer stop()
		work := func(n int) map[model.UpstreamID]commitment.Work {
			return map[model.UpstreamID]commitment.Work{"u": {Requests: n}}
		}
		b.Receive(State{Instance: "c", Incarnation: 2, Sequence: 5, Work: work(2)})
		b.Receive(State{Instance: "c", Incarnation: 2, Sequence: 4, Work: work(7)})
		b.Receive(State{Instance: "c", Incarnation: 1, Sequence: 9, Work: work(9)})
		synctest.Wait()
		assert.Equal(t, b.commitments.Totals(time.Now())["u"].Requests, 2)
	})
}

// Guards against each instance having to detect alone that an upstream fails some of
// its requests.
func TestBadOutcomesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		b.opts.Outcomes.Record("u", false, time.Now())
		a.opts.Outcomes.Record("u", true, time.Now())
		a.StateChanged()
		time.Sleep(2 * coalesceTime)
		synctest.Wait()
		seen := b.opts.Outcomes.Totals(time.Now())["u"]
		assert.Assert(t, seen.Bad > 0.9 && seen.Requests > 1.9, "%+v", seen)
		// b's good outcome counts at a too, now that both instances have a bad outcome of
		// the upstream.
		time.Sleep(heartbeatInterval)
		synctest.Wait()
		seen = a.opts.Outcomes.Totals(time.Now())["u"]
		assert.Assert(t, seen.Requests > 1.5, "%+v", seen)
	})
}

// Guards against an instance that goes on to send requests to an upstream which told
// another instance that it leaves, and against a mark that hits its next start.
func TestLeavingUpstreamsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		for _, m := range []*member{a, b} {
			m.upstreams.Apply(upstream.Report{Upstream: "u", Incarnation: 4, Health: upstream.HealthUp, At: time.Now()})
		}
		a.upstreams.Leave("u")
		a.UpstreamLeft("u")
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		row, _ := b.upstreams.Get("u")
		assert.Equal(t, row.Report.Health, upstream.HealthLeaving)
		b.upstreams.Apply(upstream.Report{Upstream: "u", Incarnation: 5, Health: upstream.HealthUp, At: time.Now()})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		row, _ = b.upstreams.Get("u")
		assert.Equal(t, row.Report.Health, upstream.HealthUp)
	})
}

// Guards against a restarted instance that does not know of the crashes that the others
// learned of before its start.
func TestStartedInstanceLearnsOfEarlierCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startPair(t)
		defer stop()
		time.Sleep(5 * time.Second)
		now := time.Now()
		a.suspects.Merge(suspect.Rows{Deaths: []suspect.Death{{ID: suspect.DeathID{Upstream: "u"}, Fingerprint: "f", At: now}}}, now)
		a.Receive(State{Instance: "b", Incarnation: 2, Sequence: 1})
		synctest.Wait()
		deaths, _ := b.suspects.CountDeaths("f", now)
		assert.Equal(t, deaths, 1)
	})
}

// Guards against a judge that knows the outcomes of its own cell only: while it waits
// for evidence, the other cells go on to send requests to a bad version.
func TestJudgeGetsTheMoveCountsOfOtherCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := startCells(t, []model.InstanceID{"a"}, []model.InstanceID{"b"})
		defer stop()
		for _, m := range n {
			m.moves.Apply(model.VersionMove{VersionOrder: model.VersionOrder{Service: "s", Target: "v2", Revision: 7}, State: model.MoveOpen}, time.Now())
		}
		n["b"].moves.Record("s", "v2", "r", true)
		time.Sleep(heartbeatInterval + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, n["a"].moves.Totals("s")["r"].New, move.Counts{Requests: 1, Failures: 1})
	})
}

// Guards against crashes that another cell does not learn of, and against a message from
// one instance to each other one, which needs a connection to each.
func TestSuspectsReachOtherCellsThroughTheirFirstMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := startCells(t, []model.InstanceID{"a", "b"}, []model.InstanceID{"c", "d", "e"})
		defer stop()
		time.Sleep(3 * time.Second)
		now := time.Now()
		rows := suspect.Rows{Deaths: []suspect.Death{{ID: suspect.DeathID{Upstream: "u"}, Fingerprint: "f", At: now}}}
		know := func() (ids []model.InstanceID) {
			synctest.Wait()
			for id, m := range n {
				if deaths, _ := m.suspects.CountDeaths("f", now); deaths > 0 {
					ids = append(ids, id)
				}
			}
			slices.Sort(ids)
			return ids
		}
		n["a"].suspects.Merge(rows, now)
		n["a"].PublishSuspects(rows, false)
		assert.DeepEqual(t, know(), []model.InstanceID{"a", "b"})
		n["a"].PublishSuspects(rows, true)
		assert.DeepEqual(t, know(), []model.InstanceID{"a", "b", "c", "d", "e"})
		assert.Equal(t, n["b"].rowsReceived.Load(), int32(2))
		assert.Equal(t, n["c"].rowsReceived.Load(), int32(1))
		assert.Equal(t, n["d"].rowsReceived.Load(), int32(1))
	})
}
