package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Sizes of the partner sets and the time between two replacements. More
// partners cost connections, fewer slow down the spread of changes; a random
// graph with 12 edges for each instance is connected at the target scale of
// 640 instances.
const (
	localPartners   = 12
	remotePartners  = 4
	replaceInterval = 10 * time.Second
)

// partners holds the instances that this instance exchanges with, and picks
// from them.
type partners struct {
	rnd          *rand.Rand
	region       string
	local        []model.InstanceID // in this instance's region
	remote       []model.InstanceID // in other regions
	lastReplaced time.Time
}

// refresh removes partners that are dead or no longer members, fills up the
// sets, and replaces one partner of each set every replaceInterval.
func (p *partners) refresh(members []model.Instance, now time.Time) {
	var local, remote []model.InstanceID
	for _, in := range members {
		switch {
		case in.State == model.InstanceDead:
		case in.Region == p.region:
			local = append(local, in.ID)
		default:
			remote = append(remote, in.ID)
		}
	}
	replace := now.Sub(p.lastReplaced) >= replaceInterval
	if replace {
		p.lastReplaced = now
	}
	p.local = p.choose(p.local, local, localPartners, replace)
	p.remote = p.choose(p.remote, remote, remotePartners, replace)
}

// choose keeps the partners that are still candidates and fills the set up to
// the limit. With replace it first removes one partner of a full set.
func (p *partners) choose(old, candidates []model.InstanceID, limit int, replace bool) []model.InstanceID {
	kept := slices.DeleteFunc(slices.Clone(old), func(id model.InstanceID) bool {
		return !slices.Contains(candidates, id)
	})
	if replace && len(kept) == limit && len(candidates) > limit {
		i := p.rnd.IntN(len(kept))
		kept = slices.Delete(kept, i, i+1)
	}
	if len(kept) >= min(limit, len(candidates)) {
		return kept
	}
	for _, i := range p.rnd.Perm(len(candidates)) {
		if len(kept) < limit && !slices.Contains(kept, candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// pick returns up to n random partners of a set.
func (p *partners) pick(set []model.InstanceID, n int) []model.InstanceID {
	picked := slices.Clone(set)
	p.rnd.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// urgentTargets returns the partners that are sent an urgent change: two of
// this instance's region and one of another. If one set has too few, the other
// makes up the number.
func (p *partners) urgentTargets() []model.InstanceID {
	remote := p.pick(p.remote, 1)
	local := p.pick(p.local, urgentFanout-len(remote))
	if missing := urgentFanout - len(local) - len(remote); missing > 0 {
		remote = p.pick(p.remote, len(remote)+missing)
	}
	return append(local, remote...)
}
