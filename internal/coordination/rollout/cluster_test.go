package rollout_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

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

const serviceName = "svc"

var routes = []model.Route{{Method: "POST", Path: "/a"}, {Method: "POST", Path: "/b"}}

// testInstance is one instance with its own tables.
type testInstance struct {
	id       model.InstanceID
	pool     *worker.Pool
	docs     *document.Table
	stops    *stop.Table
	evidence *evidence.Table
	detector *rollout.Detector
}

// testCluster simulates instances with a table service, gossip and traffic.
type testCluster struct {
	t            testing.TB
	rng          *rand.Rand
	start        time.Time
	instances    []*testInstance
	moves        *storetest.Rows[rollout.Move]
	leases       *storetest.Rows[lease.Record]
	storeDown    atomic.Bool // the table service is down; calls in flight read it
	requestRate  float64
	failureRate  func(share float64, route int) float64 // additional failure rate of the target
	records      map[uint64]rollout.Move                // by generation
	highestShare float64
}

func newTestCluster(t testing.TB, n int) *testCluster {
	cl := &testCluster{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), start: time.Now(), requestRate: 20,
		moves: storetest.New[rollout.Move](), leases: storetest.New[lease.Record](),
		failureRate: func(float64, int) float64 { return 0 },
		records:     map[uint64]rollout.Move{},
	}
	fault := func(string) storetest.Fault { return storetest.Fault{Down: cl.storeDown.Load()} }
	cl.moves.Fault, cl.leases.Fault = fault, fault
	cl.moves.OnPut = cl.checkRecord
	var ids []model.InstanceID
	for i := range n {
		ids = append(ids, model.InstanceID(fmt.Sprintf("i%d", i)))
	}
	for _, id := range ids {
		m := &testInstance{
			id: id, pool: worker.NewPool(worker.Options{Workers: 1}),
			docs: document.NewTable(), stops: stop.NewTable(), evidence: evidence.NewTable(),
		}
		m.detector = rollout.NewDetector(id, m.pool, m.stops, nil)
		cl.instances = append(cl.instances, m)
		rollout.NewManager(rollout.Config{
			Self: id, Pool: m.pool, Moves: cl.moves, Leases: cl.leases, Documents: m.docs, Stops: m.stops,
			Evidence: m.evidence, Candidates: func() []model.InstanceID { return ids },
		}).Start()
	}
	return cl
}

func (cl *testCluster) close() {
	for _, m := range cl.instances {
		m.pool.Close()
	}
}

// checkRecord checks the invariants of the record: a final state does not change,
// fencing tokens, revisions and epochs never fall, and each change of share raises
// the revision.
func (cl *testCluster) checkRecord(_ string, old, next rollout.Move) {
	cl.records[next.Generation] = next
	if old.State == "" {
		return
	}
	assert.Check(cl.t, old.State.Open(), "record changed after its end")
	assert.Check(cl.t, next.Fencing >= old.Fencing, "fencing number fell")
	assert.Check(cl.t, next.Revision >= old.Revision && next.Epoch >= old.Epoch)
	assert.Check(cl.t, next.Share == old.Share || next.Revision > old.Revision)
}

// apply gives all instances a document with the plan.
func (cl *testCluster) apply(generation uint64, target, previous string, finishBy time.Duration) {
	doc := &model.Document{Environment: "prod", Generation: generation, Services: []model.Service{{
		Name: serviceName, Routes: routes,
		Plan: model.VersionPlan{Target: target, Previous: previous, FinishBy: cl.start.Add(finishBy)},
	}}}
	for _, m := range cl.instances {
		m.docs.Apply(doc)
	}
}

// run sends traffic and gossip for the given time.
func (cl *testCluster) run(d time.Duration) {
	const step = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for _, m := range cl.instances {
			share := rollout.TargetShare(serviceName, m.docs.Current().Services[0].Plan, m.stops)
			cl.highestShare = max(cl.highestShare, share)
			mean := cl.requestRate * step.Seconds() / float64(len(cl.instances))
			for range int(mean + cl.rng.Float64()) {
				cl.request(m, share)
			}
		}
		cl.gossip()
	}
	synctest.Wait()
}

func (cl *testCluster) request(m *testInstance, share float64) {
	plan := m.docs.Current().Services[0].Plan
	key := model.VersionKey{Serves: serviceName, Version: plan.Previous}
	route, rate := cl.rng.IntN(len(routes)), 0.002
	if cl.rng.Float64() < share {
		key.Version = plan.Target
		rate += cl.failureRate(share, route)
	}
	failed := cl.rng.Float64() < rate
	name := rollout.RouteName(routes[route].Method, routes[route].Path)
	row := evidence.Key{Instance: m.id, Version: key, Route: name, Minute: time.Now().Unix() / 60}
	m.evidence.Observe(row, evidence.Observation{Failed: failed, FirstWait: 50 * time.Millisecond})
	// Worker items are slow under the lock check, so only a sample of the old
	// version's results is observed. It gives the same failure rate.
	if key.Version == plan.Target || cl.rng.IntN(5) == 0 {
		m.detector.Observe(key, name, failed)
	}
}

func (cl *testCluster) gossip() {
	for _, from := range cl.instances {
		rows := from.evidence.InstanceRows(from.id, time.Now().Unix()/60-1)
		for _, to := range cl.instances {
			for key, counts := range rows {
				to.evidence.Merge(key, counts)
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

// shares returns the lowest and the highest share of the target on any instance.
func (cl *testCluster) shares() (lowest, highest float64) {
	lowest = 1
	for _, m := range cl.instances {
		share := rollout.TargetShare(serviceName, m.docs.Current().Services[0].Plan, m.stops)
		lowest, highest = min(lowest, share), max(highest, share)
	}
	return lowest, highest
}

// pauseHolder blocks the worker of the instance that wrote the record last.
func (cl *testCluster) pauseHolder(generation uint64, d time.Duration) {
	for _, m := range cl.instances {
		if m.id == cl.records[generation].Holder {
			m.pool.Post("pause", worker.Func(func() { time.Sleep(d) }))
		}
	}
}

// withCluster runs f on a cluster of three instances in a synctest bubble.
func withCluster(t *testing.T, f func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 3)
		defer cl.close()
		f(cl)
	})
}
