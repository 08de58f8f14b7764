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
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/admission"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/frontend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerserver"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/controllink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/debugserver"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/engine"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peerlink"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/service"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

const (
	// copyAfter is the age of a generation from which its tokens are copied to
	// another instance. With 1 s, losing the owner and the engine together ended
	// answers that were younger. A generation at the target scale has 280 tokens
	// on average; at 62 ms each, the first second has 16 of them.
	copyAfter  = 200 * time.Millisecond
	retainTime = time.Minute // how long an ended generation is remembered
)

// entry holds the parts of the process.
type entry struct {
	settings *settings.Entryd
	log      log.Interface
	pool     *worker.Pool
	tables   *tables

	engines   *engine.Client
	services  *service.Client
	platform  *platform.Client
	peers     *peer.Client
	server    *peer.Server
	callers   *callerserver.Server
	debug     *debugserver.Server // nil without a debug address
	admission *admission.Manager
	detector  *rollout.Detector

	link     *controllink.Link
	draining atomic.Bool
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newEntry builds and connects the parts. It starts only the peer listener.
func newEntry(s *settings.Entryd, metrics http.Handler, logger log.Interface) (*entry, error) {
	e := &entry{
		settings: s,
		log:      logger.WithField("part", "entry"),
		pool:     worker.NewPool(worker.Options{Workers: s.Workers}),
		tables:   newTables(s.Instance),
		engines:  engine.New(),
		services: service.New(),
	}
	var err error
	if e.platform, err = platform.New(platform.Options{BaseURL: s.Platform}); err != nil {
		return nil, err
	}
	files := peer.Options{CertFile: s.TLS.Cert, KeyFile: s.TLS.Key, CAFile: s.TLS.CA}
	if e.peers, err = peer.NewClient(files); err != nil {
		return nil, err
	}
	logs, err := e.wire(metrics)
	if err != nil {
		return nil, err
	}
	files.Address = s.PeerListen
	if e.server, err = peer.NewServer(files, logs.Handlers()); err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	return e, nil
}

// wire builds the managers of the process and connects them to each other and to
// the transport.
func (e *entry) wire(metrics http.Handler) (peerlink.EntryServer, error) {
	t, self := e.tables, e.settings.Instance
	logClient := peerlink.NewClient(e.peers)
	holder := replication.NewHolder(replication.HolderOptions{Pool: e.pool})
	copies := replication.NewManager(replication.Options{
		Self: self, Pool: e.pool, Table: t.generations, Instances: t.instances, Peers: logClient, Holder: holder,
		Counters: replication.NewMetrics(holder),
	})
	guard := suspicion.New(suspicion.Options{Pool: e.pool, Suspects: t.suspects, PlannedShutdown: e.stopAnnounced})
	guard.PermitIssuers = e.permitIssuers(logClient, guard)
	router := routing.New(routing.Options{
		Documents: t.documents, Upstreams: t.upstreams, Stops: t.stops, Prefixes: t.prefixes,
	})
	environment.ObserveDocument(t.documents)
	rollout.RegisterShareMetrics(t.documents, t.stops)
	e.detector = rollout.NewDetector(self, e.pool, t.stops, e.logStop)
	e.admission = admission.New(admission.Options{Pool: e.pool, Organisations: t.organisations, Capacity: e.capacity})
	generations := relay.New(relay.Options{
		Pool:        e.pool,
		Generations: t.generations,
		Upstreams:   t.upstreams,
		Router:      router,
		Engines:     e.engines,
		Admission:   admitter{e.admission},
		Copier:      copies,
		Guard:       guard,
		Observe:     func(up model.Upstream, o evidence.Observation) { e.observe(up, rollout.GenerateRoute, o) },
		NewLine:     func(id model.RequestID) model.LineID { return replication.NewLine(self, id) },
		CopyAfter:   copyAfter,
		Retain:      retainTime,
		Log:         e.log,
	})
	calls := call.New(call.Options{
		Pool:     e.pool,
		Instance: self,
		Calls:    t.calls,
		Claims:   platform.NewRows[call.Claim](e.platform, platform.StateTable),
		Sender:   e.services,
		Pick:     pickService(router, t.upstreams),
		Observe:  e.observe,
	})
	front := frontend.New(frontend.Options{
		Instance: self, Documents: t.documents, Generations: t.generations, Relay: generations, Replication: copies, Calls: calls,
	})
	e.link = &controllink.Link{Client: e.peers, ControlAddress: e.settings.Control, Log: e.log.WithField("part", "control link")}
	if err := e.listen(front, metrics); err != nil {
		return peerlink.EntryServer{}, err
	}
	return peerlink.EntryServer{
		Holder:      holder,
		Manager:     copies,
		AddReader:   generations.AddReader,
		GrantPermit: guard.GrantPermit,
	}, nil
}

// listen creates the server for callers and, if the settings have an address for
// it, the debug server. It starts neither.
func (e *entry) listen(front *frontend.Frontend, metrics http.Handler) error {
	s := e.settings
	config, err := tlsfiles.Server(s.ListenTLS.Cert, s.ListenTLS.Key)
	if err != nil {
		return fmt.Errorf("listen_tls: %w", err)
	}
	options := callerserver.Options{
		Address:       s.Listen,
		Frontend:      front,
		Endpoints:     endpoints{e.tables.directory, s.Instance, &e.draining},
		Metrics:       metrics,
		Debug:         e.debugHandler(front),
		TLS:           config,
		MaxBodyBytes:  s.Limits.BodyBytes,
		HeaderTimeout: s.Limits.HeaderTime,
		BodyTimeout:   s.Limits.BodyTime,
		Log:           e.log,
	}
	if s.MetricsListen != "" {
		if e.debug, err = debugserver.FromSettings(s.Common, options.Debug, metrics, e.log); err != nil {
			return err
		}
		options.Debug, options.Metrics = nil, nil
	}
	e.callers = callerserver.New(options)
	return nil
}

func (e *entry) debugHandler(front *frontend.Frontend) http.Handler {
	operators := access.Operators{Documents: e.tables.documents, CredentialSHA256: e.settings.Debug.CredentialSHA256}
	return debugserver.NewHandler(debugserver.Options{
		Instance:    e.settings.Instance,
		Process:     debugapi.ProcessEntry,
		Environment: e.settings.Environment,
		Documents:   e.tables.documents,
		Instances:   e.tables.instances,
		Upstreams:   e.tables.upstreams,
		Admit:       operators.Admit,
		Explain:     front.Explain,
		ExplainCall: front.ExplainCall,
		ViewAge:     e.link.Age,
		Log:         e.log,
	})
}

// start subscribes to the views of the control process and sends it reports.
func (e *entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { e.link.Follow(ctx, e.applyView) })
	reporter := &view.Reporter{
		Self:      e.settings.Instance,
		Evidence:  e.tables.evidence,
		Stops:     e.tables.stops,
		Upstreams: e.tables.upstreams,
		Suspects:  e.tables.suspects,
	}
	e.running.Go(func() { e.link.SendReports(ctx, reporter, e.draining.Load) })
}

