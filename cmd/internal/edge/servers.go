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

// Servers are the listeners of the instance.
func (e *Edge) Servers() []transport.Server {
	list := []transport.Server{e.ingress, plainServer(e.settings.ReadyAddress, platform.ReadyPath, platform.ReadyHandler(e.Ready))}
	if e.settings.ResolutionAddress != "" {
		list = append(list, plainServer(e.settings.ResolutionAddress, platform.ResolutionPath, platform.ResolutionHandler(e.nearby)))
	}
	if e.opts.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(e.settings.CallerAddress)
		if err == nil {
			list = append(list, plainServer(net.JoinHostPort(host, strconv.Itoa(e.opts.MetricsPort)), "/metrics", e.opts.Metrics))
		}
	}
	return list
}

// closer ends a server without waiting: its requests can be repeated.
type closer struct{ *kratos.Server }

// Start implements transport.Server.
func (c closer) Start(ctx context.Context) error {
	if err := c.Server.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop implements transport.Server.
func (c closer) Stop(context.Context) error { return c.Close() }

func plainServer(address, path string, handler http.Handler) transport.Server {
	s := kratos.NewServer(kratos.Address(address))
	s.Handle(path, handler)
	return closer{s}
}

// nearby answers a caller that asks for addresses. Before the instances are
// known it names none, so that callers ask another one.
func (e *Edge) nearby(domain model.FailureDomain, now time.Time) membership.Endpoints {
	if !e.registry.InstancesKnown() {
		return membership.Endpoints{}
	}
	return membership.Nearby(e.cell.Members(), domain, now)
}

// Ready reports whether requests can be served.
func (e *Edge) Ready() bool { return !e.leaving.Load() && e.rules.Current() != nil }
