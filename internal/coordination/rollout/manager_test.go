package rollout_test

import (
	"flag"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store/storetest"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

// Guards against a good version that is not finished by its deadline, with much
// and with little traffic.
func TestGoodMoveFinishesOnTime(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{20, 1} {
		withCluster(t, func(cl *testCluster) {
			cl.requestRate = rate
			window := 10 * time.Minute
			cl.apply(3, "v2", "v1", window)
			cl.run(window)
			r := cl.records[3]
			assert.Equal(t, r.State, rollout.Finished, "%+v", r)
			assert.Assert(t, r.Figures.OnTime && r.Figures.Requests > 60)
			lowest, _ := cl.shares()
			assert.Equal(t, lowest, 1.0)
			assert.Equal(t, cl.instances[0].stops.Shares()[0].Previous, "", "the move is over for detectors")
			joined := &testInstance{docs: cl.instances[0].docs, stops: stop.NewTable()}
			joined.stops.SetShare(cl.instances[0].stops.Shares()[0])
			assert.Equal(t, rollout.TargetShare(serviceName, joined.docs.Current().Services[0].Plan, joined.stops), 1.0)
		})
	}
}

// Guards against a bad version that keeps its traffic, for faults that begin at
// once, later or above some share, and for faults of one route.
func TestBadMoveIsTakenBack(t *testing.T) {
	failsFrom := func(from time.Duration, atShare, rate float64, route int) func(*testCluster) func(float64, int) float64 {
		return func(cl *testCluster) func(float64, int) float64 {
			return func(share float64, r int) float64 {
				if time.Since(cl.start) < from || share < atShare || route >= 0 && r != route {
					return 0
				}
				return rate
			}
		}
	}
	for name, c := range map[string]struct {
		failureRate  func(*testCluster) func(float64, int) float64
		highestShare float64
	}{
		"at once":    {failsFrom(0, 0, 0.6, -1), 0.01},
		"later":      {failsFrom(4*time.Minute, 0, 0.4, -1), 0.50},
		"under load": {failsFrom(0, 0.25, 0.5, -1), 0.25},
		"one route":  {failsFrom(0, 0, 0.6, 1), 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withCluster(t, func(cl *testCluster) {
				cl.failureRate = c.failureRate(cl)
				cl.apply(3, "v2", "v1", 10*time.Minute)
				cl.run(10 * time.Minute)
				r := cl.records[3]
				assert.Equal(t, r.State, rollout.TakenBack, "%+v", r)
				assert.Assert(t, cl.highestShare <= c.highestShare, "highest share %v", cl.highestShare)
				_, highest := cl.shares()
				assert.Equal(t, highest, 0.0)
				t.Logf("highest %.2f, sent after fault %d, time %v: %s", r.Figures.HighestShare,
					r.Figures.SentAfterFault, r.Figures.TimeToTakeBack, r.Reason)
			})
		})
	}
}

// Guards against a version that receives traffic again after it was taken back
// although its plan is the same, and against one that stays barred under a new plan.
func TestTakenBackStaysUntilAskedAgain(t *testing.T) {
	t.Parallel()
	withCluster(t, func(cl *testCluster) {
		cl.failureRate = func(float64, int) float64 { return 0.9 }
		cl.apply(3, "v2", "v1", 10*time.Minute)
		cl.run(4 * time.Minute)
		assert.Equal(t, cl.records[3].State, rollout.TakenBack)
		cl.apply(4, "v2", "v1", 10*time.Minute) // another part of the document changed
		cl.run(time.Minute)
		_, highest := cl.shares()
		assert.Equal(t, highest, 0.0)
		assert.Equal(t, len(cl.records), 1)
		cl.failureRate = func(float64, int) float64 { return 0 }
		cl.apply(5, "v2", "v1", 15*time.Minute)
		cl.run(10 * time.Minute)
		assert.Equal(t, cl.records[5].State, rollout.Finished)
	})
}

// Guards against a replaced move that stays open, and against a reversed move that
// begins with all traffic on one version instead of the present shares.
func TestDocumentChangedHalfway(t *testing.T) {
	t.Parallel()
	withCluster(t, func(cl *testCluster) {
		cl.apply(3, "v2", "v1", 10*time.Minute)
		cl.run(4 * time.Minute)
		_, before := cl.shares()
		assert.Assert(t, before > 0 && before < 1)
		cl.apply(4, "v1", "v2", 14*time.Minute)
		lowest, _ := cl.shares()
		assert.Equal(t, lowest, 1-before)
		cl.run(10 * time.Minute)
		assert.Equal(t, cl.records[3].State, rollout.Replaced)
		assert.Equal(t, cl.records[4].State, rollout.Finished)
		lowest, _ = cl.shares()
		assert.Equal(t, lowest, 1.0)
	})
}

// Guards against an instance with an old document that replaces the move of a newer
// document.
func TestOldDocumentDoesNotReplaceANewerMove(t *testing.T) {
	t.Parallel()
	withCluster(t, func(cl *testCluster) {
		newer := rollout.Move{Environment: "prod", Serves: serviceName, Generation: 5, State: rollout.Moving, Share: 0.5}
		_, err := cl.moves.Put(t.Context(), rollout.RowKey("prod", serviceName, 5), newer, "")
		assert.NilError(t, err)
		cl.apply(4, "v2", "v1", 10*time.Minute)
		cl.run(2 * time.Minute)
		assert.Equal(t, len(cl.records), 1)
		assert.Equal(t, cl.records[5].State, rollout.Moving)
		assert.Equal(t, cl.highestShare, 0.0)
	})
}

