// Package callerserver is the caller-facing HTTP server, built on the kratos HTTP
// transport. It decodes requests, passes them to package frontend and encodes
// the results. Decisions are left to the coordination packages.
package callerserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	kratos "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/frontend"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/bearer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Endpoints selects the instances that a caller should use.
type Endpoints interface {
	Endpoints(callerKey string, now time.Time) (instances []model.Instance, ttl time.Duration)
}

// Options configure a Server.
type Options struct {
	Address       string // TCP IP:port
	Frontend      *frontend.Frontend
	Endpoints     Endpoints
	Metrics       http.Handler // nil where another address serves the metrics
	Debug         http.Handler // nil where another address serves the debug API
	TLS           *tls.Config  // nil means plain HTTP
	MaxBodyBytes  int64
	HeaderTimeout time.Duration // time limit for the arrival of a request header
	BodyTimeout   time.Duration // time limit for the arrival of a body after its header
	// Limits bounds the memory and the connections of callers; nil means the defaults of a
	// process whose settings do not name its machine's.
	Limits *callerlimit.Guard
	Log    log.Interface
}

// Server is the HTTP server for callers.
type Server struct {
	opts      Options
	http      *kratos.Server
	tracer    trace.Tracer
	leaving   atomic.Bool
	listening bool // set by listen
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	if opts.Limits == nil {
		opts.Limits = callerlimit.ForProcess(opts.Log)
	}
	opts.Log = opts.Log.WithField("part", "callers")
	s := &Server{opts: opts, tracer: otel.Tracer("sequoiavalve/callers")}
	s.http = kratos.NewServer(
		kratos.Address(opts.Address),
		kratos.Timeout(0), // streams run for minutes
	)
	s.setLimits()
	s.http.HandleFunc("/v1/chat/completions", s.withCaller("chat.completions", s.completion(true)))
	s.http.HandleFunc("/v1/completions", s.withCaller("completions", s.completion(false)))
	s.http.HandleFunc("/v1/endpoints", s.withCaller("endpoints", s.endpoints))
	s.http.HandleFunc("/healthz", s.withRequestID(s.health))
	s.http.HandleFunc("/readyz", s.withRequestID(s.ready))
	if opts.Debug != nil {
		s.http.HandlePrefix(debugapi.Prefix, s.withRequestID(func(x *exchange) { opts.Debug.ServeHTTP(x.w, x.r) }))
	}
	if opts.Metrics != nil {
		s.http.HandleFunc("/metrics", s.withRequestID(func(x *exchange) { opts.Metrics.ServeHTTP(x.w, x.r) }))
	}
	s.http.HandlePrefix("/", s.withCaller("call", s.call))
	return s
}

const (
	// idleTime is how long a connection stays open without a request.
	idleTime = 2 * time.Minute
	// maxHeaderBytes limits the size of a request header. Callers need
	// at most a credential and a trace context, less than 4 KiB.
	maxHeaderBytes = 64 << 10
)

// setLimits limits the time and memory that a slow or hostile caller can take
// up. The time for writing is not limited: answers run for minutes.
func (s *Server) setLimits() {
	s.http.ReadHeaderTimeout = s.opts.HeaderTimeout
	s.http.IdleTimeout = idleTime
	s.http.MaxHeaderBytes = maxHeaderBytes
	// HTTP/2 is off: many requests would share a connection, and the limits
	// above apply to a connection.
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
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
	kratos.Listener(s.opts.Limits.ProtectTLS(s.http.Server, listener, s.opts.TLS, callerlimit.ServerOptions{Name: "callers"}))(s.http)
	if s.opts.TLS != nil { // kratos does not know that the listener has TLS
		kratos.Endpoint(&url.URL{Scheme: "https", Host: listener.Addr().String()})(s.http)
	}
	s.listening = true
	return nil
}

// Start implements the kratos transport.Server interface.
func (s *Server) Start(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	err := s.http.Start(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop shuts the server down after the requests in flight have ended. It
// implements the kratos transport.Server interface.
func (s *Server) Stop(context.Context) error {
	// The context of the kratos app would cut streams after its stop timeout.
	return s.http.Shutdown(context.Background())
}

// SetNotReady makes /readyz report that the instance is not ready. Requests are still
// served.
func (s *Server) SetNotReady() { s.leaving.Store(true) }

// exchange is one HTTP request with its request ID and its organisation.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	id           model.RequestID
	body         *callerlimit.Kept // nil until it is read
	organisation model.OrganisationID
}

// refuse logs a refusal and sends it to the caller.
func (s *Server) refuse(x *exchange, refusal *model.Refusal) {
	s.opts.Log.WithField("request_id", string(x.id)).WithField("code", refusal.Code).Info("request refused")
	if err := problem.Write(x.w, x.id, refusal); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).WithError(err).Debug("refusal not delivered")
	}
}

// allowMethods reports whether the request has one of the given methods, and
// refuses the request if not.
func (s *Server) allowMethods(x *exchange, methods ...string) bool {
	if slices.Contains(methods, x.r.Method) {
		return true
	}
	allowed := strings.Join(methods, ", ")
	x.w.Header().Set("Allow", allowed)
	s.refuse(x, &model.Refusal{Code: problem.CodeMethodNotAllowed, Message: "Use " + allowed + ".", Outcome: model.OutcomeNotRun})
	return false
}

// withRequestID gives a request its ID and the time limit for its body.
func (s *Server) withRequestID(handle func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: s.opts.Frontend.NewRequestID()}
		defer func() { x.body.Release() }()
		w.Header().Set(problem.HeaderRequestID, string(x.id))
		s.setBodyDeadline(x)
		handle(x)
	}
}

// withCaller gives a request its ID, its span and its organisation, and refuses
// it if the caller cannot be identified.
func (s *Server) withCaller(name string, handle func(*exchange)) http.HandlerFunc {
	return s.withRequestID(func(x *exchange) {
		ctx := tracecontext.FromHeader(x.r.Context(), x.r.Header)
		ctx, span := s.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(requestAttribute(x.id)))
		defer span.End()
		x.r = x.r.WithContext(ctx)
		organisation, refusal := s.opts.Frontend.Identify(bearer.Credential(x.r), x.r.Header.Get("X-Organisation"))
		if refusal != nil {
			s.refuse(x, refusal)
			return
		}
		x.organisation = organisation
		handle(x)
	})
}

func requestAttribute(id model.RequestID) attribute.KeyValue {
	return attribute.String("request_id", string(id))
}
