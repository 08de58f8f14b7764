package suspicion

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// PermitIssuers returns the permit issuers of the live instances, sorted by their rendezvous hash
// with the fingerprint, so that all instances ask the same permit issuer first.
func PermitIssuers(fp suspect.Fingerprint, instances []model.Instance, issuer func(model.Instance) PermitIssuer) []PermitIssuer {
	live := slices.DeleteFunc(slices.Clone(instances), func(in model.Instance) bool {
		return in.State != model.InstanceLive
	})
	weight := func(in model.Instance) uint64 { return xxhash.Sum64String(string(fp) + "\x00" + string(in.ID)) }
	slices.SortFunc(live, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	issuers := make([]PermitIssuer, 0, len(live))
	for _, in := range live {
		issuers = append(issuers, issuer(in))
	}
	return issuers
}

// LocalPermitIssuer is the permit issuer of this instance.
type LocalPermitIssuer struct {
	Manager *Manager
}

// RequestPermit implements PermitIssuer.
func (g LocalPermitIssuer) RequestPermit(_ context.Context, fp suspect.Fingerprint, holder suspect.Holder) (bool, error) {
	return g.Manager.GrantPermit(fp, holder), nil
}
