package membership

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// NearbyTTL is short, since some callers keep an answer for three times as
	// long, and a planned stop has to wait for them.
	NearbyTTL = 2 * time.Second
	// enoughNearby is the number of instances of one failure domain that are
	// answered without those of other domains.
	enoughNearby = 2
)

// Nearby returns the instances of a caller's failure domain, or all where there
// are too few of them. Between failure domains traffic is slower and costs more.
func (d *Directory) Nearby(domain model.FailureDomain, now time.Time) Endpoints {
	all := Order(d.instances.All(), d.SilentRegions(), string(domain))
	near := make([]model.Instance, 0, len(all))
	for _, in := range all {
		if in.FailureDomain == domain {
			near = append(near, in)
		}
	}
	if len(near) < enoughNearby {
		near = all
	}
	return Endpoints{Instances: near, TTL: NearbyTTL, At: now}
}
