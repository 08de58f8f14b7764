// Package keptconn is the only way by which answers of other programs are read. It decides
// whether what a server sent is an answer at all, before net/http has a byte of it, and
// rejects answers that a server sent before it had the request.
//
// On Linux, a reset that a write sees first makes the next read return an end of file. So
// an answer that ends with its connection counts only if its request was written whole.
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

// errUnknownLength means that the end of a request's body cannot be recognised in the bytes
// that are written.
var errUnknownLength = errors.New("the request has a body of unknown length")

// Transport is an http.Transport that returns ErrBroken for bytes that are not an answer,
// and ErrEarlyAnswer for an early answer on a kept connection. On a new connection, such an
// answer can belong to no other request.
type Transport struct{ http *http.Transport }

// New returns a Transport that sends with t. For https, t needs a DialTLSContext. Requests
// must not ask for another protocol.
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

// Exchange is RoundTrip. It also returns how the request used its connection. A request with
// a body needs its ContentLength.
func (t *Transport) Exchange(req *http.Request) (*http.Response, *Use, error) {
	use := &Use{}
	length := bodyLength(req)
	if length == unknownLength {
		_ = req.Body.Close() // as RoundTrip must; the body is not used
		return nil, use, errUnknownLength
	}
	trace := &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { use.gotConn(info, req.Method, length) },
		GotFirstResponseByte: use.gotFirstByte,
	}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, use, use.cause(req.Context(), err)
	}
	if use.early.Load() {
		_ = resp.Body.Close() // the answer is not used
		use.Discard()
		return nil, use, ErrEarlyAnswer
	}
	return resp, use, nil
}

// bodyLength returns the length of a request's body, or unknownLength.
func bodyLength(req *http.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength <= 0:
		return unknownLength
	}
	return req.ContentLength
}

// Use describes the connection of one request. The transport may set it on a goroutine of
// its own.
type Use struct {
	conn  atomic.Pointer[Conn]
	kept  atomic.Bool
	early atomic.Bool
}

func (u *Use) gotConn(info httptrace.GotConnInfo, method string, length int64) {
	c := info.Conn.(*Conn) // opened by the function of wrap
	c.begin(method == http.MethodHead, length)
	u.kept.Store(c.requests.Load() > 1)
	u.conn.Store(c)
}

// cause returns the fault of a broken head in place of the error that net/http made of it.
func (u *Use) cause(ctx context.Context, err error) error {
	if c := u.conn.Load(); c != nil && ctx.Err() == nil {
		if broken := c.brokenHead(); broken != nil {
			return broken
		}
	}
	return err
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
