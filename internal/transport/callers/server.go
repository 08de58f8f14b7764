// Package callers is the caller-facing HTTP server, built on the kratos HTTP
// transport. It decodes requests, hands them to the frontend and encodes what
// comes back; it decides nothing.
package callers

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
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
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Endpoints answers which instances a caller should use.
type Endpoints interface {
	Endpoints(callerKey string, now time.Time) (instances []model.Instance, ttl time.Duration)
}

// Options configure a Server.
type Options struct {
	Address    string // TCP IP:port
	Frontend   *frontend.Frontend
	Endpoints  Endpoints
	Metrics    http.Handler // nil where another address serves the metrics
	Debug      http.Handler // nil where another address serves the debug API
	TLS        *tls.Config  // nil means plain HTTP
	BodyBytes  int64
	HeaderTime time.Duration // longest arrival of a header
	BodyTime   time.Duration // longest arrival of a body after its header
	Log        log.Interface
}

// Server serves callers.
type Server struct {
	opts    Options
	http    *kratos.Server
	tracer  trace.Tracer
	leaving atomic.Bool
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	opts.Log = opts.Log.WithField("part", "callers")
	s := &Server{opts: opts, tracer: otel.Tracer("sequoiavalve/callers")}
	s.http = kratos.NewServer(
		kratos.Address(opts.Address),
		kratos.Timeout(0), // streams run for minutes
		kratos.TLSConfig(opts.TLS),
	)
	s.bound()
	s.http.HandleFunc("/v1/chat/completions", s.wrap("chat.completions", s.completion(true)))
	s.http.HandleFunc("/v1/completions", s.wrap("completions", s.completion(false)))
	s.http.HandleFunc("/v1/endpoints", s.wrap("endpoints", s.endpoints))
	s.http.HandleFunc("/healthz", s.numbered(s.health))
	s.http.HandleFunc("/readyz", s.numbered(s.ready))
	if opts.Debug != nil {
		s.http.HandlePrefix(debugapi.Prefix, s.numbered(func(x *exchange) { opts.Debug.ServeHTTP(x.w, x.r) }))
	}
	if opts.Metrics != nil {
		s.http.HandleFunc("/metrics", s.numbered(func(x *exchange) { opts.Metrics.ServeHTTP(x.w, x.r) }))
	}
	s.http.HandlePrefix("/", s.wrap("call", s.call))
	return s
}

const (
	// idleTime ends a connection on which a caller sends no further request.
	idleTime = 2 * time.Minute
	// maxHeaderBytes bounds a request header. The largest that callers need is
	// a credential and a trace context, less than 4 KiB.
	maxHeaderBytes = 64 << 10
)

// bound limits what a slow or hostile caller can hold. The time to write is
// not limited: answers run for minutes.
func (s *Server) bound() {
	s.http.ReadHeaderTimeout = s.opts.HeaderTime
	s.http.IdleTimeout = idleTime
	s.http.MaxHeaderBytes = maxHeaderBytes
	// Over HTTP/2 many requests share a connection, and the limits above are
	// for one connection.
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
}

// Start implements the kratos transport.Server interface.
func (s *Server) Start(ctx context.Context) error {
	err := s.http.Start(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop ends the server after the requests in flight. It implements the kratos
// transport.Server interface.
func (s *Server) Stop(context.Context) error {
	// The context of the kratos app would cut streams after its stop timeout.
	return s.http.Shutdown(context.Background())
}

// Leave turns readiness off. Requests are still served.
func (s *Server) Leave() { s.leaving.Store(true) }

// exchange is one request with its identity.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	id           model.RequestID
	organisation model.OrganisationID
}

// refuse answers with a refusal.
func (s *Server) refuse(x *exchange, refusal *model.Refusal) {
	s.opts.Log.WithField("request_id", string(x.id)).WithField("code", refusal.Code).Info("request refused")
	if err := problem.Write(x.w, x.id, refusal); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).WithError(err).Debug("refusal not delivered")
	}
}

// allows reports whether the request's method is one of those given, and
// refuses the request if not.
func (s *Server) allows(x *exchange, methods ...string) bool {
	if slices.Contains(methods, x.r.Method) {
		return true
	}
	allowed := strings.Join(methods, ", ")
	x.w.Header().Set("Allow", allowed)
	s.refuse(x, &model.Refusal{Code: problem.CodeMethodNotAllowed, Message: "Use " + allowed + ".", Outcome: model.OutcomeNotRun})
	return false
}

// numbered gives a request its ID.
func (s *Server) numbered(handle func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: s.opts.Frontend.NewRequestID()}
		w.Header().Set(problem.HeaderRequestID, string(x.id))
		s.limitBody(x)
		handle(x)
	}
}

// wrap gives a request its ID, its span and its organisation.
func (s *Server) wrap(name string, handle func(*exchange)) http.HandlerFunc {
	return s.numbered(func(x *exchange) {
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
