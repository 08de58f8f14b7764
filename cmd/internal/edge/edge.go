// Package edge assembles an instance on the users' platform: the parts, and the
// order in which they start and stop. The command edged runs one in its process,
// and the experiments of loadgen run several in one process.
package edge

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/cell"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/versions"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/backend"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/edgelink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/ingress"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

const (
	// commitmentTTL is how long the commitments of another instance count after
	// its last state message.
	commitmentTTL = 3 * time.Second
	// peerIdleTimeout ends a connection on which no state has arrived.
	peerIdleTimeout = 4 * time.Second
	// typicalInstances is the assumed number of instances until the list of
	// instances has been read.
	typicalInstances = 12
)

// Options configure an Edge.
type Options struct {
	Settings    platform.Settings
	MetricsPort int          // TCP port of /metrics; 0 means none
	Metrics     http.Handler // nil without MetricsPort
	Policy      forward.Policy
	Log         log.Interface
}

// Edge holds the parts of an instance.
type Edge struct {
	opts      Options
	settings  platform.Settings
	log       log.Interface
	pool      *worker.Pool
	rules     *rules.Table
	instances *instance.Table
	cell      *cell.Tracker
	store     *platform.Store
	client    *backend.Client
	registry  *registry.Manager
	versions  *versions.Manager
	exchange  *exchange.Manager
	peers     *peer.Client
	peerLink  *peer.Server
	forward   *forward.Manager
	ingress   *ingress.Server
	limits    *callerlimit.Guard
	draining  atomic.Bool
}

// New builds an instance and starts its peer listener; it serves no callers yet.
func New(opts Options) (*Edge, error) {
	s, logger := opts.Settings, opts.Log
	e := &Edge{
		opts:      opts,
		settings:  s,
		log:       logger.WithField("part", "edged"),
		pool:      worker.NewPool(worker.Options{}),
		rules:     rules.NewTable(),
		instances: instance.NewTable(),
		store:     platform.NewStore(s.Store, logger),
		client:    backend.New(platform.HeaderNames(), platform.EngineAPI()),
	}
	e.limits = callerlimit.New(callerlimit.Options{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors, Log: logger})
	if s.MemoryBytes > 0 {
		e.client.LimitMemory(e.limits.Budget)
	}
	e.cell = cell.NewTracker(e.instances, s.Instance)
	identity, err := peer.NewPinned(string(s.Instance), e.trustsFingerprint)
	if err != nil {
		return nil, err
	}
	self := e.selfRecord(identity.Fingerprint())
	upstreams := upstream.NewTable()
	commitments := commitment.NewTable(commitmentTTL)
	locations := location.NewTable()
	outcomes := outcome.NewTable()
	moves := move.NewTable()
	suspects := suspect.NewTable(s.Instance)
	demands := demand.NewTable()
	if e.peers, err = peer.NewClient(peerOptions(identity, self)); err != nil {
		return nil, err
	}
	budgets := resend.New(resend.Limit{Ratio: s.Resends.Ratio, Burst: s.Resends.Burst, Window: s.Resends.Window}, typicalInstances)
	link := edgelink.New(e.peers, logger)
	e.registry = registry.New(registry.Options{
		Pool:            e.pool,
		Store:           e.store,
		Peers:           link,
		Self:            self,
		Rules:           e.rules,
		Upstreams:       upstreams,
		Instances:       e.instances,
		Moves:           moves,
		OnVersionOrders: func(orders []model.VersionOrder) { e.versions.AddOrders(orders) },
		OnRestore:       func(era model.Era) { e.versions.StoreRestored(era) },
		Members:         e.cell.Members,
		LeaveTimeout:    s.LeaveTimeout,
		RenewInterval:   s.RenewInterval,
		FirstStart:      s.FirstStart,
		OnInstanceCount: budgets.SetInstances,
		Log:             logger,
	})
	e.versions = versions.New(versions.Options{
		Pool:        e.pool,
		Records:     e.store,
		Moves:       moves,
		Rules:       e.rules,
		Upstreams:   upstreams,
		Commitments: commitments,
		ReadsStore:  e.registry.ReadsStore,
		IsJudge:     e.registry.IsRootReader,
		OnChange:    e.registry.MovesChanged,
		MaxExposure: s.MaxExposure,
		Allowance:   s.ExposureAllowance,
		Log:         logger,
	})
	if err := e.connect(identity, self, link, tables{commitments, upstreams, locations, outcomes, moves, suspects, demands, budgets}, logger); err != nil {
		return nil, err
	}
	e.forward = forward.New(forward.Options{
		Pool:             e.pool,
		Rules:            e.rules,
		Upstreams:        upstreams,
		Commitments:      commitments,
		Locations:        locations,
		Outcomes:         outcomes,
		Moves:            moves,
		Suspects:         suspects,
		Organisations:    organisation.NewTable(),
		Demand:           demands,
		Sender:           e.client,
		Budget:           budgets,
		FailureDomain:    s.FailureDomain,
		FailureDomains:   s.FailureDomains,
		CellMembers:      e.countOtherMembers,
		OtherCells:       func() int { return len(e.cell.OtherFirsts()) },
		PrefersEngine:    e.cell.Prefers,
		Instances:        e.countLive,
		Policy:           opts.Policy,
		StateChanged:     e.exchange.StateChanged,
		SuccessorFound:   e.registry.UpstreamDiscovered,
		UpstreamLeft:     e.exchange.UpstreamLeft,
		ConnectionFailed: e.exchange.ConnectionFailed,
		PublishCrashes:   e.exchange.PublishSuspects,
		RunsTrials:       e.runsTrials,
		Log:              logger,
	})
	e.ingress = ingress.New(ingress.Options{
		Address: s.CallerAddress,
		Names:   platform.HeaderNames(),
		Forward: e.forward,
		Rules:   e.rules,
		Limits:  e.limits,
		Log:     logger,
	})
	return e, nil
}

