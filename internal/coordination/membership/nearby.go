package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// NearbyTTL is short, since some callers keep an answer for three times as
	// long, and a planned stop has to wait for them.
	NearbyTTL = 2 * time.Second
	// enoughNearby is the number of live instances of one failure domain that
	// are answered without the others.
	enoughNearby = 2
)

// Nearby returns the members of a cell that a caller of the given failure
// domain shall use. The members are those of which the state is known; other
// instances answer with theirs. Between failure domains traffic is slower and
// costs more, and suspected instances are named only if there are too few
// others.
func Nearby(members []model.Instance, domain model.FailureDomain, now time.Time) Endpoints {
	usable := Order(members, nil, string(domain))
	chosen := only(usable, func(in model.Instance) bool { return in.FailureDomain == domain && in.State == model.InstanceLive })
	if len(chosen) < enoughNearby {
		chosen = only(usable, func(in model.Instance) bool { return in.State == model.InstanceLive })
	}
	if len(chosen) < enoughNearby {
		chosen = usable
	}
	return Endpoints{Instances: chosen, TTL: NearbyTTL, At: now}
}

func only(all []model.Instance, keep func(model.Instance) bool) []model.Instance {
	var kept []model.Instance
	for _, in := range all {
		if keep(in) {
			kept = append(kept, in)
		}
	}
	return kept
}
