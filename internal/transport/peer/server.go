package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
)

// Peer is the other end of a connection.
type Peer struct {
	Name    string // instance name in the peer's certificate
	Address string // UDP IP:port
}

// MessageWriter sends the replies to one request.
type MessageWriter interface {
	Write(m peerwire.Message) error
}

// Handler answers requests. ServePeer runs on a network goroutine of its own for
// each request; it passes decisions to workers and waits for their results. It
// writes one reply, or several to a request that opens a stream, and returns
// nil. An error that it returns is sent to the peer. ctx ends when the peer
// cancels the request or its connection is lost.
type Handler interface {
	ServePeer(ctx context.Context, from Peer, m peerwire.Message, w MessageWriter) error
}

// HandlerFunc makes a Handler of a function.
type HandlerFunc func(ctx context.Context, from Peer, m peerwire.Message, w MessageWriter) error

// ServePeer implements Handler.
func (f HandlerFunc) ServePeer(ctx context.Context, from Peer, m peerwire.Message, w MessageWriter) error {
	return f(ctx, from, m, w)
}

// Mux routes messages to handlers by their kind.
type Mux map[peerwire.Kind]Handler

// ServePeer implements Handler.
func (x Mux) ServePeer(ctx context.Context, from Peer, m peerwire.Message, w MessageWriter) error {
	h, ok := x[m.Kind]
	if !ok {
		return trace.NotImplemented("this process does not serve messages of kind %q", m.Kind)
	}
	return h.ServePeer(ctx, from, m, w)
}

// Server accepts connections from peers whose certificates it trusts.
type Server struct {
	handler   Handler
	datagram  func(from Peer, m peerwire.Message)
	listener  *quic.Listener
	transport *quic.Transport
	pending   *handshakes
	socket    net.PacketConn
	meter     *meter
	tracer    oteltrace.Tracer
	ctx       context.Context
	stop      context.CancelFunc
	running   sync.WaitGroup
}

// NewServer listens and serves until Close.
func NewServer(o Options, h Handler) (*Server, error) {
	o.setDefaults()
	creds, err := newCredentials(o)
	if err != nil {
		return nil, err
	}
	meter, err := newMeter(o, "server")
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", o.Address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "listen on %s: %v", o.Address, err)
	}
	pending := &handshakes{limit: maxHandshakes}
	transport := &quic.Transport{Conn: socket, ConnContext: pending.begin, VerifySourceAddress: pending.verifiesAddresses}
	listener, err := transport.Listen(creds.serverTLS(), quicConfig(-1, IdleTimeoutWithoutKeepAlive))
	if err != nil {
		return nil, trace.NewAggregate(err, transport.Close(), socket.Close())
	}
	s := &Server{handler: h, datagram: o.Datagrams, listener: listener, transport: transport, socket: socket, meter: meter, pending: pending, tracer: o.Tracers.Tracer(instrumentationScope)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the traffic of all connections since the start.
func (s *Server) Traffic() Traffic { return s.meter.traffic() }

// Close ends all connections and waits for the handlers.
func (s *Server) Close() error {
	s.stop()
	err := trace.NewAggregate(s.listener.Close(), s.transport.Close(), s.socket.Close())
	s.running.Wait()
	return err
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			return
		}
		s.pending.done(conn.Context())
		s.meter.watch(conn)
		s.running.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(conn *quic.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.CloseWithError(0, "server closes") })
	defer stop()
	from := Peer{Name: certificateName(conn.ConnectionState().TLS), Address: conn.RemoteAddr().String()}
	if s.datagram != nil {
		s.running.Go(func() { s.receiveDatagrams(from, conn) })
	}
	for {
		stream, err := conn.AcceptStream(s.ctx)
		if err != nil {
			return
		}
		s.running.Go(func() { s.serveStream(from, stream) })
	}
}

// receiveDatagrams passes on the messages that arrive as datagrams until the
// connection ends.
func (s *Server) receiveDatagrams(from Peer, conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(s.ctx)
		if err != nil {
			return
		}
		m, err := peerwire.Decode(data)
		if err != nil {
			log.WithField("part", "peer").WithField("peer", from.Name).WithError(err).Debug("datagram dropped")
			continue
		}
		s.meter.count(s.ctx, m.Kind, false, len(data))
		s.datagram(from, m)
	}
}

// requestTimeout limits the time in which a request must arrive after its stream
// was opened.
const requestTimeout = 10 * time.Second

func (s *Server) serveStream(from Peer, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	m, n, err := peerwire.ReadMessage(stream)
	w := &writer{stream: stream, meter: s.meter}
	if err != nil {
		stream.CancelRead(0)
		_ = w.Write(peerwire.EncodeError(err))
		return
	}
	s.meter.count(stream.Context(), m.Kind, false, n)
	if err := s.serve(stream.Context(), from, m, w); err != nil && stream.Context().Err() == nil {
		_ = w.Write(peerwire.EncodeError(err))
	}
}

// serve runs the handler in a span that continues the sender's trace.
func (s *Server) serve(ctx context.Context, from Peer, m peerwire.Message, w *writer) error {
	ctx = tracecontext.Extract(ctx, m.TraceParent)
	ctx, span := s.tracer.Start(ctx, "peer.serve "+m.Kind.Label(), oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	err := s.handler.ServePeer(ctx, from, m, w)
	id, err := splitRequest(err)
	if err != nil && !errors.Is(err, context.Canceled) {
		span.SetStatus(codes.Error, err.Error())
		logFailure(from, m.Kind, id, err)
	}
	return err
}

func logFailure(from Peer, kind peerwire.Kind, id model.RequestID, err error) {
	entry := log.WithField("part", "peer").WithField("peer", from.Name)
	if id != "" {
		entry = entry.WithField("request_id", string(id))
	}
	entry.WithError(err).Debugf("%s message failed", kind.Label())
}

// requestError is a handler's error with the ID of the caller's request that
// the message belongs to.
type requestError struct {
	id  model.RequestID
	err error
}

// Error implements error.
func (e *requestError) Error() string { return e.err.Error() }

// WithRequestID adds the ID of the caller's request to a handler's error, for the
// server's log line. It returns nil for a nil error.
func WithRequestID(id model.RequestID, err error) error {
	if err == nil {
		return nil
	}
	return &requestError{id, err}
}

// splitRequest returns the request ID that WithRequestID added to an error, and the
// error without the ID.
func splitRequest(err error) (model.RequestID, error) {
	var wrapped *requestError
	if errors.As(err, &wrapped) {
		return wrapped.id, wrapped.err
	}
	return "", err
}

type writer struct {
	stream *quic.Stream
	meter  *meter
}

// Write implements MessageWriter.
func (w *writer) Write(m peerwire.Message) error {
	n, err := peerwire.WriteMessage(w.stream, m)
	if err != nil {
		return err
	}
	w.meter.count(w.stream.Context(), m.Kind, true, n)
	return nil
}
