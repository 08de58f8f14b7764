package rollout_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store/storetest"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

// TestMain fixes the seed unless the command line or RAPID_SEED names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

const served = "svc"

var routes = []model.Route{{Method: "POST", Path: "/a"}, {Method: "POST", Path: "/b"}}

// machine is one instance with its own tables.
type machine struct {
	id       model.InstanceID
	pool     *worker.Pool
	docs     *document.Table
	stops    *stop.Table
	evidence *evidence.Table
	detector *rollout.Detector
}

// world is a fleet with a table service, gossip and traffic.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	start    time.Time
	machines []*machine
	moves    *storetest.Rows[rollout.Move]
	leases   *storetest.Rows[lease.Record]
	down     bool // table service
	rate     float64
	fails    func(share float64, route int) float64 // target's failure rate
	records  map[uint64]rollout.Move                // by generation
	highest  float64
}

func newWorld(t testing.TB, n int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), start: time.Now(), rate: 20,
		moves: storetest.New[rollout.Move](), leases: storetest.New[lease.Record](),
		fails:   func(float64, int) float64 { return 0 },
		records: map[uint64]rollout.Move{},
	}
	fault := func(string) storetest.Fault { return storetest.Fault{Down: w.down} }
	w.moves.Fault, w.leases.Fault = fault, fault
	w.moves.OnPut = w.checkRecord
	var ids []model.InstanceID
	for i := range n {
		ids = append(ids, model.InstanceID(fmt.Sprintf("i%d", i)))
	}
	for _, id := range ids {
		m := &machine{
			id: id, pool: worker.NewPool(worker.Options{Workers: 1}),
			docs: document.NewTable(), stops: stop.NewTable(), evidence: evidence.NewTable(),
		}
		m.detector = rollout.NewDetector(id, m.pool, m.stops, nil)
		w.machines = append(w.machines, m)
		rollout.NewManager(rollout.Config{
			Self: id, Pool: m.pool, Moves: w.moves, Leases: w.leases, Documents: m.docs, Stops: m.stops,
			Evidence: m.evidence, Candidates: func() []model.InstanceID { return ids },
		}).Start()
	}
	return w
}

func (w *world) close() {
	for _, m := range w.machines {
		m.pool.Close()
	}
}

// checkRecord is the oracle of the record: final states stay, fencing numbers
// and revisions never fall, a stop is lifted only under a higher epoch.
func (w *world) checkRecord(_ string, old, next rollout.Move) {
	w.records[next.Generation] = next
	if old.State == "" {
		return
	}
	assert.Check(w.t, old.State.Open(), "record changed after its end")
	assert.Check(w.t, next.Fencing >= old.Fencing, "fencing number fell")
	assert.Check(w.t, next.Revision >= old.Revision && next.Epoch >= old.Epoch)
	assert.Check(w.t, next.Share == old.Share || next.Revision > old.Revision)
}

func (w *world) apply(generation uint64, target, previous string, finishBy time.Duration) {
	doc := &model.Document{Environment: "prod", Generation: generation, Services: []model.Service{{
		Name: served, Routes: routes,
		Plan: model.VersionPlan{Target: target, Previous: previous, FinishBy: w.start.Add(finishBy)},
	}}}
	for _, m := range w.machines {
		m.docs.Apply(doc)
	}
}

// run sends traffic and gossips for a while.
func (w *world) run(d time.Duration) {
	const step = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for _, m := range w.machines {
			share := rollout.TargetShare(served, m.docs.Current().Services[0].Plan, m.stops)
			w.highest = max(w.highest, share)
			mean := w.rate * step.Seconds() / float64(len(w.machines))
			for range int(mean + w.rng.Float64()) {
				w.request(m, share)
			}
		}
		w.gossip()
	}
	synctest.Wait()
}

