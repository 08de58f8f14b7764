package order_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/order"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store/storetest"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
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

// fakeEngines runs each order after the next of delays, even if the sender has
// given up by then. It also stands in for the weight store.
type fakeEngines struct {
	mu             sync.Mutex
	t              assert.TestingT
	leases         *storetest.Rows[lease.Record]
	delays         []int         // milliseconds until an order takes effect, used in turn
	nextRetryAfter time.Duration // Retry-After of the next order
	refusedAt      time.Time
	lastRetryAfter time.Duration // Retry-After of the refused order
	states         map[model.UpstreamID]order.State
	fencing        map[model.UpstreamID]uint64 // fencing number of the last order that ran
	sent           []time.Time
}

func (e *fakeEngines) State(_ context.Context, u model.Upstream) (order.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[u.ID], nil
}

func (e *fakeEngines) Order(_ context.Context, u model.Upstream, fencing uint64, want order.State) error {
	row, err := e.leases.Get(context.Background(), lease.Key("orders/r"))
	if err == nil {
		assert.Check(e.t, row.Value.Fencing == fencing, "order under %d sent while %d holds", fencing, row.Value.Fencing)
	}
	if wait := e.admitLoad(); wait > 0 {
		return &order.RetryAfterError{After: wait}
	}
	time.Sleep(e.nextDelay())
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing[u.ID] > fencing {
		assert.Check(e.t, u.Fencing == model.FencingHonoured, "%s ran an order under %d after %d", u.ID, fencing, e.fencing[u.ID])
		return order.ErrStaleFencing
	}
	e.fencing[u.ID] = fencing
	e.states[u.ID] = want
	return nil
}

func (e *fakeEngines) nextDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.delays) == 0 {
		return 0
	}
	return time.Duration(e.delays[len(e.sent)%len(e.delays)]) * time.Millisecond
}

// admitLoad returns 0 if the weight store admits a load, otherwise its Retry-After.
func (e *fakeEngines) admitLoad() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	// Loads sent at the same time as the refused one were sent before its answer
	// arrived.
	concurrent := now.Equal(e.refusedAt)
	assert.Check(e.t, concurrent || !now.Before(e.refusedAt.Add(e.lastRetryAfter)), "load sent before Retry-After was over")
	if e.nextRetryAfter > 0 {
		e.lastRetryAfter, e.nextRetryAfter, e.refusedAt = e.nextRetryAfter, 0, now
		return e.lastRetryAfter
	}
	e.sent = append(e.sent, now)
	return 0
}

func upstreams(version string, n int) []model.Upstream {
	var list []model.Upstream
	for i := range n {
		u := model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("e%d", i)), Kind: model.KindEngine, Region: "r",
			Serves: "m", Version: version, Fencing: model.FencingHonoured,
			Adapters: []string{"a", "b"}, Role: "decode",
		}
		if i%2 == 1 {
			u.Fencing = model.FencingIgnored
		}
		list = append(list, u)
	}
	return list
}

type region struct {
	engines *fakeEngines
	pools   []*worker.Pool
	docs    *document.Table
}

func newRegion(t assert.TestingT, n int) *region {
	leases := storetest.New[lease.Record]()
	r := &region{docs: document.NewTable(), engines: &fakeEngines{
		t: t, leases: leases, states: map[model.UpstreamID]order.State{}, fencing: map[model.UpstreamID]uint64{},
	}}
	for i := range n {
		pool := worker.NewPool(worker.Options{Workers: 1})
		r.pools = append(r.pools, pool)
		order.NewManager(order.Config{
			Self: model.InstanceID(fmt.Sprintf("i%d", i)), Region: "r", Pool: pool, Leases: leases,
			Documents: r.docs, Engines: r.engines, LoadsPerSecond: 2, LoadBurst: 3,
		}).Start()
	}
	return r
}

func (r *region) close() {
	for _, p := range r.pools {
		p.Close()
	}
}

// pauseHolder blocks the instance that holds the lease for a duration.
func (r *region) pauseHolder(d time.Duration) {
	row, err := r.engines.leases.Get(context.Background(), lease.Key("orders/r"))
	if err != nil {
		return
	}
	i, _ := strconv.Atoi(string(row.Value.Holder[1:]))
	r.pools[i].Post("pause", worker.Func(func() { time.Sleep(d) }))
}

func (r *region) countServing(version string) int {
	n := 0
	for _, s := range r.engines.states {
		if s.Equal(order.State{Model: "m", Version: version, Adapters: []string{"a", "b"}, Role: "decode"}) {
			n++
		}
	}
	return n
}

// Guards against loads that exceed the weight store's rate, are sent before its
// Retry-After is over, or are never sent.
func TestOrdersRespectTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 1)
		defer r.close()
		r.engines.nextRetryAfter = 20 * time.Second
		r.docs.Apply(&model.Document{Generation: 1, Upstreams: upstreams("v1", 20)})
		time.Sleep(90 * time.Second)
		synctest.Wait()
		assert.Equal(t, r.countServing("v1"), 20)
		for i := range r.engines.sent {
			for j := i + 1; j < len(r.engines.sent); j++ {
				allowed := 3 + 2*r.engines.sent[j].Sub(r.engines.sent[i]).Seconds()
				assert.Assert(t, float64(j-i+1) <= allowed+1e-6, "%d loads within %v", j-i+1, r.engines.sent[j].Sub(r.engines.sent[i]))
			}
		}
	})
}

// Guards against an order that unloads adapters or changes a role although the
// document names neither.
func TestOrderKeepsWhatTheDocumentDoesNotName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 1)
		defer r.close()
		r.engines.states["e0"] = order.State{Model: "m", Version: "v1", Adapters: []string{"x"}, Role: "prefill"}
		u := upstreams("v2", 1)[0]
		u.Adapters, u.Role = nil, ""
		r.docs.Apply(&model.Document{Generation: 1, Upstreams: []model.Upstream{u}})
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, r.engines.states["e0"], order.State{Model: "m", Version: "v2", Adapters: []string{"x"}, Role: "prefill"})
	})
}

// Guards against orders of a former lease holder that take effect after those of
// a new holder, orders sent after the term of their holder, and engines that end
// up with the version of an older document.
func TestOrdersAcrossHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		delay := rapid.OneOf(rapid.IntRange(0, 200), rapid.IntRange(9000, 9900))
		delays := rapid.SliceOfN(delay, 1, 20).Draw(rt, "delays")
		pauses := rapid.SliceOfN(rapid.IntRange(1000, 3000), 6, 6).Draw(rt, "pauses")
		length := time.Duration(rapid.IntRange(8, 20).Draw(rt, "length")) * time.Second
		rapid.SyncTest(rt, func(rt *rapid.T) {
			r := newRegion(rt, 3)
			defer r.close()
			r.engines.delays = delays
			for i, p := range pauses {
				version := fmt.Sprintf("v%d", i+1)
				r.docs.Apply(&model.Document{Generation: uint64(i + 1), Upstreams: upstreams(version, 6)})
				time.Sleep(time.Duration(p) * time.Millisecond)
				r.pauseHolder(length)
				time.Sleep(15 * time.Second)
			}
			time.Sleep(90 * time.Second)
			synctest.Wait()
			if n := r.countServing("v6"); n != 6 {
				rt.Fatalf("%d of 6 engines serve the last version", n)
			}
		})
	})
}
