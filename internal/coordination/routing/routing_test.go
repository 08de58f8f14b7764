package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// Guards against a request that moves back to the previous version while the target's
// share rises, and against shares that are not met.
func TestRisingShareMovesRequestsToTheTargetOnly(t *testing.T) {
	view := VersionView{Plan: model.VersionPlan{Target: "2", Previous: "1"}, PreviousPresent: true}
	const n = 20_000
	moved := map[int]bool{}
	for _, share := range []float64{0, 0.01, 0.25, 0.5, 1} {
		view.Share = share
		count := 0
		for i := range n {
			version := ChooseVersion(view, model.RequestID(fmt.Sprintf("i-%d", i)))
			if version == "2" {
				count++
				moved[i] = true
			}
			assert.Assert(t, version == "2" || !moved[i], "request %d moved back at share %v", i, share)
		}
		got := float64(count) / n
		assert.Assert(t, got > share-0.01 && got < share+0.01, "share %v, got %v", share, got)
	}
}

// Guards against new requests to a stopped version, or to a target version whose share
// is not known.
func TestVersionChoice(t *testing.T) {
	move := model.VersionPlan{Target: "2", Previous: "1"}
	cases := []struct {
		name string
		view VersionView
		want string
	}{
		{"stopped", VersionView{Plan: move, Share: 1, TargetStopped: true, PreviousPresent: true}, "1"},
		{"no share", VersionView{Plan: move, PreviousPresent: true}, "1"},
		{"previous removed", VersionView{Plan: move}, "2"},
		{"no move", VersionView{Plan: model.VersionPlan{Target: "2"}}, "2"},
		{"no plan", VersionView{}, ""},
	}
	for _, c := range cases {
		assert.Equal(t, ChooseVersion(c.view, "i-x"), c.want, c.name)
	}
}

// Guards against an explanation that does not name the rule that chose the version.
func TestVersionRules(t *testing.T) {
	move := model.VersionPlan{Target: "2", Previous: "1"}
	cases := []struct {
		view VersionView
		want VersionChoice
	}{
		{VersionView{Plan: move, Share: 1, PreviousPresent: true}, VersionChoice{"2", generation.VersionTarget, 1}},
		{VersionView{Plan: move, Share: 0, PreviousPresent: true}, VersionChoice{"1", generation.VersionPrevious, 0}},
		{VersionView{Plan: move, Share: 1, TargetStopped: true, PreviousPresent: true}, VersionChoice{"1", generation.VersionStopped, 1}},
		{VersionView{Plan: move, Share: 0.5}, VersionChoice{"2", generation.VersionOnly, 0}},
		{VersionView{}, VersionChoice{"", generation.VersionAny, 0}},
	}
	for _, c := range cases {
		assert.Equal(t, ChooseVersionWithRule(c.view, "i-x"), c.want)
	}
}

func newRouter(upstreams ...model.Upstream) (*Router, *upstream.Table) {
	docs, ups := document.NewTable(), upstream.NewTable()
	docs.Apply(&model.Document{Generation: 1, Upstreams: upstreams})
	ups.Configure(upstreams)
	return New(Options{Documents: docs, Upstreams: ups, Stops: stop.NewTable(), Prefixes: prefix.NewTable()}), ups
}

// Guards against requests to upstreams that are down, leaving or marked as failed, and
// against placements that ignore this instance's own requests in flight.
func TestPickSpreadsOverUsableUpstreams(t *testing.T) {
	r, ups := newRouter(model.Upstream{ID: "a", Serves: "m"}, model.Upstream{ID: "b", Serves: "m"},
		model.Upstream{ID: "c", Serves: "m"}, model.Upstream{ID: "d", Serves: "m"})
	now := time.Now()
	ups.Apply(upstream.Report{Upstream: "a", Sequence: 1, Health: upstream.HealthDown})
	ups.Leave("b")
	picked := map[model.UpstreamID]int{}
	for range 10 {
		up, _, ok := r.Pick(Placement{Serves: "m", Now: now})
		assert.Assert(t, ok)
		picked[up.ID]++
	}
	assert.DeepEqual(t, picked, map[model.UpstreamID]int{"c": 5, "d": 5})
	ups.RecordFailure("c", now, now.Add(time.Second))
	ups.RecordFailure("d", now, now.Add(time.Second))
	_, _, ok := r.Pick(Placement{Serves: "m", Now: now})
	assert.Assert(t, !ok)
}

// Guards against cached prefixes that draw all requests to one upstream.
func TestAffinityIsBounded(t *testing.T) {
	candidates := make([]Candidate, 4)
	candidates[0].CachedBytes = 100_000
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		i := EarliestFinish(candidates, Work{PromptBytes: 100_000, Tokens: 10}, rng)
		candidates[i].Load.InFlight++
		candidates[i].Load.Sent++
	}
	assert.Assert(t, candidates[0].Load.InFlight < 50, "%d of 100 on one upstream", candidates[0].Load.InFlight)
	assert.Assert(t, candidates[0].Load.InFlight > 20, "the cache was not used")
}

