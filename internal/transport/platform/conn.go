package platform

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
)

// countingConn counts the bytes that were handed to a connection. It counts
// before it writes, so a count that did not rise proves that nothing was sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// dialer opens counting connections. With TLS the count starts after the
// handshake, which has no effect on the platform.
type dialer struct {
	net net.Dialer
	tls *tls.Config
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	secure := tls.Dialer{NetDialer: &d.net, Config: d.tls}
	conn, err := secure.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// sendTracker finds out whether a byte of a request was handed to a
// connection. mu guards the other fields; the transport calls gotConn on the
// caller's goroutine or on its own.
type sendTracker struct {
	mu   sync.Mutex
	conn *countingConn
	base int64 // bytes written on conn before this request
	sent bool  // a byte was handed to a connection before conn
}

// watch returns a context under which the transport reports the connections
// that it uses for a request.
func (s *sendTracker) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.gotConn(info.Conn) },
	})
}

func (s *sendTracker) gotConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = s.sentLocked()
	if kept, ok := conn.(*keptconn.Conn); ok {
		conn = kept.Conn
	}
	counting, ok := conn.(*countingConn)
	if !ok {
		s.sent = true // bytes are not counted on this connection
		return
	}
	s.conn = counting
	s.base = counting.written.Load()
}

func (s *sendTracker) sentLocked() bool {
	return s.sent || (s.conn != nil && s.conn.written.Load() > s.base)
}

// anySent reports whether any byte was handed to a connection.
func (s *sendTracker) anySent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentLocked()
}
