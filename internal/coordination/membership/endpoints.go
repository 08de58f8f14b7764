package membership

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// EndpointTTL is the time for which a caller may cache an answer.
const EndpointTTL = 10 * time.Second

// Endpoints is the answer to a caller that asks for the addresses of instances.
type Endpoints struct {
	Instances []model.Instance // in the order in which the caller should try them
	TTL       time.Duration
	At        time.Time // when the answer was made
}

// Directory answers callers from the instance table. It is safe for
// concurrent use.
type Directory struct {
	instances     *instance.Table
	silentRegions atomic.Pointer[[]string]
}

// NewDirectory returns a directory over a table.
func NewDirectory(instances *instance.Table) *Directory {
	d := &Directory{instances: instances}
	d.SetSilentRegions(nil)
	return d
}

// SetSilentRegions sets the regions from which no heartbeats arrive. Their
// instances are left out of answers.
func (d *Directory) SetSilentRegions(regions []string) {
	regions = slices.Sorted(slices.Values(regions))
	d.silentRegions.Store(&regions)
}

// SilentRegions returns the regions that are left out, sorted.
func (d *Directory) SilentRegions() []string { return *d.silentRegions.Load() }

// Endpoints returns the instances for a caller, given its address and
// organisation as one key.
func (d *Directory) Endpoints(callerKey string, now time.Time) Endpoints {
	return Endpoints{Instances: Order(d.instances.All(), d.SilentRegions(), callerKey), TTL: EndpointTTL, At: now}
}

// Order returns the instances that may serve callers, by rendezvous hash of
// the caller's key, so that a caller keeps its instance while others come and
// go. Suspected instances come last; leaving and dead ones are left out.
func Order(all []model.Instance, silentRegions []string, callerKey string) []model.Instance {
	type ranked struct {
		in     model.Instance
		weight uint64
	}
	var usable []ranked
	for _, in := range all {
		live := in.State == model.InstanceLive || in.State == model.InstanceSuspected
		if live && in.CallerAddress != "" && !slices.Contains(silentRegions, in.Region) {
			usable = append(usable, ranked{in, xxhash.Sum64String(string(in.ID) + "\x00" + callerKey)})
		}
	}
	slices.SortFunc(usable, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(instance.StateRank(a.in.State), instance.StateRank(b.in.State)),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.in.ID, b.in.ID),
		)
	})
	ordered := make([]model.Instance, 0, len(usable))
	for _, r := range usable {
		ordered = append(ordered, r.in)
	}
	return ordered
}
