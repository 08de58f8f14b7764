package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	kratos "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/platform"
)

// Servers returns the listeners of the instance.
func (e *Edge) Servers() []transport.Server {
	list := []transport.Server{e.ingress, newPathServer(e.settings.ReadyAddress, platform.ReadyPath, platform.ReadyHandler(e.Ready))}
	if e.settings.ResolutionAddress != "" {
		list = append(list, newPathServer(e.settings.ResolutionAddress, platform.ResolutionPath, platform.ResolutionHandler(e.nearbyEndpoints)))
	}
	if e.opts.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(e.settings.CallerAddress)
		if err == nil {
			list = append(list, newPathServer(net.JoinHostPort(host, strconv.Itoa(e.opts.MetricsPort)), "/metrics", e.opts.Metrics))
		}
	}
	return list
}

// immediateServer is a server that stops without waiting for its requests, which
// callers can repeat.
type immediateServer struct{ *kratos.Server }

// Start implements transport.Server.
func (c immediateServer) Start(ctx context.Context) error {
	if err := c.Server.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop implements transport.Server.
func (c immediateServer) Stop(context.Context) error { return c.Close() }

// newPathServer returns a server with one handler, at the path.
func newPathServer(address, path string, handler http.Handler) transport.Server {
	s := kratos.NewServer(kratos.Address(address))
	s.Handle(path, handler)
	return immediateServer{s}
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
