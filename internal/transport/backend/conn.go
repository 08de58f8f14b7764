package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// conn is a connection to an upstream that counts the requests it was given to.
type conn struct {
	net.Conn
	requests atomic.Int64
}

// dialer opens connections of type conn.
type dialer struct{ net.Dialer }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// connTracker finds out which connection a request uses. The transport may set it on a
// goroutine of its own.
type connTracker struct {
	current atomic.Pointer[conn]
	kept    atomic.Bool // current has carried another request before
}

// watch returns a context under which the transport reports the connection.
func (t *connTracker) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn) // opened by dialer
			t.kept.Store(c.requests.Add(1) > 1)
			t.current.Store(c)
		},
	})
}

// sent reports whether a byte of the request may have been written: the transport writes
// only after it has reported the connection.
func (t *connTracker) sent() bool { return t.current.Load() != nil }

// discard closes the connection, so that no other request uses it. net/http keeps the
// connection of an answer without a body before it hands over the answer.
func (t *connTracker) discard() {
	if c := t.current.Load(); c != nil {
		_ = c.Close() // the connection is given up either way
	}
}
