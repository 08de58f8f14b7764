package callerlimit

import (
	"container/list"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Limits of servers that set none of their own.
const (
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 2 * time.Minute
	defaultHeaderBytes = 64 << 10
)

// ServerOptions configure the listener of one HTTP server.
type ServerOptions struct {
	Name           string                                       // label of metrics and log lines
	MaxConnections int                                          // zero means the Guard's bound
	Limits         func() model.CallerLimits                    // limits in force; nil means those of the server
	Refuse         func(w http.ResponseWriter, r *http.Request) // answers a request for which there is no memory; nil means a plain refusal
	WriteStall     time.Duration                                // after which a caller that takes nothing of an answer is cut off; zero means 30 s
	AlwaysServe    bool                                         // small heads are served without memory in the budget: a few trusted callers
}

// Protect makes the HTTP server keep to the limits and returns the listener to serve on.
// Only HTTP/1.1 is served then: the limits apply to a connection, and requests of HTTP/2
// share one.
func (g *Guard) Protect(server *http.Server, inner net.Listener, o ServerOptions) net.Listener {
	if o.MaxConnections == 0 {
		o.MaxConnections = g.maxConnections
	}
	if o.Limits == nil {
		o.Limits = func() model.CallerLimits { return model.CallerLimits{} }
	}
	o.WriteStall = orDefault(o.WriteStall, stallTime)
	if o.Refuse == nil {
		o.Refuse = refuse
	}
	l := &listener{Listener: inner, guard: g, opts: o, idle: list.New()}
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.ReadHeaderTimeout = orDefault(server.ReadHeaderTimeout, defaultHeaderTime)
	server.IdleTimeout = orDefault(server.IdleTimeout, defaultIdleTime)
	server.MaxHeaderBytes = orDefault(server.MaxHeaderBytes, defaultHeaderBytes)
	l.headerBytes, l.headerTime, l.idleTime = server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout
	server.ConnContext = withConn(server.ConnContext)
	server.ConnState = func(inner net.Conn, state http.ConnState) {
		if c, ok := inner.(*conn); ok && state == http.StateIdle {
			c.requestEnded()
		}
	}
	server.Handler = l.handler(server.Handler)
	return l
}

// ProtectTLS is Protect for a server with TLS; config is nil for plain HTTP. Heads are
// counted after decryption.
func (g *Guard) ProtectTLS(server *http.Server, inner net.Listener, config *tls.Config, o ServerOptions) net.Listener {
	if config != nil {
		config = config.Clone()
		config.NextProtos = []string{"http/1.1"}
		inner = tls.NewListener(inner, config)
	}
	return g.Protect(server, inner, o)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// listener admits connections. mu guards open and idle; it is a leaf lock.
type listener struct {
	net.Listener
	guard       *Guard
	opts        ServerOptions
	headerBytes int
	headerTime  time.Duration
	idleTime    time.Duration

	mu   sync.Mutex
	open int
	idle *list.List // of *conn, the longest idle first
}

// handler refuses requests whose head was let through without memory.
func (l *listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || !c.headRead() || l.opts.AlwaysServe {
			if len(r.TransferEncoding) > 0 {
				r.Body = trailerDropper{r.Body, r}
			}
			next.ServeHTTP(w, r)
			return
		}
		l.guard.Count(l.opts.Name, CauseMemory)
		w.Header().Set("Connection", "close")
		c.discard(w, r)
		l.opts.Refuse(w, r)
	})
}

// trailerDropper drops the trailer fields after a body in chunks, which no handler uses.
// They are up to 4 KiB that parsing makes 100 times as large.
type trailerDropper struct {
	io.ReadCloser
	request *http.Request
}

// Read implements io.Reader.
func (d trailerDropper) Read(p []byte) (int, error) {
	n, err := d.ReadCloser.Read(p)
	if err != nil {
		d.request.Trailer = nil
	}
	return n, err
}

// Accept implements net.Listener. At the bound it closes the connection that has been idle
// for longest, or the new one if all have requests.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			c := &conn{Conn: inner, listener: l, idleSince: time.Now(), fresh: true}
			l.addIdle(c)
			return c, nil
		}
		_ = inner.Close()
		l.guard.Count(l.opts.Name, CauseConnections)
	}
}

// admit counts a new connection and reports whether it may be served.
func (l *listener) admit() bool {
	for {
		oldest, ok := l.countOpen()
		if oldest == nil {
			return ok
		}
		if oldest.closeIfIdle() {
			l.guard.Count(l.opts.Name, CauseIdle)
		}
	}
}

// countOpen counts a new connection, or returns the one to close for it.
func (l *listener) countOpen() (oldest *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.opts.MaxConnections {
		l.open++
		return nil, true
	}
	front := l.idle.Front()
	if front == nil {
		return nil, false
	}
	oldest, _ = l.idle.Remove(front).(*conn)
	oldest.element = nil
	return oldest, false
}

func (l *listener) addIdle(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil && !c.removed {
		c.element = l.idle.PushBack(c)
	}
}

func (l *listener) removeIdle(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
}

// closed forgets a connection. It is called once for each.
func (l *listener) closed(c *conn) {
	l.removeIdle(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.removed = true
	l.open--
}
