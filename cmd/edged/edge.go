package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2/transport"
	kratos "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/cell"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/backend"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/edgelink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/ingress"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

const (
	// commitmentLife is the time for which another instance's work counts after
	// it was last heard of.
	commitmentLife = 3 * time.Second
	// peerIdleTime ends a connection over which no state came.
	peerIdleTime = 4 * time.Second
	// typicalInstances stands in for the number of instances until it is known.
	typicalInstances = 12
	// stopMargin is left of the platform's time for a stop to end connections.
	stopMargin = 400 * time.Millisecond
	// streamTime is the time of a long stream. New ones are refused when less
	// than that is left before the stop.
	streamTime = 7 * time.Second
	// drainInterval is the time between checks for the last request.
	drainInterval = 50 * time.Millisecond
)

// edge holds the parts of the process.
type edge struct {
	settings  platform.Settings
	log       log.Interface
	pool      *worker.Pool
	rules     *rules.Table
	instances *instance.Table
	cell      *cell.Tracker
	store     *platform.Store
	client    *backend.Client
	registry  *registry.Manager
	exchange  *exchange.Manager
	peers     *peer.Client
	peerLink  *peer.Server
	forward   *forward.Manager
	ingress   *ingress.Server
	leaving   atomic.Bool
}

func newEdge(s platform.Settings, logger log.Interface) (*edge, error) {
	e := &edge{
		settings:  s,
		log:       logger.WithField("part", "edged"),
		pool:      worker.NewPool(worker.Options{}),
		rules:     rules.NewTable(),
		instances: instance.NewTable(),
		store:     platform.NewStore(s.Store, logger),
		client:    backend.New(platform.Names(), platform.EngineCalls()),
	}
	e.cell = cell.NewTracker(e.instances, s.Instance)
	identity, err := peer.NewPinned(string(s.Instance), e.trusts)
	if err != nil {
		return nil, err
	}
	self := e.self(identity.Fingerprint())
	upstreams := upstream.NewTable()
	commitments := commitment.NewTable(commitmentLife)
	locations := location.NewTable()
	if e.peers, err = peer.NewClient(peerOptions(identity, self)); err != nil {
		return nil, err
	}
	budgets := resend.New(resend.Limit{Ratio: s.Resends.Ratio, Burst: s.Resends.Burst, Window: s.Resends.Window}, typicalInstances)
	link := edgelink.New(e.peers, logger)
	e.registry = registry.New(registry.Options{
		Pool:      e.pool,
		Store:     e.store,
		Peers:     link,
		Self:      self,
		Rules:     e.rules,
		Upstreams: upstreams,
		Instances: e.instances,
		Members:   e.cell.Members,
		LeaveTime: s.LeaveTime,
		Counted:   budgets.SetInstances,
		Log:       logger,
	})
	if err := e.connect(identity, self, link, tables{commitments, upstreams, locations}, logger); err != nil {
		return nil, err
	}
	e.forward = forward.New(forward.Options{
		Pool:          e.pool,
		Rules:         e.rules,
		Upstreams:     upstreams,
		Commitments:   commitments,
		Locations:     locations,
		Sender:        e.client,
		Budget:        budgets,
		FailureDomain: s.FailureDomain,
		Owns:          e.cell.Owns,
		Changed:       e.exchange.Changed,
		Found:         e.registry.Found,
		Failed:        e.exchange.Failed,
		Log:           logger,
	})
	e.ingress = ingress.New(ingress.Options{
		Address: s.CallerAddress,
		Names:   platform.Names(),
		Forward: e.forward,
		Rules:   e.rules,
		Log:     logger,
	})
	return e, nil
}

func peerOptions(identity *peer.Pinned, self model.Instance) peer.Options {
	return peer.Options{
		Address:     self.ControlAddress,
		Pinned:      identity,
		KeepAlive:   -1, // states are sent more often
		IdleTimeout: peerIdleTime,
	}
}

// tables are what the exchange of states reads and fills.
type tables struct {
	commitments *commitment.Table
	upstreams   *upstream.Table
	locations   *location.Table
}

// connect exchanges states with the other instances and listens for them.
func (e *edge) connect(identity *peer.Pinned, self model.Instance, link *edgelink.Link,
	shared tables, logger log.Interface) error {
	e.exchange = exchange.New(exchange.Options{
		Pool:        e.pool,
		Self:        self,
		Instances:   e.instances,
		Members:     e.cell.Members,
		Commitments: shared.commitments,
		Upstreams:   shared.upstreams,
		Locations:   shared.locations,
		Link:        link,
		Log:         logger,
	})
	options := peerOptions(identity, self)
	options.Datagrams = edgelink.Receive(e.exchange.Receive, logger)
	var err error
	e.peerLink, err = peer.NewServer(options, peer.Mux{peerwire.KindRegistry: edgelink.ServeNews(e.registry.News)})
	return err
}

