package main

import (
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/order"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/watch"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peerlink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
)

// wire builds the managers of the process and connects them to their tables and
// transport.
func (c *control) wire() {
	s, t := c.settings, c.tables
	leases := platform.NewRows[lease.Record](c.platform, platform.StateTable)
	c.watcher = environment.NewWatcher(environment.Options{
		Environment:  s.Environment,
		Rows:         platform.NewRows[environment.Head](c.platform, platform.StateTable),
		Objects:      platform.NewObjects(c.platform),
		Table:        t.documents,
		Pool:         c.pool,
		Parse:        envdoc.Decode,
		OnApplied:    func(*model.Document) { c.gossip.DocumentChanged() },
		PollInterval: s.Polls.Document,
		Instances:    func() int { return len(c.liveInstances("")) },
	})
	c.gossip = gossip.NewManager(gossip.Options{
		Self:  c.self,
		Pool:  c.pool,
		Peers: peerlink.NewControlClient(c.peers),
		Tables: gossip.Tables{
			Documents: t.documents,
			Instances: t.instances,
			Upstreams: t.upstreams,
			Stops:     t.stops,
			Evidence:  t.evidence,
			Suspects:  t.suspects,
		},
		Directory:    t.directory,
		Seeds:        s.Peers,
		Lister:       newLister(c),
		ListInterval: s.Polls.Instances,
	})
	c.watch = watch.NewManager(watch.Options{
		Self:      s.Instance,
		Pool:      c.pool,
		Documents: t.documents,
		Instances: t.instances,
		Upstreams: t.upstreams,
		Prober:    c.prober,
		Publisher: c.gossip,
	})
	c.moves = rollout.NewManager(rollout.Config{
		Self:       s.Instance,
		Pool:       c.pool,
		Moves:      platform.NewRows[rollout.Move](c.platform, platform.StateTable),
		Leases:     leases,
		Documents:  t.documents,
		Stops:      t.stops,
		Evidence:   t.evidence,
		Candidates: func() []model.InstanceID { return c.liveInstances("") },
	})
	c.orders = order.NewManager(order.Config{
		Self:           s.Instance,
		Region:         s.Region,
		Pool:           c.pool,
		Leases:         leases,
		Documents:      t.documents,
		Engines:        c.engines,
		Candidates:     func() []model.InstanceID { return c.liveInstances(s.Region) },
		LoadsPerSecond: s.Weights.LoadsPerSecond,
		LoadBurst:      s.Weights.Burst,
	})
	environment.ObserveDocument(t.documents)
	rollout.RegisterShareMetrics(t.documents, t.stops)
	c.running.Go(c.configureUpstreams)
}

// liveInstances returns the live instances of a region, or of all regions.
func (c *control) liveInstances(region string) []model.InstanceID {
	var ids []model.InstanceID
	for _, in := range c.tables.instances.All() {
		if in.State == model.InstanceLive && (region == "" || in.Region == region) {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// configureUpstreams updates the upstream table to each new document, whether it
// came from the store or from a peer.
func (c *control) configureUpstreams() {
	generation := uint64(0)
	for {
		changed := c.tables.documents.Changed()
		if d := c.tables.documents.Current(); d != nil && d.Generation > generation {
			generation = d.Generation
			c.tables.upstreams.Configure(d.Upstreams)
			c.log.WithField("generation", d.Generation).Info("document is in force")
		}
		select {
		case <-changed:
		case <-c.stopping.Done():
			return
		}
	}
}

// applyReport merges the evidence that the entry process collected, and
// announces its stops, leaving upstreams and suspects to the other instances.
func (c *control) applyReport(r view.Report) {
	c.pool.Post("report", worker.Func(func() {
		for _, row := range r.Evidence {
			c.tables.evidence.Merge(row.Key, row.Counts)
		}
		delta := gossip.Delta{Stops: r.Stops, Leaves: r.Leaves, Suspects: r.Suspects}
		if !delta.Empty() {
			c.gossip.Announce(delta)
		}
		if r.Draining && c.entryDraining.CompareAndSwap(false, true) {
			c.gossip.Leave()
			c.log.Info("entry process is draining; announced that the instance is leaving")
		}
	}))
}