// applyView applies a view on a worker. Views are applied in the order in which
// they arrive.
func (e *entry) applyView(v view.View) {
	e.pool.Post("view", worker.Func(func() {
		view.Apply(e.tables.viewTables(), v, time.Now(), func(d *model.Document) {
			e.admission.Configure(d.Organisations, d.Models)
			e.log.WithField("generation", d.Generation).Info("document is in force")
		})
		if d := e.tables.documents.Current(); d != nil {
			for _, m := range d.Models {
				e.admission.AdmitWaiting(m.Name)
			}
		}
	}))
}

// drain takes the instance out of the endpoint answers and waits until no
// caller can hold an answer that names it. Requests are served meanwhile; the
// caller-facing server then ends after the requests in flight.
func (e *entry) drain(context.Context) error {
	e.log.Info("draining")
	e.draining.Store(true)
	e.callers.SetNotReady()
	time.Sleep(membership.EndpointTTL + e.settings.Drain.Margin)
	return nil
}

// stop ends the parts in the reverse order of their start.
func (e *entry) stop() {
	e.cancel()
	e.running.Wait()
	e.pool.Close()
	if e.debug != nil {
		if err := e.debug.Close(); err != nil {
			e.log.WithError(err).Warn("closing the debug server failed")
		}
	}
	if err := e.server.Close(); err != nil {
		e.log.WithError(err).Warn("closing the peer listener failed")
	}
	if err := e.peers.Close(); err != nil {
		e.log.WithError(err).Warn("closing the peer connections failed")
	}
	e.engines.Close()
	e.services.Close()
	e.platform.Close()
	e.log.Info("stopped")
}
