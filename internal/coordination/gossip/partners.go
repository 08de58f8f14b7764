package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Sizes of the partner sets and the time between two replacements. More
// partners cost connections, fewer slow down the spread; a random graph with
// 12 edges for each instance is connected at this fleet size.
const (
	regionPartners  = 12
	foreignPartners = 4
	replaceInterval = 10 * time.Second
)

// partners chooses the instances to talk to.
type partners struct {
	rnd      *rand.Rand
	region   string
	near     []model.InstanceID // of the own region
	far      []model.InstanceID // of other regions
	replaced time.Time
}

// refresh makes the sets match the members, and replaces one partner of each
// set when it is time.
func (p *partners) refresh(members []model.Instance, now time.Time) {
	var near, far []model.InstanceID
	for _, in := range members {
		switch {
		case in.State == model.InstanceDead:
		case in.Region == p.region:
			near = append(near, in.ID)
		default:
			far = append(far, in.ID)
		}
	}
	replace := now.Sub(p.replaced) >= replaceInterval
	if replace {
		p.replaced = now
	}
	p.near = p.choose(p.near, near, regionPartners, replace)
	p.far = p.choose(p.far, far, foreignPartners, replace)
}

// choose keeps the partners that are still candidates and fills the set up to
// the limit.
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

// urgent returns the partners that get an urgent change: two of the own region
// and one of another, as far as there are.
func (p *partners) urgent() []model.InstanceID {
	far := p.pick(p.far, 1)
	near := p.pick(p.near, urgentPeers-len(far))
	if missing := urgentPeers - len(near) - len(far); missing > 0 {
		far = p.pick(p.far, len(far)+missing)
	}
	return append(near, far...)
}
