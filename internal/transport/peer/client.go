package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
)

// Client sends requests to peers and reuses its connections.
type Client struct {
	conns     *connections
	meter     *meter
	tracer    oteltrace.Tracer
	keepAlive bool // connections send keep-alive probes
}

// NewClient returns a client without connections.
func NewClient(o Options) (*Client, error) {
	o.setDefaults()
	creds, err := newCredentials(o)
	if err != nil {
		return nil, err
	}
	meter, err := newMeter(o, "client")
	if err != nil {
		return nil, err
	}
	conns, err := newConnections(o, creds, meter)
	if err != nil {
		return nil, err
	}
	return &Client{conns: conns, meter: meter, tracer: o.Tracers.Tracer(instrumentationScope), keepAlive: o.KeepAlive > 0}, nil
}

// Traffic returns the traffic of all connections since the start.
func (c *Client) Traffic() Traffic { return c.meter.traffic() }

// Close ends all connections.
func (c *Client) Close() error { return c.conns.close() }

// Request sends a message and returns the reply. An error reply becomes an
// error that holds a *peerwire.RemoteError.
func (c *Client) Request(ctx context.Context, addr string, m peerwire.Message) (peerwire.Message, error) {
	ctx, span := c.startSpan(ctx, &m)
	defer span.End()
	reply, err := c.request(ctx, addr, m)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return reply, err
}

func (c *Client) request(ctx context.Context, addr string, m peerwire.Message) (peerwire.Message, error) {
	conn, err := c.conns.get(ctx, addr)
	if err != nil {
		return peerwire.Message{}, err
	}
	reply, err := c.exchange(ctx, conn, m)
	if err != nil && ctx.Err() != nil && !c.keepAlive {
		c.conns.replace(addr, conn)
	}
	return reply, err
}

// Send sends a message that has no reply and may be lost. It opens a connection
// if there is none yet. A message that is too large for a datagram is sent on a
// stream.
func (c *Client) Send(ctx context.Context, addr string, m peerwire.Message) error {
	conn, err := c.conns.get(ctx, addr)
	if err != nil {
		return err
	}
	data, err := peerwire.Encode(m)
	if err != nil {
		return err
	}
	err = conn.SendDatagram(data)
	var large *quic.DatagramTooLargeError
	if errors.As(err, &large) {
		return c.sendOnStream(ctx, conn, m)
	}
	if err != nil {
		return trace.ConnectionProblem(err, "send %s datagram to %s: %v", m.Kind, addr, err)
	}
	c.meter.count(ctx, m.Kind, true, len(data))
	return nil
}

// sendOnStream sends a message on a stream that the peer closes without a reply.
func (c *Client) sendOnStream(ctx context.Context, conn *quic.Conn, m peerwire.Message) error {
	stream, err := c.open(ctx, conn, m)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	drain(stream)
	return nil
}

func (c *Client) exchange(ctx context.Context, conn *quic.Conn, m peerwire.Message) (peerwire.Message, error) {
	stream, err := c.open(ctx, conn, m)
	if err != nil {
		return peerwire.Message{}, err
	}
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	reply, err := c.read(ctx, stream)
	if err != nil {
		abandon(stream)
		if ctx.Err() != nil {
			return peerwire.Message{}, trace.Wrap(context.Cause(ctx))
		}
		return peerwire.Message{}, err
	}
	drain(stream)
	return reply, peerwire.AsError(reply)
}

// drain reads the end of a stream, which usually arrived with the reply.
// Cancelling the stream instead would cost a frame in each direction.
func drain(stream *quic.Stream) {
	var rest [1]byte
	if _, err := stream.Read(rest[:]); err == nil {
		stream.CancelRead(0)
	}
}

// open opens a stream and sends one message on it. A peer that refuses the
// message may stop reading before all of it is sent; the stream then stays open
// so that the error reply can be read.
func (c *Client) open(ctx context.Context, conn *quic.Conn, m peerwire.Message) (*quic.Stream, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "open stream to %s: %v", conn.RemoteAddr(), err)
	}
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	n, err := peerwire.WriteMessage(stream, m)
	c.meter.count(ctx, m.Kind, true, n)
	if err == nil {
		if err = stream.Close(); err != nil {
			err = trace.ConnectionProblem(err, "send %s message: %v", m.Kind, err)
		}
	}
	if err != nil && !stoppedByPeer(stream) {
		abandon(stream)
		return nil, err
	}
	return stream, nil
}

// stoppedByPeer reports whether the peer has stopped reading the stream.
func stoppedByPeer(stream *quic.Stream) bool {
	var reset *quic.StreamError
	return errors.As(context.Cause(stream.Context()), &reset) && reset.Remote
}

func (c *Client) read(ctx context.Context, stream *quic.Stream) (peerwire.Message, error) {
	m, n, err := peerwire.ReadMessage(stream)
	if err != nil {
		return peerwire.Message{}, err
	}
	c.meter.count(ctx, m.Kind, false, n)
	return m, nil
}

// abandon ends both directions of a stream.
func abandon(stream *quic.Stream) {
	stream.CancelRead(0)
	stream.CancelWrite(0)
}

// startSpan starts the request's span and, if the span is sampled, puts its
// trace context into the message.
func (c *Client) startSpan(ctx context.Context, m *peerwire.Message) (context.Context, oteltrace.Span) {
	ctx, span := c.tracer.Start(tracecontext.Continue(ctx), "peer.request "+string(m.Kind),
		oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	m.TraceParent = tracecontext.SampledParent(ctx)
	return ctx, span
}

// MessageStream receives messages from a peer until Close.
type MessageStream interface {
	// Next waits for a message. It returns io.EOF after the last message, and
	// an error if the peer sent one or the connection was lost.
	Next(ctx context.Context) (peerwire.Message, error)
	Close()
}

// Stream sends a message that opens a stream of replies. The stream ends when
// ctx ends or at Close.
func (c *Client) Stream(ctx context.Context, addr string, m peerwire.Message) (MessageStream, error) {
	_, span := c.startSpan(ctx, &m)
	conn, err := c.conns.get(ctx, addr)
	if err != nil {
		span.End()
		return nil, err
	}
	stream, err := c.open(ctx, conn, m)
	if err != nil {
		span.End()
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &receiver{cancel: cancel, received: make(chan received)}
	context.AfterFunc(ctx, func() {
		abandon(stream)
		span.End()
	})
	go r.receive(ctx, c, stream)
	return r, nil
}

// receiver reads a stream on a goroutine of its own, so that Next can stop
// waiting in the middle of a message.
type receiver struct {
	cancel   context.CancelFunc
	received chan received
}

type received struct {
	message peerwire.Message
	err     error
}

func (r *receiver) receive(ctx context.Context, c *Client, stream *quic.Stream) {
	defer close(r.received)
	for {
		m, err := c.read(ctx, stream)
		if err == nil {
			err = peerwire.AsError(m)
		}
		select {
		case r.received <- received{m, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Next implements MessageStream.
func (r *receiver) Next(ctx context.Context) (peerwire.Message, error) {
	select {
	case got, ok := <-r.received:
		if !ok {
			return peerwire.Message{}, io.EOF
		}
		return got.message, got.err
	case <-ctx.Done():
		return peerwire.Message{}, ctx.Err()
	}
}

// Close implements MessageStream.
func (r *receiver) Close() { r.cancel() }

// closeLater ends a connection after its requests in flight had time to end.
func closeLater(conn *quic.Conn) {
	time.AfterFunc(lingerTime, func() { _ = conn.CloseWithError(0, "connection replaced") })
}