func (w *world) request(m *machine, share float64) {
	plan := m.docs.Current().Services[0].Plan
	key := model.VersionKey{Serves: served, Version: plan.Previous}
	route, rate := w.rng.IntN(len(routes)), 0.002
	if w.rng.Float64() < share {
		key.Version = plan.Target
		rate += w.fails(share, route)
	}
	failed := w.rng.Float64() < rate
	name := rollout.RouteName(routes[route].Method, routes[route].Path)
	row := evidence.Key{Instance: m.id, Version: key, Route: name, Minute: time.Now().Unix() / 60}
	m.evidence.Observe(row, evidence.Observation{Failed: failed, FirstWait: 50 * time.Millisecond})
	// The lock check makes each item dear; a sample of the old version's
	// results gives the same rate.
	if key.Version == plan.Target || w.rng.IntN(5) == 0 {
		m.detector.Observe(key, name, failed)
	}
}

func (w *world) gossip() {
	for _, from := range w.machines {
		rows := from.evidence.Snapshot()
		for _, to := range w.machines {
			for key, counts := range rows {
				if key.Instance == from.id && key.Minute >= time.Now().Unix()/60-1 {
					to.evidence.Merge(key, counts)
				}
			}
			for _, s := range from.stops.Stops() {
				to.stops.Add(s)
			}
			for _, s := range from.stops.Shares() {
				to.stops.SetShare(s)
			}
		}
	}
}

// shares returns the lowest and the highest share over the instances.
func (w *world) shares() (lowest, highest float64) {
	lowest = 1
	for _, m := range w.machines {
		share := rollout.TargetShare(served, m.docs.Current().Services[0].Plan, m.stops)
		lowest, highest = min(lowest, share), max(highest, share)
	}
	return lowest, highest
}

// pauseHolder stops the instance that wrote the record last.
func (w *world) pauseHolder(generation uint64, d time.Duration) {
	for _, m := range w.machines {
		if m.id == w.records[generation].Holder {
			m.pool.Post("pause", worker.Func(func() { time.Sleep(d) }))
		}
	}
}

func fleet(t *testing.T, f func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.close()
		f(w)
	})
}

// Guards against good versions that miss their deadline, also with small
// traffic.
func TestGoodMoveFinishesOnTime(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{20, 1} {
		fleet(t, func(w *world) {
			w.rate = rate
			window := 10 * time.Minute
			w.apply(3, "v2", "v1", window)
			w.run(window)
			r := w.records[3]
			assert.Equal(t, r.State, rollout.Finished, "%+v", r)
			assert.Assert(t, r.Figures.OnTime && r.Figures.Requests > 60)
			lowest, _ := w.shares()
			assert.Equal(t, lowest, 1.0)
			assert.Equal(t, w.machines[0].stops.Shares()[0].Previous, "", "the move is over for detectors")
			late := &machine{docs: w.machines[0].docs, stops: stop.NewTable()}
			late.stops.SetShare(w.machines[0].stops.Shares()[0])
			assert.Equal(t, rollout.TargetShare(served, late.docs.Current().Services[0].Plan, late.stops), 1.0)
		})
	}
}

// Guards against bad versions that keep their traffic, whenever and wherever
// their fault shows.
func TestBadMoveIsTakenBack(t *testing.T) {
	at := func(from time.Duration, atShare, rate float64, route int) func(*world) func(float64, int) float64 {
		return func(w *world) func(float64, int) float64 {
			return func(share float64, r int) float64 {
				if time.Since(w.start) < from || share < atShare || route >= 0 && r != route {
					return 0
				}
				return rate
			}
		}
	}
	for name, c := range map[string]struct {
		fails   func(*world) func(float64, int) float64
		highest float64
	}{
		"at once":    {at(0, 0, 0.6, -1), 0.01},
		"later":      {at(4*time.Minute, 0, 0.4, -1), 0.50},
		"under load": {at(0, 0.25, 0.5, -1), 0.25},
		"one route":  {at(0, 0, 0.6, 1), 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet(t, func(w *world) {
				w.fails = c.fails(w)
				w.apply(3, "v2", "v1", 10*time.Minute)
				w.run(10 * time.Minute)
				r := w.records[3]
				assert.Equal(t, r.State, rollout.TakenBack, "%+v", r)
				assert.Assert(t, w.highest <= c.highest, "highest share %v", w.highest)
				_, highest := w.shares()
				assert.Equal(t, highest, 0.0)
				t.Logf("highest %.2f, sent after fault %d, time %v: %s", r.Figures.HighestShare,
					r.Figures.SentAfterFault, r.Figures.TimeToTakeBack, r.Reason)
			})
		})
	}
}

