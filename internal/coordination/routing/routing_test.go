package routing

import (
	"fmt"
	"math/rand/v2"
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

// Guards against a request that changes its version while the share rises, and
// against shares that are not met.
func TestShareOnlyMovesRequestsToTheTarget(t *testing.T) {
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

// Guards against new work for a stopped version, or for a target whose share
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

// Guards against an explanation that names another rule than the one that
// chose the version.
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
		assert.Equal(t, ExplainVersion(c.view, "i-x"), c.want)
	}
}

func router(upstreams ...model.Upstream) (*Router, *upstream.Table) {
	docs, ups := document.NewTable(), upstream.NewTable()
	docs.Apply(&model.Document{Generation: 1, Upstreams: upstreams})
	ups.Configure(upstreams)
	return New(Options{Documents: docs, Upstreams: ups, Stops: stop.NewTable(), Prefixes: prefix.NewTable()}), ups
}

// Guards against work for upstreams that are down, leaving or marked, and
// against a placement that ignores its own work in flight.
func TestPickSpreadsOverUsableUpstreams(t *testing.T) {
	r, ups := router(model.Upstream{ID: "a", Serves: "m"}, model.Upstream{ID: "b", Serves: "m"},
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
	ups.Failed("c", now.Add(time.Second))
	ups.Failed("d", now.Add(time.Second))
	_, _, ok := r.Pick(Placement{Serves: "m", Now: now})
	assert.Assert(t, !ok)
}

// Guards against cached prefixes that pile all work on one upstream.
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

// Guards against a request that goes to an upstream which a new document
// removed while the choice was made, where it would not be counted.
func TestPickOfRemovedUpstream(t *testing.T) {
	r, ups := router(model.Upstream{ID: "a", Serves: "m"})
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
