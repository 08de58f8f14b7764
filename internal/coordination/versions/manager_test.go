package versions

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// fakeRecords is a store that may be down or lose answers. mu guards the other
// fields.
type fakeRecords struct {
	mu             sync.Mutex
	record         Record
	era            model.Era
	startedAt      time.Time
	down           bool
	loseAnswers    bool // answers of writes are lost
	finishedWrites int  // writes of a finished move
}

func (f *fakeRecords) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeRecords) state() model.VersionMove {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Move
}

func (f *fakeRecords) Read(context.Context, string) (Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Record{}, errors.New("store is down")
	}
	got := f.record
	got.Era = f.era
	got.StoreTime = time.Since(f.startedAt)
	return got, nil
}

func (f *fakeRecords) Write(_ context.Context, m model.VersionMove, revision uint64) (Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return Record{}, errors.New("store is down")
	case revision != f.record.Revision:
		return Record{}, store.ErrConflict
	}
	f.record = Record{Move: m, Revision: revision + 1, Era: f.era, StoreTime: time.Since(f.startedAt)}
	if m.State == model.MoveFinished {
		f.finishedWrites++
	}
	if f.loseAnswers {
		return Record{}, errors.New("no answer")
	}
	return f.record, nil
}

// judge is an instance that judges moves while judges is set.
type judge struct {
	*Manager
	moves  *move.Table
	judges atomic.Bool
}

func startJudge(t *testing.T, records RecordStore) *judge {
	t.Helper()
	pool := worker.NewPool(worker.Options{Workers: 1})
	t.Cleanup(pool.Close)
	j := &judge{moves: move.NewTable()}
	j.judges.Store(true)
	table := rules.NewTable()
	table.Apply(&model.RoutingRules{Revision: 1, Routes: []model.HostRoute{{Name: "r", Targets: []model.RouteTarget{{Service: "s", Weight: 1}}}}})
	j.Manager = New(Options{
		Pool: pool, Records: records, Moves: j.moves, Rules: table, Upstreams: upstream.NewTable(), Commitments: commitment.NewTable(time.Second),
		ReadsStore: func() bool { return true }, IsJudge: j.judges.Load, OnChange: func() {}, MaxExposure: 0.1, Allowance: 50, Log: &log.Logger{Handler: discard.Default},
	})
	return j
}

// serve sends 20 requests per second for the given time. The target receives its share
// of them and fails them at failureRate.
func (j *judge) serve(d time.Duration, failureRate float64) {
	const rate = 20
	for n := range int(d.Seconds() * rate) {
		time.Sleep(time.Second / rate)
		m, _, _ := j.moves.Get("s")
		version, failed := "v1", false
		if float64(n%100) < m.Share*100 {
			version, failed = "v2", float64(n%10) < failureRate*10
		}
		j.moves.Record("s", version, "r", failed)
	}
	synctest.Wait()
}

func order(revision uint64) []model.VersionOrder {
	return []model.VersionOrder{{Service: "s", Target: "v2", Revision: revision, Within: within}}
}

// Guards against a move to a good version that is not finished in time, and against a
// target that receives traffic before the store has the record.
func TestGoodMoveCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRecords{startedAt: time.Now(), down: true}
		j := startJudge(t, f)
		j.AddOrders(order(7))
		j.serve(2*time.Second, 0)
		m, _, known := j.moves.Get("s")
		assert.Assert(t, known && m.Share == 0 && m.State == model.MoveOpen)
		f.set(func() { f.down = false })
		j.serve(within-3*time.Second, 0)
		assert.Equal(t, f.state().State, model.MoveFinished)
	})
}

// Guards against a bad version that keeps its traffic while the store is down, and
// against a move whose end is not written once the store is back, so that the operator
// would not learn of it.
func TestBadMoveIsTakenBackWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRecords{startedAt: time.Now()}
		j := startJudge(t, f)
		j.AddOrders(order(7))
		j.serve(4*time.Second, 0)
		f.set(func() { f.down = true })
		j.serve(8*time.Second, 1)
		m, _, _ := j.moves.Get("s")
		assert.Equal(t, m.State, model.MoveTakenBack)
		assert.Equal(t, f.state().State, model.MoveOpen)
		f.set(func() { f.down = false })
		j.serve(3*time.Second, 0)
		assert.Equal(t, f.state().State, model.MoveTakenBack)
	})
}

// Guards against two judges that undo each other's steps, against a judge that restarts
// the move when it takes over, and against a move that fails when answers of writes are
// lost.
func TestMoveGoesOnAtAnotherJudge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRecords{startedAt: time.Now(), loseAnswers: true}
		a, b := startJudge(t, f), startJudge(t, f)
		b.judges.Store(false)
		a.AddOrders(order(7))
		b.AddOrders(order(7))
		a.serve(8*time.Second, 0)
		first := f.state()
		assert.Assert(t, first.Share > 0 && first.State == model.MoveOpen)
		m, _, _ := b.moves.Get("s")
		assert.Equal(t, m.Share, first.Share) // read from the store
		b.judges.Store(true)                  // both judge for a while
		b.serve(4*time.Second, 0)
		a.judges.Store(false)
		b.serve(14*time.Second, 0)
		last := f.state()
		assert.Equal(t, last.State, model.MoveFinished)
		assert.Equal(t, last.Started, first.Started)
		assert.Equal(t, f.finishedWrites, 1)
	})
}

// Guards against an ended move that starts again when the system restarts and reads the
// same order, and against a newer order that does not start a move.
func TestEndedMoveStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := model.VersionMove{VersionOrder: order(7)[0], State: model.MoveTakenBack, Step: 3}
		f := &fakeRecords{startedAt: time.Now(), record: Record{Move: ended, Revision: 4}}
		j := startJudge(t, f)
		j.AddOrders(order(7))
		j.serve(5*time.Second, 0)
		m, _, _ := j.moves.Get("s")
		assert.Equal(t, m.State, model.MoveTakenBack)
		j.AddOrders(order(9))
		j.serve(5*time.Second, 0)
		m, _, _ = j.moves.Get("s")
		assert.Assert(t, m.Revision == 9 && m.State == model.MoveOpen && m.Share > 0)
	})
}