// Guards against a version that comes back after it was taken back, and
// against one that cannot be asked for again.
func TestTakenBackStaysUntilAskedAgain(t *testing.T) {
	t.Parallel()
	fleet(t, func(w *world) {
		w.fails = func(float64, int) float64 { return 0.9 }
		w.apply(3, "v2", "v1", 10*time.Minute)
		w.run(4 * time.Minute)
		assert.Equal(t, w.records[3].State, rollout.TakenBack)
		w.apply(4, "v2", "v1", 10*time.Minute) // another part of the document changed
		w.run(time.Minute)
		_, highest := w.shares()
		assert.Equal(t, highest, 0.0)
		assert.Equal(t, len(w.records), 1)
		w.fails = func(float64, int) float64 { return 0 }
		w.apply(5, "v2", "v1", 15*time.Minute)
		w.run(10 * time.Minute)
		assert.Equal(t, w.records[5].State, rollout.Finished)
	})
}

// Guards against a replaced move that goes on, and against a reversed move
// that first sends all traffic to the version to be left.
func TestDocumentChangedHalfway(t *testing.T) {
	t.Parallel()
	fleet(t, func(w *world) {
		w.apply(3, "v2", "v1", 10*time.Minute)
		w.run(4 * time.Minute)
		_, before := w.shares()
		assert.Assert(t, before > 0 && before < 1)
		w.apply(4, "v1", "v2", 14*time.Minute)
		lowest, _ := w.shares()
		assert.Equal(t, lowest, 1-before)
		w.run(10 * time.Minute)
		assert.Equal(t, w.records[3].State, rollout.Replaced)
		assert.Equal(t, w.records[4].State, rollout.Finished)
		lowest, _ = w.shares()
		assert.Equal(t, lowest, 1.0)
	})
}

// Guards against an instance with an old document that replaces a newer move.
func TestOldDocumentDoesNotReplaceANewerMove(t *testing.T) {
	t.Parallel()
	fleet(t, func(w *world) {
		newer := rollout.Move{Environment: "prod", Serves: served, Generation: 5, State: rollout.Moving, Share: 0.5}
		_, err := w.moves.Put(t.Context(), rollout.RowKey("prod", served, 5), newer, "")
		assert.NilError(t, err)
		w.apply(4, "v2", "v1", 10*time.Minute)
		w.run(2 * time.Minute)
		assert.Equal(t, len(w.records), 1)
		assert.Equal(t, w.records[5].State, rollout.Moving)
		assert.Equal(t, w.highest, 0.0)
	})
}

// Guards against an instance that waits for others before it stops a version
// on hard evidence, and against one that stops a version without a move.
func TestDetectorStopsAlone(t *testing.T) {
	for previous, want := range map[string]bool{"v1": true, "": false} {
		synctest.Test(t, func(t *testing.T) {
			pool := worker.NewPool(worker.Options{Workers: 1})
			defer pool.Close()
			stops := stop.NewTable()
			stops.SetShare(model.Share{Serves: served, Target: "v2", Previous: previous, Epoch: 3 << 16, Share: 1, Revision: 1})
			var told []model.Stop
			d := rollout.NewDetector("i0", pool, stops, func(s model.Stop) { told = append(told, s) })
			key := model.VersionKey{Serves: served, Version: "v2"}
			for range 3 {
				d.Observe(key, "POST /a", true)
				d.Observe(key, "POST /b", false)
			}
			synctest.Wait()
			assert.Equal(t, stops.Stopped(key), want)
			assert.Equal(t, len(told) == 1, want)
		})
	}
}

