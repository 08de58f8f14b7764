// Package routing chooses the version and the upstream for each request.
//
// The choices are pure functions (ChooseVersion, EstimateFinish, the
// policies); Router calls them with data from the shared tables. Router must not
// queue or retry: admission and the relay do that.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Options configure a Router.
type Options struct {
	Documents *document.Table
	Upstreams *upstream.Table
	Stops     *stop.Table
	Prefixes  *prefix.Table
	Policy    Policy // nil means EarliestFinish
	// Rand returns the random number generator for one choice. Nil means a generator
	// with a random seed; benchmarks set a fixed seed.
	Rand func() *rand.Rand
}

// Router chooses versions and upstreams.
type Router struct {
	opts Options
}

// New returns a Router over the tables.
func New(opts Options) *Router {
	if opts.Policy == nil {
		opts.Policy = EarliestFinish
	}
	if opts.Rand == nil {
		opts.Rand = newRand
	}
	return &Router{opts: opts}
}

// FindVersionPlan returns the version plan of a model or service in the document.
func FindVersionPlan(d *model.Document, serves string) (model.VersionPlan, bool) {
	if d == nil {
		return model.VersionPlan{}, false
	}
	for _, m := range d.Models {
		if m.Name == serves {
			return m.Plan, true
		}
	}
	for _, s := range d.Services {
		if s.Name == serves {
			return s.Plan, true
		}
	}
	return model.VersionPlan{}, false
}

// ChooseVersion returns the version for a new request.
func (r *Router) ChooseVersion(serves string, id model.RequestID) string {
	return r.ChooseVersionWithRule(serves, id).Version
}

// ChooseVersionWithRule returns the version for a new request and the rule that chose it.
func (r *Router) ChooseVersionWithRule(serves string, id model.RequestID) VersionChoice {
	plan, _ := FindVersionPlan(r.opts.Documents.Current(), serves)
	view := VersionView{
		Plan:            plan,
		Share:           rollout.TargetShare(serves, plan, r.opts.Stops),
		TargetStopped:   r.opts.Stops.Stopped(model.VersionKey{Serves: serves, Version: plan.Target}),
		PreviousPresent: r.opts.Upstreams.HasVersion(serves, plan.Previous),
	}
	return ChooseVersionWithRule(view, id)
}

// Placement describes a request for which Pick chooses an upstream.
type Placement struct {
	Serves  string
	Version string // empty means any
	Adapter string // empty means none
	Work    Work
	Blocks  []prefix.Block              // prefix blocks of the prompt
	Exclude func(model.UpstreamID) bool // upstreams to leave out; nil means none
	Now     time.Time
}

// Pick returns the upstream for the placement and counts the request as in
// flight there. The caller releases it with upstream.Table.Release. It returns
// false if there is no candidate, or if a new document removes the chosen one
// meanwhile.
func (r *Router) Pick(p Placement) (model.Upstream, Estimate, bool) {
	candidates := r.candidates(p)
	i := r.opts.Policy(candidates, p.Work, r.opts.Rand())
	if i < 0 {
		return model.Upstream{}, Estimate{}, false
	}
	chosen := candidates[i]
	up, ok := r.opts.Upstreams.Acquire(chosen.Load.Upstream, p.Now)
	if !ok {
		return model.Upstream{}, Estimate{}, false
	}
	r.opts.Prefixes.Add(up.ID, p.Blocks)
	return up, EstimateFinish(chosen, p.Work), true
}

// newRand returns a generator for one choice; rand.Rand is not safe for
// concurrent use.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// candidates returns the upstreams that may take the placement, in the order
// of their IDs, so that a choice depends only on the generator.
func (r *Router) candidates(p Placement) []Candidate {
	loads := r.opts.Upstreams.Loads(p.Serves, p.Version, p.Adapter, p.Now)
	cached := r.opts.Prefixes.CachedBytes(p.Blocks)
	candidates := make([]Candidate, 0, len(loads))
	for _, load := range loads {
		if p.Exclude == nil || !p.Exclude(load.Upstream) {
			candidates = append(candidates, Candidate{Load: load, CachedBytes: cached[load.Upstream]})
		}
	}
	return candidates
}
