package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// readHeaderTimeout bounds how long a client may take to send the headers of a
// request, so that an idle or broken client does not hold a connection.
const readHeaderTimeout = 10 * time.Second

// Server serves a stand-in on a loopback address until its context ends.
type Server struct {
	Handler http.Handler
	Grace   time.Duration // how long a stop waits for requests in flight
	// Ready runs once the server listens. Draining runs when a stop begins,
	// before the server waits for the requests in flight. Both may be nil.
	Ready    func(address string)
	Draining func()
}

// Listen opens a loopback address "IP:port". Port 0 chooses a free port.
func Listen(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, trace.BadParameter("address %q is not IP:port: %v", address, err)
	}
	if !resolved.IP.IsLoopback() {
		return nil, trace.BadParameter("address %q is not a loopback address; stand-ins serve this machine only", address)
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, trace.AlreadyExists("address %s is in use by another process; choose another with --addr", address)
	}
	return listener, trace.Wrap(err)
}

// Run serves until the context ends, then waits up to the grace time for the
// requests in flight and cuts those that are left.
func (s Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	if s.Ready != nil {
		s.Ready(listener.Addr().String())
	}
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	if s.Draining != nil {
		s.Draining()
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Grace)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		log.WithField("part", "standin").WithError(err).Warn("requests in flight were cut")
		return trace.Wrap(server.Close())
	}
	return nil
}