// Guards against a paused holder that acts after its lease, and against a
// move that stays with it.
func TestHolderPausedPastItsLease(t *testing.T) {
	t.Parallel()
	fleet(t, func(w *world) {
		w.apply(3, "v2", "v1", 10*time.Minute)
		w.run(2 * time.Minute)
		first := w.records[3]
		w.pauseHolder(3, time.Minute)
		w.run(40 * time.Second)
		second := w.records[3]
		assert.Assert(t, second.Holder != first.Holder && second.Fencing > first.Fencing)
		w.run(8 * time.Minute)
		assert.Equal(t, w.records[3].State, rollout.Finished)
	})
}

// Guards against a share that rises, or a bad version that keeps its traffic,
// while the table is down.
func TestTableDownMidMove(t *testing.T) {
	t.Parallel()
	fleet(t, func(w *world) {
		w.rate = 60
		w.apply(3, "v2", "v1", 10*time.Minute)
		w.run(3 * time.Minute)
		_, before := w.shares()
		w.down = true
		w.run(2 * time.Minute)
		_, during := w.shares()
		assert.Equal(t, during, before)
		w.fails = func(float64, int) float64 { return 0.3 }
		w.run(30 * time.Second)
		_, during = w.shares()
		assert.Equal(t, during, 0.0)
		assert.Assert(t, w.records[3].State.Open())
		w.down = false
		w.run(time.Minute)
		assert.Equal(t, w.records[3].State, rollout.TakenBack)
	})
}

// fewerChecks divides the number of checks for a test whose single check runs
// many minutes of a fleet's time.
func fewerChecks(t *testing.T, divisor int) {
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	n, err := strconv.Atoi(before)
	assert.NilError(t, err)
	assert.NilError(t, f.Value.Set(strconv.Itoa(max(1, n/divisor))))
	t.Cleanup(func() { _ = f.Value.Set(before) })
}

// Guards against a combination of pauses, outages and late faults that leaves
// a bad version with traffic, takes back a good one, or breaks the record.
func TestMovesUnderFaults(t *testing.T) {
	fewerChecks(t, 20)
	rapid.Check(t, func(rt *rapid.T) {
		bad := rapid.Bool().Draw(rt, "bad")
		from := time.Duration(rapid.IntRange(0, 300).Draw(rt, "from")) * time.Second
		actions := rapid.SliceOfN(rapid.SampledFrom([]string{"none", "pause", "down", "up", "lose"}), 8, 8).Draw(rt, "actions")
		rapid.SyncTest(rt, func(rt *rapid.T) {
			w := newWorld(t, 3)
			defer w.close()
			lose := false
			w.moves.Fault = func(string) storetest.Fault {
				return storetest.Fault{Down: w.down, Lose: lose && time.Now().Unix()%3 == 0}
			}
			if bad {
				w.fails = func(float64, int) float64 {
					if time.Since(w.start) < from {
						return 0
					}
					return 0.5
				}
			}
			w.apply(3, "v2", "v1", 11*time.Minute)
			for _, a := range actions {
				w.down = w.down && a != "up" || a == "down"
				lose = a == "lose"
				if a == "pause" {
					w.pauseHolder(3, 25*time.Second)
				}
				_, before := w.shares()
				w.run(30 * time.Second)
				if _, after := w.shares(); w.down && after > before {
					rt.Fatalf("share rose from %v to %v with the table down", before, after)
				}
			}
			w.down, lose = false, false
			w.run(7 * time.Minute)
			want := rollout.Finished
			if bad {
				want = rollout.TakenBack
			}
			if got := w.records[3]; got.State != want {
				rt.Fatalf("state %s, want %s: %+v", got.State, want, got)
			}
		})
	})
}
