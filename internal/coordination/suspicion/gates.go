package suspicion

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Gates returns the gates of the live instances, sorted by their rendezvous hash
// with the fingerprint, so that all instances ask the same gate first.
func Gates(fp suspect.Fingerprint, instances []model.Instance, gate func(model.Instance) Gate) []Gate {
	live := slices.DeleteFunc(slices.Clone(instances), func(in model.Instance) bool {
		return in.State != model.InstanceLive
	})
	weight := func(in model.Instance) uint64 { return xxhash.Sum64String(string(fp) + "\x00" + string(in.ID)) }
	slices.SortFunc(live, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	gates := make([]Gate, 0, len(live))
	for _, in := range live {
		gates = append(gates, gate(in))
	}
	return gates
}

// LocalGate is the gate of this instance.
type LocalGate struct {
	Manager *Manager
}

// Permit implements Gate.
func (g LocalGate) Permit(_ context.Context, fp suspect.Fingerprint, holder suspect.Holder) (bool, error) {
	return g.Manager.Grant(fp, holder), nil
}
