package replication

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxChoices is the number of instances that an owner tries as holders. A
// reconnect asks the same instances.
const maxChoices = 6

// Owner returns the instance that a request ID names. The random part of the
// ID holds no dash; the instance's name may.
func Owner(id model.RequestID) (model.InstanceID, bool) {
	i := strings.LastIndexByte(string(id), '-')
	if i <= 0 {
		return "", false
	}
	return model.InstanceID(id[:i]), true
}

// Holders returns the instances that may hold copies of a request's log, best
// first: at most six live instances by rendezvous hash of the request ID.
// Instances of another failure domain in the owner's region come first, so
// that an acknowledgement takes less than the time between two tokens, then
// instances of other regions, then those of the owner's own failure domain.
func Holders(id model.RequestID, owner model.Instance, all []model.Instance) []model.Instance {
	type candidate struct {
		tier   int
		weight uint64
		in     model.Instance
	}
	candidates := make([]candidate, 0, len(all))
	for _, in := range all {
		if in.ID == owner.ID || !mayHold(in) {
			continue
		}
		candidates = append(candidates, candidate{tier(owner, in), weight(id, in.ID), in})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.weight, a.weight), cmp.Compare(a.in.ID, b.in.ID))
	})
	holders := make([]model.Instance, 0, maxChoices)
	for _, c := range candidates[:min(len(candidates), maxChoices)] {
		holders = append(holders, c.in)
	}
	return holders
}

// mayHold reports whether an instance can hold copies. A leaving instance
// drops its copies soon.
func mayHold(in model.Instance) bool {
	return in.State == model.InstanceLive || in.State == model.InstanceSuspected
}

func tier(owner, in model.Instance) int {
	switch {
	case in.FailureDomain == owner.FailureDomain:
		return 2
	case in.Region == owner.Region:
		return 0
	default:
		return 1
	}
}

// weight is the rendezvous weight of an instance for a request.
func weight(id model.RequestID, in model.InstanceID) uint64 {
	return xxhash.Sum64String(string(in) + "\x00" + string(id))
}
