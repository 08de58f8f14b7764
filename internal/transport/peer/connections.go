package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

// connections keeps one connection for each address. All share one socket.
// mu guards peers and closed; it is not held during a handshake.
type connections struct {
	options   Options
	creds     credentials
	meter     *meter
	transport *quic.Transport
	socket    net.PacketConn
	ctx       context.Context
	stop      context.CancelFunc

	mu     sync.Mutex
	peers  map[string]*connection
	closed bool
}

// connection is the connection to one address with its retry state.
type connection struct {
	conn          *quic.Conn    // nil before the first handshake
	handshakeDone chan struct{} // closed when the running handshake ends; nil if none runs
	err           error         // why the last handshake failed or the last connection ended
	retryAt       time.Time     // no handshake before this time
	delays        *backoff.ExponentialBackOff
	lastUsed      time.Time
}

func newConnections(o Options, creds credentials, m *meter) (*connections, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "open UDP socket: %v", err)
	}
	c := &connections{
		options:   o,
		creds:     creds,
		meter:     m,
		transport: &quic.Transport{Conn: socket},
		socket:    socket,
		peers:     map[string]*connection{},
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c, nil
}

func newConnection() *connection {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = longestRetryDelay
	delays.Reset()
	return &connection{delays: delays}
}

// get returns a live connection to the address. It starts a handshake or waits
// for the running one. After a failed handshake, calls fail at once until the
// retry delay is over.
func (c *connections) get(ctx context.Context, addr string) (*quic.Conn, error) {
	for {
		conn, wait, err := c.poll(addr)
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, trace.Wrap(context.Cause(ctx))
		}
	}
}

// poll returns a live connection, a channel that is closed when the running
// handshake ends, or an error. It starts a handshake if one is due.
func (c *connections) poll(addr string) (*quic.Conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, trace.ConnectionProblem(net.ErrClosed, "client is closed")
	}
	p, ok := c.peers[addr]
	if !ok {
		c.evict()
		p = newConnection()
		c.peers[addr] = p
	}
	now := time.Now()
	p.lastUsed = now
	switch {
	case p.conn != nil && p.conn.Context().Err() == nil:
		return p.conn, nil, nil
	case p.handshakeDone != nil:
		return nil, p.handshakeDone, nil
	case now.Before(p.retryAt):
		return nil, nil, trace.ConnectionProblem(p.err, "peer %s is unreachable, next attempt in %s: %v",
			addr, p.retryAt.Sub(now).Round(time.Millisecond), p.err)
	}
	p.handshakeDone = make(chan struct{})
	go c.dial(addr, p)
	return nil, p.handshakeDone, nil
}

// dial runs a handshake. The handshake continues after the request that started
// it has ended, as other requests may wait for it too.
func (c *connections) dial(addr string, p *connection) {
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	conn, err := c.handshake(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(p.handshakeDone)
	p.handshakeDone, p.conn, p.err = nil, conn, err
	if err != nil {
		p.retryAt = time.Now().Add(p.delays.NextBackOff())
		return
	}
	c.meter.watch(conn)
	// A server refuses a certificate after the client's side of the handshake
	// is complete, so the retry delays are reset only after a connection has
	// outlasted handshakeTimeout.
	connected := time.Now()
	context.AfterFunc(conn.Context(), func() { c.ended(p, conn, connected) })
}

func (c *connections) handshake(ctx context.Context, addr string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, trace.BadParameter("address %q: %v", addr, err)
	}
	return c.transport.Dial(ctx, to, c.creds.clientTLS(), quicConfig(c.options.KeepAlive, c.options.IdleTimeout))
}

// ended delays the next handshake after a connection has ended. The delay grows
// if the connection ended within handshakeTimeout.
func (c *connections) ended(p *connection, conn *quic.Conn, connected time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.conn != conn {
		return
	}
	if time.Since(connected) > handshakeTimeout {
		p.delays.Reset()
	}
	p.err = context.Cause(conn.Context())
	p.retryAt = time.Now().Add(p.delays.NextBackOff())
}

// replace drops a connection on which a request got no reply in time, so that a
// later request opens a new one. A restarted peer does not answer on the old
// connection, and without keep-alive nothing else detects that.
func (c *connections) replace(addr string, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok || p.conn != conn {
		return
	}
	p.conn = nil
	p.err = trace.ConnectionProblem(nil, "peer did not answer in time")
	p.retryAt = time.Now().Add(p.delays.NextBackOff())
	closeLater(conn)
}

// evict drops the least recently used connection if there are MaxPeers.
func (c *connections) evict() {
	if len(c.peers) < c.options.MaxPeers {
		return
	}
	oldest := ""
	for addr, p := range c.peers {
		if p.handshakeDone == nil && (oldest == "" || p.lastUsed.Before(c.peers[oldest].lastUsed)) {
			oldest = addr
		}
	}
	if p := c.peers[oldest]; p != nil {
		delete(c.peers, oldest)
		if p.conn != nil {
			closeLater(p.conn)
		}
	}
}

func (c *connections) close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	return trace.NewAggregate(c.transport.Close(), c.socket.Close())
}