// Guards against an instance that needs others to stop a version on hard evidence,
// and against a stop of a version that has no open move.
func TestDetectorStopsAlone(t *testing.T) {
	for previous, want := range map[string]bool{"v1": true, "": false} {
		synctest.Test(t, func(t *testing.T) {
			pool := worker.NewPool(worker.Options{Workers: 1})
			defer pool.Close()
			stops := stop.NewTable()
			stops.SetShare(model.Share{Serves: serviceName, Target: "v2", Previous: previous, Epoch: 3 << 16, Share: 1, Revision: 1})
			var notified []model.Stop
			d := rollout.NewDetector("i0", pool, stops, func(s model.Stop) { notified = append(notified, s) })
			key := model.VersionKey{Serves: serviceName, Version: "v2"}
			for range 3 {
				d.Observe(key, "POST /a", true)
				d.Observe(key, "POST /b", false)
			}
			synctest.Wait()
			assert.Equal(t, stops.Stopped(key), want)
			assert.Equal(t, len(notified) == 1, want)
		})
	}
}

// Guards against a paused holder that acts after its lease has expired, and against
// a move that no other instance takes over.
func TestHolderPausedPastItsLease(t *testing.T) {
	t.Parallel()
	withCluster(t, func(cl *testCluster) {
		cl.apply(3, "v2", "v1", 10*time.Minute)
		cl.run(2 * time.Minute)
		first := cl.records[3]
		cl.pauseHolder(3, time.Minute)
		cl.run(40 * time.Second)
		second := cl.records[3]
		assert.Assert(t, second.Holder != first.Holder && second.Fencing > first.Fencing)
		cl.run(8 * time.Minute)
		assert.Equal(t, cl.records[3].State, rollout.Finished)
	})
}

// Guards against a share that is raised while the table service is down, and
// against a bad version that keeps its traffic meanwhile.
func TestTableDownMidMove(t *testing.T) {
	t.Parallel()
	withCluster(t, func(cl *testCluster) {
		cl.requestRate = 60
		cl.apply(3, "v2", "v1", 10*time.Minute)
		cl.run(3 * time.Minute)
		_, before := cl.shares()
		cl.storeDown.Store(true)
		cl.run(2 * time.Minute)
		_, shareDuringOutage := cl.shares()
		assert.Equal(t, shareDuringOutage, before)
		cl.failureRate = func(float64, int) float64 { return 0.3 }
		cl.run(30 * time.Second)
		_, shareDuringOutage = cl.shares()
		assert.Equal(t, shareDuringOutage, 0.0)
		assert.Assert(t, cl.records[3].State.Open())
		cl.storeDown.Store(false)
		cl.run(time.Minute)
		assert.Equal(t, cl.records[3].State, rollout.TakenBack)
	})
}

// fewerChecks divides the number of rapid checks by divisor, for a test whose
// single check simulates many minutes of a cluster.
func fewerChecks(t *testing.T, divisor int) {
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	n, err := strconv.Atoi(before)
	assert.NilError(t, err)
	assert.NilError(t, f.Value.Set(strconv.Itoa(max(1, n/divisor))))
	t.Cleanup(func() { _ = f.Value.Set(before) })
}

// Guards against combinations of paused holders, outages of the table service, lost
// answers and late faults that leave a bad version with traffic, take back a good
// version or corrupt the record.
func TestMovesUnderFaults(t *testing.T) {
	fewerChecks(t, 20)
	rapid.Check(t, func(rt *rapid.T) {
		bad := rapid.Bool().Draw(rt, "bad")
		from := time.Duration(rapid.IntRange(0, 300).Draw(rt, "from")) * time.Second
		actions := rapid.SliceOfN(rapid.SampledFrom([]string{"none", "pause", "down", "up", "lose"}), 8, 8).Draw(rt, "actions")
		rapid.SyncTest(rt, func(rt *rapid.T) {
			cl := newTestCluster(t, 3)
			defer cl.close()
			var lose atomic.Bool
			cl.moves.Fault = func(string) storetest.Fault {
				return storetest.Fault{Down: cl.storeDown.Load(), LoseAnswer: lose.Load() && time.Now().Unix()%3 == 0}
			}
			if bad {
				cl.failureRate = func(float64, int) float64 {
					if time.Since(cl.start) < from {
						return 0
					}
					return 0.5
				}
			}
			cl.apply(3, "v2", "v1", 11*time.Minute)
			for _, a := range actions {
				cl.storeDown.Store(cl.storeDown.Load() && a != "up" || a == "down")
				lose.Store(a == "lose")
				if a == "pause" {
					cl.pauseHolder(3, 25*time.Second)
				}
				_, before := cl.shares()
				cl.run(30 * time.Second)
				if _, after := cl.shares(); cl.storeDown.Load() && after > before {
					rt.Fatalf("share rose from %v to %v with the table down", before, after)
				}
			}
			cl.storeDown.Store(false)
			lose.Store(false)
			cl.run(7 * time.Minute)
			want := rollout.Finished
			if bad {
				want = rollout.TakenBack
			}
			if got := cl.records[3]; got.State != want {
				rt.Fatalf("state %s, want %s: %+v", got.State, want, got)
			}
		})
	})
}
