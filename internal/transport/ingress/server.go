// Package ingress is the HTTP server that accepts requests to be forwarded to
// upstreams, built on the kratos HTTP transport. Package forward makes all
// decisions.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	kratos "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
)

const (
	// idleTime is how long a connection stays open without a request. Callers
	// keep idle connections for a shorter time.
	idleTime = 2 * time.Minute
	// Limits that apply until routing rules are loaded.
	defaultBodyBytes   = 4 << 20
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 10 * time.Second
	defaultBodyStall   = 30 * time.Second
)

// Options configure a Server.
type Options struct {
	Address string // TCP IP:port
	Names   forwardwire.Names
	Forward *forward.Manager
	Rules   *rules.Table
	Limits  *callerlimit.Guard // nil means no bounds on memory and connections
	Log     log.Interface
	// BodyStall is the time after which a body is refused of which nothing arrives; zero
	// means 30 s.
	BodyStall time.Duration
}

// Server is the HTTP server for callers whose requests are forwarded.
type Server struct {
	opts             Options
	http             *kratos.Server
	listening        bool // set by listen
	tracer           trace.Tracer
	cut              metric.Int64Counter       // responses that were cut
	closeConnections atomic.Bool               // each response closes its connection
	refuseStreams    atomic.Bool               // set by RefuseStreams
	refuseRequests   atomic.Bool               // set by RefuseRequests
	lastEnd          atomic.Pointer[time.Time] // set by RefuseEndingAfter; nil means no limit
	closing          atomic.Bool               // all connections are being closed
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	if opts.Limits == nil {
		opts.Limits = callerlimit.New(callerlimit.Options{Log: opts.Log})
	}
	if opts.BodyStall <= 0 {
		opts.BodyStall = defaultBodyStall
	}
	opts.Log = opts.Log.WithField("part", "ingress")
	s := &Server{opts: opts, tracer: otel.Tracer("sequoiavalve/ingress")}
	// Creating an instrument fails only for an invalid name.
	s.cut, _ = otel.Meter("sequoiavalve/ingress").Int64Counter("ingress_responses_cut", metric.WithDescription("Responses that were cut by this instance, by cause."))
	s.http = kratos.NewServer(
		kratos.Address(opts.Address),
		kratos.Timeout(0), // streams run for minutes
		// The router would rewrite paths, which are forwarded unchanged.
		kratos.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	)
	s.http.ReadHeaderTimeout = defaultHeaderTime
	s.http.IdleTimeout = idleTime
	s.http.MaxHeaderBytes = defaultHeaderBytes
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	s.http.DisableGeneralOptionsHandler = true // it would answer "OPTIONS *" with 200
	return s
}

// listen opens the listener, with the limits on callers.
func (s *Server) listen() error {
	if s.listening {
		return nil
	}
	listener, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return err
	}
	limited := s.opts.Limits.Protect(s.http.Server, listener, callerlimit.ServerOptions{
		Name: "callers", Limits: s.limits, Refuse: s.refuseForMemory,
	})
	kratos.Listener(limited)(s.http)
	s.listening = true
	return nil
}

// limits returns the operator's limits on callers.
func (s *Server) limits() model.CallerLimits {
	if current := s.opts.Rules.Current(); current != nil {
		return current.Limits
	}
	return model.CallerLimits{}
}

// refuseForMemory answers a request whose head was read without memory for it.
func (s *Server) refuseForMemory(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, model.RequestID(r.Header.Get(s.opts.Names.Request)), callerlimit.Refusal())
}

// Start implements the kratos transport.Server interface.
func (s *Server) Start(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	if err := s.http.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// closeTime is how long Stop waits for requests that are still in flight.
const closeTime = 100 * time.Millisecond

// Stop shuts the server down. Requests in flight had time to end before Stop is
// called; those that are left after closeTime are aborted. It implements the
// kratos transport.Server interface.
func (s *Server) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.closing.Store(true)
		s.opts.Log.WithField("running", s.opts.Forward.Running()).Warn("server stops and aborts requests in flight")
		return s.http.Close()
	}
	return nil
}

// DisableKeepAlives makes each response the last one on its connection.
func (s *Server) DisableKeepAlives() { s.closeConnections.Store(true) }

// RefuseStreams refuses new streams, which would not end before the stop.
func (s *Server) RefuseStreams() { s.refuseStreams.Store(true) }