// trusts reports whether an instance published the fingerprint.
func (e *edge) trusts(name, fingerprint string) bool {
	in, known := e.instances.Get(model.InstanceID(name))
	if !known || in.Fingerprint != fingerprint {
		e.registry.ReadInstancesSoon()
		return false
	}
	return true
}

// self is this instance as others see it.
func (e *edge) self(fingerprint string) model.Instance {
	return model.Instance{
		ID:             e.settings.Instance,
		Incarnation:    uint64(time.Now().UnixNano()),
		Region:         e.settings.Region,
		FailureDomain:  e.settings.FailureDomain,
		CallerAddress:  e.settings.CallerAddress,
		ControlAddress: e.settings.PeerAddress,
		State:          model.InstanceLive,
		Fingerprint:    fingerprint,
	}
}

func (e *edge) start() {
	e.registry.Start()
	e.exchange.Start()
}

// servers are the listeners of the process.
func (e *edge) servers(metricsPort int, metrics http.Handler) []transport.Server {
	list := []transport.Server{e.ingress, plainServer(e.settings.ReadyAddress, platform.ReadyPath, platform.ReadyHandler(e.ready))}
	if e.settings.AddressService != "" {
		list = append(list, plainServer(e.settings.AddressService, platform.AddressPath, platform.AddressHandler(e.nearby)))
	}
	if metricsPort > 0 {
		host, _, err := net.SplitHostPort(e.settings.CallerAddress)
		if err == nil {
			list = append(list, plainServer(net.JoinHostPort(host, strconv.Itoa(metricsPort)), "/metrics", metrics))
		}
	}
	return list
}

// reloadOn reads the settings again at the signal. Addresses and names do not
// change while the process runs; what it checks is that the next start will do.
func (e *edge) reloadOn(sig os.Signal, path string) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sig)
	go func() {
		for range signals {
			fresh, err := platform.LoadSettings(path)
			if err != nil {
				e.log.WithError(err).Error("reload: settings are not valid, the old ones stay in force")
				continue
			}
			e.log.WithField("changed", fresh != e.settings).Info("reload: settings read; a change takes effect at the next start")
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// closer ends a server without waiting: its requests can be repeated.
type closer struct{ *kratos.Server }

// Start implements transport.Server.
func (c closer) Start(ctx context.Context) error {
	if err := c.Server.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop implements transport.Server.
func (c closer) Stop(context.Context) error { return c.Close() }

func plainServer(address, path string, handler http.Handler) transport.Server {
	s := kratos.NewServer(kratos.Address(address))
	s.Handle(path, handler)
	return closer{s}
}

// nearby answers a caller that asks for addresses. Before the instances are
// known it names none, so that callers ask another one.
func (e *edge) nearby(domain model.FailureDomain, now time.Time) membership.Endpoints {
	if !e.registry.InstancesKnown() {
		return membership.Endpoints{}
	}
	return membership.Nearby(e.cell.Members(), domain, now)
}

// ready reports whether requests can be served.
func (e *edge) ready() bool { return !e.leaving.Load() && e.rules.Current() != nil }

// drain is the planned stop: callers are sent elsewhere while their requests
// are still served, and the last requests end.
func (e *edge) drain(ctx context.Context) error {
	began := time.Now()
	end := began.Add(e.settings.StopTime - stopMargin)
	e.log.WithField("running", e.forward.Running()).WithField("until", end).Info("drain begins")
	e.leaving.Store(true)
	e.exchange.Leave()
	e.registry.Withdraw()
	at := func(due time.Time) { sleepUntil(ctx, due) }
	at(began.Add(e.settings.StopTime - stopMargin - streamTime))
	e.ingress.RefuseStreams()
	at(began.Add(membership.NearbyTTL))
	e.ingress.CloseConnections()
	at(began.Add(3 * membership.NearbyTTL)) // some callers keep answers for three times their life
	for e.forward.Running() > 0 && time.Now().Before(end) {
		at(time.Now().Add(drainInterval))
	}
	e.log.WithField("running", e.forward.Running()).Info("drain ends")
	return nil
}

func sleepUntil(ctx context.Context, due time.Time) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (e *edge) stop() {
	e.pool.Close()
	if err := errors.Join(e.peerLink.Close(), e.peers.Close()); err != nil {
		e.log.WithError(err).Warn("peer connections did not close")
	}
	e.client.Close()
	e.store.Close()
}
