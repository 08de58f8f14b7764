package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/access"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/order"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/watch"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
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
	"github.com/sequoiavalve/sequoiavalve/internal/transport/debugserver"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/engine"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peerlink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/probe"
)

const (
	// entryDrainTimeout bounds how long the control process waits, before it
	// stops, for the entry process to finish draining.
	entryDrainTimeout = 5 * time.Minute
	// leaseReleaseTime is left for the release of the leases that this process
	// holds, so that other instances can take them before the terms end.
	leaseReleaseTime = 300 * time.Millisecond
)

// tables are the shared tables of the process.
type tables struct {
	documents *document.Table
	instances *instance.Table
	upstreams *upstream.Table
	stops     *stop.Table
	evidence  *evidence.Table
	suspects  *suspect.Table
	directory *membership.Directory
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
	engines  *engine.OrderClient
	watcher  *environment.Watcher
	gossip   *gossip.Manager
	watch    *watch.Manager
	moves    *rollout.Manager
	orders   *order.Manager
	debug    *debugserver.Server // nil without a debug address

	viewSubscribers atomic.Int32 // entry processes that subscribe to the views
	entryDraining   atomic.Bool  // the entry process reported that it drains
	stopping        context.Context
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// newControl builds and connects the parts. It starts only the peer listener.
func newControl(s *settings.Controld, metrics http.Handler, logger log.Interface) (*control, error) {
	c := &control{
		settings: s,
		log:      logger.WithField("part", "control"),
		pool:     worker.NewPool(worker.Options{Workers: s.Workers}),
		prober:   probe.New(),
		engines:  engine.NewOrders(),
		tables:   newTables(s.Instance),
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
	c.stopping, c.cancel = context.WithCancel(context.Background())
	var err error
	if c.platform, err = platform.New(platform.Options{BaseURL: s.Platform, Timeout: s.Polls.PlatformTimeout}); err != nil {
		return nil, err
	}
	files := peer.Options{CertFile: s.TLS.Cert, KeyFile: s.TLS.Key, CAFile: s.TLS.CA, KeepAlive: -1}
	if c.peers, err = peer.NewClient(files); err != nil {
		return nil, err
	}
	c.wire()
	files.Address = s.PeerListen
	if c.server, err = peer.NewServer(files, c.handlers()); err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	return c, c.listen(metrics)
}

// listen serves the debug address, if there is one.
func (c *control) listen(metrics http.Handler) error {
	if c.settings.MetricsListen == "" {
		return nil
	}
	operators := access.Operators{Documents: c.tables.documents, CredentialSHA256: c.settings.Debug.CredentialSHA256}
	handler := debugserver.NewHandler(debugserver.Options{
		Instance:     c.settings.Instance,
		Process:      debugapi.ProcessControl,
		Environment:  c.settings.Environment,
		Documents:    c.tables.documents,
		Instances:    c.tables.instances,
		Upstreams:    c.tables.upstreams,
		Admit:        operators.Admit,
		InstanceAges: c.gossip.Ages,
		Log:          c.log,
	})
	var err error
	c.debug, err = debugserver.FromSettings(c.settings.Common, handler, metrics, c.log)
	return err
}

func newTables(self model.InstanceID) tables {
	instances := instance.NewTable()
	return tables{
		documents: document.NewTable(),
		instances: instances,
		upstreams: upstream.NewTable(),
		stops:     stop.NewTable(),
		evidence:  evidence.NewTable(),
		suspects:  suspect.NewTable(self),
		directory: membership.NewDirectory(instances),
	}
}

// viewTables returns the tables whose views are sent to the entry process.
func (c *control) viewTables() view.Tables {
	return view.Tables{
		Documents: c.tables.documents,
		Instances: c.tables.instances,
		Upstreams: c.tables.upstreams,
		Stops:     c.tables.stops,
		Suspects:  c.tables.suspects,
		Directory: c.tables.directory,
	}
}

func (c *control) handlers() peer.Mux {
	return peer.Mux{
		peerwire.KindView:   controllink.ServeViews(c.viewTables(), c.countSubscriber),
		peerwire.KindReport: controllink.ServeReports(c.applyReport),
		peerwire.KindGossip: peerlink.ServeGossip(c.gossip.HandleExchange),
	}
}

// countSubscriber counts the entry processes that subscribe to the views.
func (c *control) countSubscriber(subscribed bool) {
	if subscribed {
		c.viewSubscribers.Add(1)
		return
	}
	c.viewSubscribers.Add(-1)
}

// start starts the background work of the process.
func (c *control) start() {
	c.watcher.Start()
	c.gossip.Start()
	c.watch.Start()
	c.moves.Start()
	c.orders.Start()
}

// leave announces that the instance is leaving and waits until the entry process
// has drained.
func (c *control) leave() {
	c.gossip.Leave()
	c.log.Info("instance is leaving; waiting for the entry process to drain")
	deadline := time.Now().Add(entryDrainTimeout)
	for c.viewSubscribers.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
}

// stop ends the parts in the reverse order of their start.
func (c *control) stop() {
	if c.debug != nil {
		if err := c.debug.Close(); err != nil {
			c.log.WithError(err).Warn("closing the debug server failed")
		}
	}
	c.cancel()
	c.running.Wait()
	c.moves.Stop()
	c.orders.Stop()
	c.watcher.Stop()
	time.Sleep(leaseReleaseTime)
	c.pool.Close()
	if err := c.server.Close(); err != nil {
		c.log.WithError(err).Warn("closing the peer listener failed")
	}
	if err := c.peers.Close(); err != nil {
		c.log.WithError(err).Warn("closing the peer connections failed")
	}
	c.engines.Close()
	c.platform.Close()
	c.log.Info("stopped")
}
