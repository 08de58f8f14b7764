package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	kratos "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

const (
	// monitorConnections bounds the connections of a server that only the platform's
	// checks and scrapers use, a few at a time.
	monitorConnections = 32
	// addressShare is the part of the callers' connections that those who ask for
	// addresses get in addition, as a divisor. Each caller asks once in some seconds.
	addressShare = 4
	// Limits of requests without a body. Their heads have less than 1 KiB.
	pathHeaderTime  = 5 * time.Second
	pathReadTime    = 10 * time.Second
	pathIdleTime    = 2 * time.Minute
	pathHeaderBytes = 16 << 10
)

// Servers returns the listeners of the instance.
func (e *Edge) Servers() []transport.Server {
	list := []transport.Server{e.ingress, e.newPathServer(e.settings.ReadyAddress, platform.ReadyPath, platform.ReadyHandler(e.Ready),
		callerlimit.ServerOptions{Name: "ready", MaxConnections: monitorConnections, AlwaysServe: true})}
	if e.settings.ResolutionAddress != "" {
		list = append(list, e.newPathServer(e.settings.ResolutionAddress, platform.ResolutionPath, platform.ResolutionHandler(e.nearbyEndpoints),
			callerlimit.ServerOptions{Name: "addresses", MaxConnections: max(e.limits.MaxConnections()/addressShare, monitorConnections)}))
	}
	if e.opts.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(e.settings.CallerAddress)
		if err == nil {
			list = append(list, e.newPathServer(net.JoinHostPort(host, strconv.Itoa(e.opts.MetricsPort)), "/metrics", e.opts.Metrics,
				callerlimit.ServerOptions{Name: "metrics", MaxConnections: monitorConnections, AlwaysServe: true}))
		}
	}
	return list
}

// immediateServer is a server that stops without waiting for its requests, which
// callers can repeat.
type immediateServer struct {
	*kratos.Server
	address string
	limits  *callerlimit.Guard
	options callerlimit.ServerOptions
	listens bool
}

// listen opens the listener, with the limits on callers.
func (c *immediateServer) listen() error {
	if c.listens {
		return nil
	}
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	kratos.Listener(c.limits.Protect(c.Server.Server, listener, c.options))(c.Server)
	c.listens = true
	return nil
}

// Endpoint implements transport.Endpointer. kratos calls it before Start.
func (c *immediateServer) Endpoint() (*url.URL, error) {
	if err := c.listen(); err != nil {
		return nil, err
	}
	return c.Server.Endpoint()
}

// Start implements transport.Server.
func (c *immediateServer) Start(ctx context.Context) error {
	if err := c.listen(); err != nil {
		return err
	}
	if err := c.Server.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop implements transport.Server.
func (c *immediateServer) Stop(context.Context) error { return c.Close() }

// newPathServer returns a server with one handler, at the path.
func (e *Edge) newPathServer(address, path string, handler http.Handler, options callerlimit.ServerOptions) transport.Server {
	s := kratos.NewServer(kratos.Address(address))
	s.Handle(path, handler)
	s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout = pathHeaderTime, pathReadTime, pathIdleTime
	s.MaxHeaderBytes = pathHeaderBytes
	return &immediateServer{Server: s, address: address, limits: e.limits, options: options}
}

// nearbyEndpoints returns the instances that a caller in the failure domain should
// use. It returns none until the list of instances has been read, so that callers
// ask another instance.
func (e *Edge) nearbyEndpoints(domain model.FailureDomain, now time.Time) membership.Endpoints {
	if !e.registry.InstancesKnown() {
		return membership.Endpoints{}
	}
	return membership.Nearby(e.cell.Members(), domain, now)
}

// Ready reports whether requests can be served.
func (e *Edge) Ready() bool { return !e.draining.Load() && e.rules.Current() != nil }
