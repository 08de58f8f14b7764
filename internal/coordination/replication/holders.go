package replication

import (
	"cmp"
	"crypto/rand"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxHolderCandidates is the number of instances that an owner tries as
// holders. A reconnect asks the same instances.
const maxHolderCandidates = 6

// Owner returns the instance whose name is the part of a request ID before the
// last dash. The random part after it has no dash, while the name can have
// dashes.
func Owner(id model.RequestID) (model.InstanceID, bool) {
	i := strings.LastIndexByte(string(id), '-')
	if i <= 0 {
		return "", false
	}
	return model.InstanceID(id[:i]), true
}

// NewLine returns the ID of a new line that self owns: at least 64 random
// bits, preceded by the name of self unless the request ID has it already. A
// reconnect finds the owner and its copy holders by these names.
func NewLine(self model.InstanceID, id model.RequestID) model.LineID {
	random := rand.Text()[:16]
	if owner, ok := Owner(id); ok && owner == self {
		return model.LineID(random)
	}
	return model.LineID(string(self) + "-" + random)
}

// lineOwner returns the instance that a line names, or else the one that its
// request names.
func lineOwner(id model.RequestID, line model.LineID) (model.InstanceID, bool) {
	if i := strings.LastIndexByte(string(line), '-'); i > 0 {
		return model.InstanceID(line[:i]), true
	}
	return Owner(id)
}

// Holders returns the instances that may hold copies of a request's log, in
// order of preference: at most six instances that are live or suspected, by
// rendezvous hash of the request ID. Instances of another failure domain in
// the owner's region come first, because their acknowledgements take less than
// the time between two tokens, then instances of other regions, then those of
// the owner's own failure domain.
func Holders(id model.RequestID, owner model.Instance, all []model.Instance) []model.Instance {
	type candidate struct {
		tier   int
		weight uint64
		in     model.Instance
	}
	candidates := make([]candidate, 0, len(all))
	for _, in := range all {
		if in.ID == owner.ID || !canHold(in) {
			continue
		}
		candidates = append(candidates, candidate{tier(owner, in), weight(id, in.ID), in})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.weight, a.weight), cmp.Compare(a.in.ID, b.in.ID))
	})
	holders := make([]model.Instance, 0, maxHolderCandidates)
	for _, c := range candidates[:min(len(candidates), maxHolderCandidates)] {
		holders = append(holders, c.in)
	}
	return holders
}

// moveLostOwnersLast moves the owners of a record's ancestor lines to the end.
// They are probably lost, even if the failure detector has not reported them
// yet.
func moveLostOwnersLast(r *generation.Record, holders []model.Instance) []model.Instance {
	lost := func(in model.Instance) bool {
		return slices.ContainsFunc(r.Forks, func(f generation.Fork) bool {
			owner, _ := lineOwner(r.Spec.Request, f.Line)
			return owner == in.ID
		})
	}
	slices.SortStableFunc(holders, func(a, b model.Instance) int {
		switch lostA, lostB := lost(a), lost(b); {
		case lostA == lostB:
			return 0
		case lostA:
			return 1
		default:
			return -1
		}
	})
	return holders
}

// canHold reports whether an instance can hold copies. A leaving instance
// cannot, because it drops its copies soon.
func canHold(in model.Instance) bool {
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
