package main

import (
	"context"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

// lister reads the platform's list of machines. It implements
// membership.Lister.
type lister struct {
	directory *platform.Directory
	control   *control
	leaving   *membership.LeavingUpstreams
	// registered is when this instance was last registered.
	registered time.Time
	// read is when the list was last read, listed what it held, and bytes its
	// size.
	read   time.Time
	listed []membership.ListedInstance
	bytes  int
}

// registerInterval bounds the time for which a platform that lost the entry
// does not list this instance. 640 instances make 11 writes/s.
const registerInterval = time.Minute

func newLister(c *control) *lister {
	return &lister{directory: platform.NewDirectory(c.platform), control: c, leaving: membership.NewLeavingUpstreams()}
}

// ListInstances implements membership.Lister. It registers this instance, and
// marks the upstreams that the platform lists as leaving. Until the list is due
// to be read again it returns the last one.
func (l *lister) ListInstances(ctx context.Context) ([]membership.ListedInstance, error) {
	if time.Since(l.registered) >= registerInterval {
		if err := l.directory.RegisterInstance(ctx, l.control.self); err != nil {
			return nil, err
		}
		l.registered = time.Now()
	}
	if time.Since(l.read) < membership.ReadInterval(l.bytes) {
		return l.listed, nil
	}
	machines, err := l.directory.List(ctx)
	if err != nil {
		return nil, err
	}
	l.takeUpstreams(machines.Upstreams)
	listed := make([]membership.ListedInstance, 0, len(machines.Instances))
	for _, in := range machines.Instances {
		listed = append(listed, membership.ListedInstance{
			ID:             in.ID,
			Incarnation:    in.Incarnation,
			ControlAddress: in.ControlAddress,
			Leaving:        in.State == model.InstanceLeaving,
		})
	}
	l.read, l.listed, l.bytes = time.Now(), listed, machines.Bytes
	return listed, nil
}

// takeUpstreams announces the upstreams that the list shows as leaving.
func (l *lister) takeUpstreams(list []platform.ListedUpstream) {
	var leaves []gossip.UpstreamLeave
	now := time.Now()
	for _, u := range list {
		id := u.Upstream.ID
		row, ok := l.control.tables.upstreams.Get(id)
		if !ok || row.Report.Incarnation == 0 {
			continue
		}
		if incarnation, marked := l.leaving.Observe(id, u.Leaving, row.Report.Incarnation, now); marked {
			leaves = append(leaves, gossip.UpstreamLeave{Upstream: id, Incarnation: incarnation, At: now})
		}
	}
	if len(leaves) > 0 {
		l.control.gossip.Announce(gossip.Delta{Leaves: leaves})
	}
}
