package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// NearbyTTL is the TTL of Nearby's answers. It is short, since some callers keep
	// an answer for three times as long, and a planned stop has to wait for them.
	NearbyTTL = 2 * time.Second
	// minNearbyInstances is the number of live instances in the caller's failure
	// domain from which on instances of other failure domains are left out.
	minNearbyInstances = 2
)

// Nearby returns the members of a cell that a caller in the given failure domain
// shall use. members are this instance's cell, whose states it knows; instances of
// other cells answer with the members of theirs. Traffic between failure domains
// is slower and costs more, so instances of other domains are returned only if
// there are too few live ones in the caller's domain, and suspected instances only
// if there are too few live ones at all.
func Nearby(members []model.Instance, domain model.FailureDomain, now time.Time) Endpoints {
	usable := Order(members, nil, string(domain))
	chosen := filterInstances(usable, func(in model.Instance) bool { return in.FailureDomain == domain && in.State == model.InstanceLive })
	if len(chosen) < minNearbyInstances {
		chosen = filterInstances(usable, func(in model.Instance) bool { return in.State == model.InstanceLive })
	}
	if len(chosen) < minNearbyInstances {
		chosen = usable
	}
	return Endpoints{Instances: chosen, TTL: NearbyTTL, At: now}
}

func filterInstances(instances []model.Instance, keep func(model.Instance) bool) []model.Instance {
	var kept []model.Instance
	for _, in := range instances {
		if keep(in) {
			kept = append(kept, in)
		}
	}
	return kept
}