// Guards against a request that goes to an upstream which a new document removed
// during the choice. The request would not be counted as in flight.
func TestPickOfRemovedUpstream(t *testing.T) {
	r, ups := newRouter(model.Upstream{ID: "a", Serves: "m"})
	r.opts.Policy = func(candidates []Candidate, _ Work, _ *rand.Rand) int {
		if len(candidates) == 0 {
			return -1
		}
		ups.Configure(nil)
		return 0
	}
	_, _, ok := r.Pick(Placement{Serves: "m", Now: time.Now()})
	assert.Assert(t, !ok)
}

// burst is a fleet of instances with the same engines but separate tables, which send
// prompts with one hot prefix.
type burst struct {
	routers []*Router
	tables  []*upstream.Table
	blocks  []prefix.Block
	work    Work
	now     time.Time
	running map[model.UpstreamID]int // on the engines, from all instances
}

// newBurst returns a fleet in which all instances remember the prefix on
// engine e0 alone.
func newBurst(instances, engines int, work Work) *burst {
	b := &burst{
		work: work, blocks: prefix.Blocks(strings.Repeat("8 bytes ", work.PromptBytes/8)),
		now: time.Unix(1_700_000_000, 0), running: map[model.UpstreamID]int{},
	}
	var upstreams []model.Upstream
	for i := range engines {
		upstreams = append(upstreams, model.Upstream{ID: model.UpstreamID(fmt.Sprintf("e%d", i)), Serves: "m"})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range instances {
		r, table := newRouter(upstreams...)
		r.opts.Rand = func() *rand.Rand { return rng }
		r.opts.Prefixes.Add("e0", b.blocks)
		b.routers, b.tables = append(b.routers, r), append(b.tables, table)
	}
	return b
}

// send makes each instance place n requests and returns how many requests went to
// each engine.
func (b *burst) send(t *testing.T, n int) map[model.UpstreamID]int {
	t.Helper()
	placed := map[model.UpstreamID]int{}
	for range n {
		for _, r := range b.routers {
			b.now = b.now.Add(time.Millisecond)
			up, _, ok := r.Pick(Placement{Serves: "m", Work: b.work, Blocks: b.blocks, Now: b.now})
			assert.Assert(t, ok)
			placed[up.ID]++
			b.running[up.ID]++
		}
	}
	return placed
}

// report applies a report with the current load of each engine to all instances.
func (b *burst) report(sequence uint64) {
	for _, table := range b.tables {
		for _, row := range table.Serving("m") {
			table.Apply(upstream.Report{
				Upstream: row.Upstream.ID, Incarnation: 1, Sequence: sequence, Health: upstream.HealthUp,
				Running: b.running[row.Upstream.ID], TokenTime: 20 * time.Millisecond, PrefillRate: 100_000, At: b.now,
			})
		}
	}
}

// Guards against a hot prefix that draws a whole burst to the engine that has it
// cached. A single instance must spread its burst without a report in between: by the
// estimate if outputs are long, and by the bound on affinity if outputs are so short
// that the estimate hardly depends on the load.
func TestHotPrefixBurstSpreads(t *testing.T) {
	const engines, requests = 10, 200
	cases := []struct {
		work Work
		used int // least number of engines that get requests
	}{
		{Work{PromptBytes: 8 << 10, Tokens: 280}, engines},
		{Work{PromptBytes: 32 << 10, Tokens: 1}, engines / 2}, // the others would need to compute the prompt
	}
	for _, c := range cases {
		b := newBurst(1, engines, c.work)
		b.report(1)
		assert.DeepEqual(t, b.send(t, 1), map[model.UpstreamID]int{"e0": 1}) // idle, so the cache counts
		b.send(t, requests-1)
		for id, n := range b.running {
			assert.Assert(t, n <= 2*requests/engines, "%v: %s got %d of %d", c.work, id, n, requests)
		}
		assert.Assert(t, len(b.running) >= c.used, "%v: %v", c.work, b.running)
	}
}

// Guards against instances that continue to send to the engine that has a hot prefix
// cached after a report shows that this engine would finish later than the others.
func TestHotPrefixBurstOfManyInstancesSpreads(t *testing.T) {
	const instances, engines, each = 20, 10, 5
	b := newBurst(instances, engines, Work{PromptBytes: 8 << 10, Tokens: 280})
	b.report(1)
	first := b.send(t, 1)
	assert.Equal(t, first["e0"], instances, "no instance sees the others' requests before the next report")
	b.report(2)
	later := b.send(t, each)
	mean := instances * each / engines
	assert.Assert(t, later["e0"] < mean, "%v", later)
	for id, n := range later {
		assert.Assert(t, n <= 2*mean, "%s got %d: %v", id, n, later)
	}
}
