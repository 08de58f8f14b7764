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
	// lastRegistered is when this instance was last registered.
	lastRegistered time.Time
	// lastRead is when the list was last read, cached its instances, and
	// listBytes its size.
	lastRead  time.Time
	cached    []membership.ListedInstance
	listBytes int
}

// registerInterval bounds how long this instance is missing from the platform's
// list after the platform lost its entry. 640 instances make 11 writes/s.
const registerInterval = time.Minute

func newLister(c *control) *lister {
	return &lister{directory: platform.NewDirectory(c.platform), control: c, leaving: membership.NewLeavingUpstreams()}
}

// ListInstances implements membership.Lister. It registers this instance, and
// marks the upstreams that the platform lists as leaving. It returns the cached
// list until the read interval is over.
func (l *lister) ListInstances(ctx context.Context) ([]membership.ListedInstance, error) {
	if time.Since(l.lastRegistered) >= registerInterval {
		if err := l.directory.RegisterInstance(ctx, l.control.self); err != nil {
			return nil, err
		}
		l.lastRegistered = time.Now()
	}
	if time.Since(l.lastRead) < membership.ReadInterval(l.listBytes) {
		return l.cached, nil
	}
	machines, err := l.directory.List(ctx)
	if err != nil {
		return nil, err
	}
	l.announceLeaving(machines.Upstreams)
	listed := make([]membership.ListedInstance, 0, len(machines.Instances))
	for _, in := range machines.Instances {
		listed = append(listed, membership.ListedInstance{
			ID:             in.ID,
			Incarnation:    in.Incarnation,
			ControlAddress: in.ControlAddress,
			Leaving:        in.State == model.InstanceLeaving,
		})
	}
	l.lastRead, l.cached, l.listBytes = time.Now(), listed, machines.UncompressedBytes
	return listed, nil
}

// announceLeaving announces to the peers the upstreams that the list shows as
// leaving.
func (l *lister) announceLeaving(list []platform.ListedUpstream) {
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