func peerOptions(identity *peer.PinnedCredentials, self model.Instance) peer.Options {
	return peer.Options{
		Address:     self.ControlAddress,
		Pinned:      identity,
		KeepAlive:   -1, // states are sent more often than a keep-alive would be
		IdleTimeout: peerIdleTimeout,
	}
}

// tables are the tables that the exchange of states reads and fills.
type tables struct {
	commitments *commitment.Table
	upstreams   *upstream.Table
	locations   *location.Table
	outcomes    *outcome.Table
	moves       *move.Table
	suspects    *suspect.Table
	demand      *demand.Table
	resends     *resend.Budgets
}

// connect builds the exchange of states with the other instances and the listener
// for their messages.
func (e *Edge) connect(identity *peer.PinnedCredentials, self model.Instance, link *edgelink.Link,
	shared tables, logger log.Interface) error {
	e.exchange = exchange.New(exchange.Options{
		Pool:        e.pool,
		Self:        self,
		Instances:   e.instances,
		Members:     e.cell.Members,
		OtherFirsts: e.cell.OtherFirsts,
		Commitments: shared.commitments,
		Upstreams:   shared.upstreams,
		Locations:   shared.locations,
		Outcomes:    shared.outcomes,
		Moves:       shared.moves,
		CellName:    e.cell.Name,
		Suspects:    shared.suspects,
		Demand:      shared.demand,
		Resends:     shared.resends,
		Judge:       e.registry.RootReader,
		Link:        link,
		Log:         logger,
	})
	options := peerOptions(identity, self)
	receiver := edgelink.Receiver{
		States:        e.exchange.Receive,
		MoveCounts:    e.exchange.ReceiveMoveCounts,
		CellDemand:    e.exchange.ReceiveCellDemand,
		Suspects:      e.exchange.ReceiveSuspects,
		KnownSuspects: func() suspect.Rows { return shared.suspects.Snapshot(time.Now()) },
		Log:           logger,
	}
	options.Datagrams = receiver.Datagram
	var err error
	e.peerLink, err = peer.NewServer(options, peer.Mux{
		peerwire.KindRegistry:   edgelink.ServeNews(e.registry.ServePoll),
		peerwire.KindState:      receiver,
		peerwire.KindMoveCounts: receiver,
		peerwire.KindCellDemand: receiver,
		peerwire.KindSuspects:   receiver,
	})
	return err
}

// trustsFingerprint reports whether the named instance published the fingerprint.
func (e *Edge) trustsFingerprint(name, fingerprint string) bool {
	in, found := e.instances.Get(model.InstanceID(name))
	if !found || in.Fingerprint != fingerprint {
		e.registry.ReportUnknownInstance()
		return false
	}
	return true
}

// selfRecord returns the record of this instance that the others get.
func (e *Edge) selfRecord(fingerprint string) model.Instance {
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

// Start starts to read the store, to exchange states with the other instances, and to
// plan which work leaves the failure domain.
func (e *Edge) Start() {
	e.registry.Start()
	e.exchange.Start()
	e.forward.StartLocality()
}

// Traffic returns the bytes on the wire that this instance sent to the other
// instances and received from them.
func (e *Edge) Traffic() (sent, received uint64) {
	client, server := e.peers.Traffic(), e.peerLink.Traffic()
	return client.WireBytesSent + server.WireBytesSent, client.WireBytesReceived + server.WireBytesReceived
}

// runsTrials reports whether this instance is the first of the live ones, by rendezvous
// hashing of the fingerprint.
func (e *Edge) runsTrials(fp suspect.Fingerprint) bool {
	var live []model.InstanceID
	for _, in := range e.instances.All() {
		if in.State == model.InstanceLive {
			live = append(live, in.ID)
		}
	}
	return lease.Rank(string(fp), e.settings.Instance, live) == 0
}

// countOtherMembers returns the number of other live instances of the cell.
func (e *Edge) countOtherMembers() (n int) {
	for _, in := range e.cell.Members() {
		if in.State == model.InstanceLive && in.ID != e.settings.Instance {
			n++
		}
	}
	return n
}

// countLive returns the number of live instances.
func (e *Edge) countLive() (n int) {
	for _, in := range e.instances.All() {
		if in.State == model.InstanceLive {
			n++
		}
	}
	return n
}
