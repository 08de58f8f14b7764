// Package keptconn rejects answers that a server sent before it had the request.
//
// net/http takes any bytes on a kept connection for the answer to the next request. A
// faulty server that sends an answer twice, or late, so answers a request that it has not
// read. net/http closes an idle connection on which bytes arrive, but a request may take
// the connection before that.
package keptconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// ErrEarlyAnswer means that an answer began before its request was written, so that it
// belongs to another request.
var ErrEarlyAnswer = errors.New("the answer arrived before the request was sent")

// Conn is a connection that compares the time of answers with that of requests.
type Conn struct {
	net.Conn
	requests atomic.Int64 // number of requests that were given the connection
	received atomic.Int64 // bytes read
	// unwritten is set until the first byte of the current request is written, and
	// before is what was received until then.
	unwritten atomic.Bool
	before    atomic.Int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.unwritten.Load() {
		c.before.Store(c.received.Load())
		c.unwritten.Store(false)
	}
	return c.Conn.Write(p)
}

// answersEarly reports whether the answer that the transport begins to read was received
// before the current request was written. The transport reads no more from the connection
// while it has unread bytes.
func (c *Conn) answersEarly() bool {
	return c.unwritten.Load() || c.received.Load() == c.before.Load()
}

// Transport is an http.Transport that returns ErrEarlyAnswer for early answers on kept
// connections. On a new connection, such an answer can belong to no other request.
type Transport struct{ http *http.Transport }

// New returns a Transport that sends with t.
func New(t *http.Transport) *Transport {
	if t.DialContext == nil {
		t.DialContext = new(net.Dialer).DialContext
	}
	t.DialContext = wrap(t.DialContext)
	if t.DialTLSContext != nil {
		t.DialTLSContext = wrap(t.DialTLSContext)
	}
	return &Transport{t}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// wrap returns a function whose connections are of type Conn.
func wrap(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, _, err := t.Exchange(req)
	return resp, err
}

// Exchange is RoundTrip. It also returns how the request used its connection.
func (t *Transport) Exchange(req *http.Request) (*http.Response, *Use, error) {
	use := &Use{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:              use.gotConn,
		GotFirstResponseByte: use.gotFirstByte,
	})
	resp, err := t.http.RoundTrip(req.WithContext(ctx))
	if err == nil && use.early.Load() {
		_ = resp.Body.Close() // the answer is not used
		use.Discard()
		return nil, use, ErrEarlyAnswer
	}
	return resp, use, err
}

// Use describes the connection of one request. The transport may set it on a goroutine of
// its own.
type Use struct {
	conn  atomic.Pointer[Conn]
	kept  atomic.Bool
	early atomic.Bool
}

func (u *Use) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn.(*Conn) // opened by the function of wrap
	c.unwritten.Store(true)
	u.kept.Store(c.requests.Add(1) > 1)
	u.conn.Store(c)
}

func (u *Use) gotFirstByte() {
	if u.kept.Load() && u.conn.Load().answersEarly() {
		u.early.Store(true)
	}
}

// Sent reports whether a byte of the request may have been written: the transport writes
// only after it has chosen the connection.
func (u *Use) Sent() bool { return u.conn.Load() != nil }

// Kept reports whether the connection has carried another request before.
func (u *Use) Kept() bool { return u.kept.Load() }

// Discard closes the connection, so that no other request uses it. net/http keeps the
// connection of an answer without a body before it hands over the answer.
func (u *Use) Discard() {
	if c := u.conn.Load(); c != nil {
		_ = c.Close() // the connection is given up either way
	}
}
