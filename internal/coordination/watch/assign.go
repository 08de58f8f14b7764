// Package watch decides which instances watch which upstreams, and watches
// the ones that fall to this instance.
package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// WatchersPerUpstream is the number of instances that watch an upstream. The
// second one takes over without a gap when the first one is lost.
const WatchersPerUpstream = 2

// Assignment lists the watchers of an upstream, the first one first.
type Assignment struct {
	Upstream model.Upstream
	Watchers []model.InstanceID
}

// Assign gives each upstream two live instances of its region by rendezvous
// hash. A region without a live instance is watched from the others.
func Assign(upstreams []model.Upstream, instances []model.Instance) []Assignment {
	byRegion := map[string][]model.InstanceID{}
	var all []model.InstanceID
	for _, in := range instances {
		if in.State == model.InstanceLive || in.State == model.InstanceSuspected {
			byRegion[in.Region] = append(byRegion[in.Region], in.ID)
			all = append(all, in.ID)
		}
	}
	assignments := make([]Assignment, 0, len(upstreams))
	for _, u := range upstreams {
		candidates := byRegion[u.Region]
		if len(candidates) == 0 {
			candidates = all
		}
		assignments = append(assignments, Assignment{u, watchers(u.ID, candidates)})
	}
	return assignments
}

// watchers returns the candidates with the highest rendezvous weights.
func watchers(id model.UpstreamID, candidates []model.InstanceID) []model.InstanceID {
	best := make([]model.InstanceID, 0, WatchersPerUpstream+1)
	weights := make([]uint64, 0, WatchersPerUpstream+1)
	for _, c := range candidates {
		w := xxhash.Sum64String(string(c) + "\x00" + string(id))
		i := 0
		for i < len(best) && cmp.Or(cmp.Compare(weights[i], w), cmp.Compare(c, best[i])) > 0 {
			i++
		}
		if i == WatchersPerUpstream {
			continue
		}
		best, weights = slices.Insert(best, i, c), slices.Insert(weights, i, w)
		best = best[:min(len(best), WatchersPerUpstream)]
		weights = weights[:len(best)]
	}
	return best
}
