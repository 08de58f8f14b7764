package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/controllink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/probe"
)

// leaveTime bounds the wait for the entry process before the control process
// stops.
const leaveTime = 5 * time.Minute

// tables are the shared tables of the process.
type tables struct {
	documents *document.Table
	instances *instance.Table
	upstreams *upstream.Table
	stops     *stop.Table
	evidence  *evidence.Table
	suspects  *suspect.Table
}

// control holds the parts of the process.
type control struct {
	settings *settings.Controld
	log      log.Interface
	pool     *worker.Pool
	tables   tables
	self     model.Instance

	platform *platform.Client
	prober   *probe.Prober
	peers    *peer.Client
	server   *peer.Server
	watcher  *environment.Watcher
	metrics  *http.Server

	followers atomic.Int32 // entry processes that follow the views
	running   sync.WaitGroup
}

// newControl wires the parts. Nothing but the peer listener is started.
func newControl(s *settings.Controld, logger log.Interface) (*control, error) {
	c := &control{
		settings: s,
		log:      logger.WithField("part", "control"),
		pool:     worker.NewPool(worker.Options{Workers: s.Workers}),
		prober:   probe.New(),
		tables: tables{
			documents: document.NewTable(),
			instances: instance.NewTable(),
			upstreams: upstream.NewTable(),
			stops:     stop.NewTable(),
			evidence:  evidence.NewTable(),
			suspects:  suspect.NewTable(s.Instance),
		},
		self: model.Instance{
			ID:             s.Instance,
			Incarnation:    uint64(time.Now().UnixNano()),
			Region:         s.Region,
			FailureDomain:  s.FailureDomain,
			CallerAddress:  s.EntryAdvertised,
			EntryAddress:   s.Entry,
			ControlAddress: s.PeerAdvertised,
			State:          model.InstanceLive,
		},
	}
	var err error
	if c.platform, err = platform.New(platform.Options{BaseURL: s.Platform, Timeout: s.Polls.PlatformTimeout}); err != nil {
		return nil, err
	}
	c.watcher = environment.NewWatcher(environment.Options{
		Environment: s.Environment,
		Rows:        platform.NewRows[environment.Head](c.platform, platform.StateTable),
		Objects:     platform.NewObjects(c.platform),
		Table:       c.tables.documents,
		Pool:        c.pool,
		Parse:       envdoc.Decode,
		Applied:     c.applied,
		Interval:    s.Polls.Document,
	})
	files := peer.Options{CertFile: s.TLS.Cert, KeyFile: s.TLS.Key, CAFile: s.TLS.CA, KeepAlive: -1}
	if c.peers, err = peer.NewClient(files); err != nil {
		return nil, err
	}
	files.Address = s.PeerListen
	if c.server, err = peer.NewServer(files, c.handlers()); err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	return c, nil
}

// viewed returns the tables that the entry process follows.
func (c *control) viewed() view.Tables {
	return view.Tables{
		Documents: c.tables.documents,
		Instances: c.tables.instances,
		Upstreams: c.tables.upstreams,
		Stops:     c.tables.stops,
		Suspects:  c.tables.suspects,
	}
}

func (c *control) handlers() peer.Mux {
	return peer.Mux{
		peerwire.KindView:   controllink.ServeViews(c.viewed(), c.followed),
		peerwire.KindReport: controllink.ServeReports(c.takeReport),
	}
}

func (c *control) followed(comes bool) {
	if comes {
		c.followers.Add(1)
		return
	}
	c.followers.Add(-1)
}

// applied configures the upstreams of a new document.
func (c *control) applied(d *model.Document) {
	c.tables.upstreams.Configure(d.Upstreams)
	c.log.WithField("generation", d.Generation).Info("document is in force")
}

// takeReport merges what the entry process found.
func (c *control) takeReport(r view.Report) {
	c.pool.Post("report", worker.Func(func() {
		for _, row := range r.Evidence {
			c.tables.evidence.Merge(row.Key, row.Counts)
		}
		for _, s := range r.Stops {
			c.tables.stops.Add(s)
		}
		for _, l := range r.Leaves {
			c.tables.upstreams.Leave(l.Upstream)
		}
		c.tables.suspects.Merge(r.Suspects, time.Now())
		if r.Draining {
			c.markLeaving()
		}
	}))
}

func (c *control) markLeaving() {
	leaving := c.self
	leaving.State = model.InstanceLeaving
	if c.tables.instances.Merge(leaving) {
		c.log.Info("instance is leaving")
	}
}

// start begins the duties of the process.
func (c *control) start(metrics http.Handler) {
	c.tables.instances.Merge(c.self)
	c.watcher.Start()
	c.pool.Post(directoryKey, worker.Func(c.readDirectory))
	c.pool.Post(probeKey, worker.Func(c.probeAll))
	c.serveMetrics(metrics)
}

func (c *control) serveMetrics(handler http.Handler) {
	if c.settings.MetricsListen == "" {
		return
	}
	c.metrics = &http.Server{Addr: c.settings.MetricsListen, Handler: handler, ReadHeaderTimeout: time.Second}
	c.running.Go(func() {
		if err := c.metrics.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			c.log.WithError(err).Error("metrics are not served")
		}
	})
}

// leave announces the stop and waits for the entry process, which drains.
func (c *control) leave() {
	c.markLeaving()
	deadline := time.Now().Add(leaveTime)
	for c.followers.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
}

// stop ends the parts in the reverse order of their start.
func (c *control) stop() {
	if c.metrics != nil {
		_ = c.metrics.Close() // scrapes can be repeated elsewhere
	}
	c.running.Wait()
	c.watcher.Stop()
	c.pool.Close()
	if err := c.server.Close(); err != nil {
		c.log.WithError(err).Warn("peer listener did not close")
	}
	if err := c.peers.Close(); err != nil {
		c.log.WithError(err).Warn("peer connections did not close")
	}
	c.platform.Close()
	c.log.Info("stopped")
}

// Interim duties until gossip and shared watching are wired.
const (
	directoryKey worker.Key = "directory"
	probeKey     worker.Key = "probe"
)

func (c *control) readDirectory() {
	directory := platform.NewDirectory(c.platform)
	worker.Call(c.pool, directoryKey, c.settings.Polls.PlatformTimeout, func(ctx context.Context) (platform.Machines, error) {
		if err := directory.RegisterInstance(ctx, c.self); err != nil {
			return platform.Machines{}, err
		}
		return directory.List(ctx)
	}, func(m platform.Machines, err error) {
		c.pool.After(c.settings.Polls.Instances, directoryKey, worker.Func(c.readDirectory))
		if err != nil {
			return
		}
		for _, in := range m.Instances {
			c.tables.instances.Merge(in)
		}
		for _, u := range m.Upstreams {
			if u.Leaving {
				c.tables.upstreams.Leave(u.Upstream.ID)
			}
		}
	})
}

func (c *control) probeAll() {
	for _, row := range c.tables.upstreams.Serving("") {
		up := row.Upstream
		worker.Call(c.pool, probeKey, time.Second, func(ctx context.Context) (upstream.Report, error) {
			return c.prober.Probe(ctx, up)
		}, func(r upstream.Report, err error) {
			if err != nil {
				return
			}
			r.Sequence = uint64(time.Now().UnixNano())
			c.tables.upstreams.Apply(r)
		})
	}
	c.pool.After(c.settings.Polls.Upstreams, probeKey, worker.Func(c.probeAll))
}