// RefuseEndingAfter refuses new requests that may take longer than until the given time,
// at which the instance stops to wait for them.
func (s *Server) RefuseEndingAfter(end time.Time) { s.lastEnd.Store(&end) }

// RefuseRequests refuses all new requests, which might not end before the stop.
func (s *Server) RefuseRequests() { s.refuseRequests.Store(true) }

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if s.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	req, body, refusal := s.decode(w, r, now)
	defer body.Release()
	if refusal != nil {
		s.refuse(w, model.RequestID(r.Header.Get(s.opts.Names.Request)), refusal)
		return
	}
	ctx, span := s.tracer.Start(tracecontext.FromHeader(r.Context(), r.Header), "forward", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", string(req.ID))))
	defer span.End()
	req.TraceParent = tracecontext.SampledParent(ctx)
	x := newExchange(s, w, req.ID)
	reportDisconnect := s.opts.Forward.Submit(req, x)
	if !x.run(r) {
		if s.closing.Load() {
			s.logCut(req.ID, "the instance stops")
		}
		reportDisconnect()
		// net/http would complete the response: a caller that only closed its sending
		// side would get an empty or short body that looks whole.
		abortResponse(r)
	}
}

// decode reads the whole request and refuses it if it is invalid, finds no memory or
// arrives too late before a stop. The body is kept until it is released.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, now time.Time) (*forward.Request, *callerlimit.Kept, *model.Refusal) {
	req, err := s.opts.Names.DecodeRequest(r.Header, now)
	if err != nil {
		return nil, nil, &model.Refusal{Code: problem.CodeInvalidRequest, Message: err.Error(), Outcome: model.OutcomeNotRun}
	}
	target, err := forwardwire.ParseTarget(r)
	if err != nil {
		return nil, nil, &model.Refusal{Code: problem.CodeInvalidRequest, Message: err.Error(), Outcome: model.OutcomeNotRun}
	}
	body, err := s.opts.Limits.ReadBody(w, r, s.bodyBytes(), s.opts.BodyStall)
	if errors.Is(err, callerlimit.ErrMemory) {
		s.opts.Limits.Count("callers", callerlimit.CauseMemory)
	}
	if err != nil {
		return nil, nil, s.bodyRefusal(err)
	}
	req.Body = body.Bytes
	// A connection that closes before the whole body is read is reset, and its caller may
	// not get the refusal.
	if s.refusesNow(r, target.Path, req) {
		return nil, body, forward.RefuseLeaving()
	}
	req.Host, req.Method = hostOf(r), r.Method
	req.Path, req.Query, req.EmptyQuery = target.Path, target.Query, target.EmptyQuery
	return req, body, nil
}

// refusesNow reports whether a stop is so near that the request is refused.
func (s *Server) refusesNow(r *http.Request, path string, req *forward.Request) bool {
	if s.refuseRequests.Load() {
		return true
	}
	lastEnd := s.lastEnd.Load()
	current := s.opts.Rules.Index()
	if current == nil || (lastEnd == nil && !s.refuseStreams.Load()) {
		return false
	}
	route, ok := current.Route(hostOf(r), path)
	if !ok {
		return false
	}
	if s.refuseStreams.Load() && route.Stream {
		return true
	}
	deadline := forward.Deadline(req, route)
	return lastEnd != nil && (deadline.IsZero() || deadline.After(*lastEnd))
}

func (s *Server) bodyBytes() int64 {
	if current := s.opts.Rules.Current(); current != nil && current.Limits.BodyBytes > 0 {
		return current.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// hostOf returns the request's host without a port.
func hostOf(r *http.Request) string {
	host, _, found := strings.Cut(r.Host, ":")
	if found && strings.HasPrefix(r.Host, "[") {
		return r.Host
	}
	return host
}

func (s *Server) bodyRefusal(err error) *model.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &model.Refusal{Code: problem.CodeBodyTooLarge, Message: err.Error(), Outcome: model.OutcomeNotRun}
	}
	if errors.Is(err, callerlimit.ErrMemory) {
		return callerlimit.Refusal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &model.Refusal{Code: problem.CodeBodyTooSlow, Message: "Nothing of the body arrived for " + s.opts.BodyStall.String() + ".", Outcome: model.OutcomeNotRun}
	}
	return &model.Refusal{Code: problem.CodeInvalidRequest, Message: "The body did not arrive whole.", Outcome: model.OutcomeNotRun}
}
