package debugserver

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/settings"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

// Limits of one request. The largest answer, a list of 3,500 upstreams, takes
// 1 MiB.
const (
	headerTime     = time.Second
	readTime       = 5 * time.Second
	writeTime      = time.Minute
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxConnections = 64 // of operators and scrapers
)

// Server serves the debug API and the metrics on an address of their own.
type Server struct {
	http     *http.Server
	listener net.Listener
	running  sync.WaitGroup
}

// FromSettings starts a server on the debug address in a daemon's settings.
func FromSettings(s settings.Common, debug, metrics http.Handler, logger log.Interface) (*Server, error) {
	config, err := tlsfiles.Server(s.Debug.TLS.Cert, s.Debug.TLS.Key)
	if err != nil {
		return nil, trace.Wrap(err, "debug.tls")
	}
	return Listen(s.MetricsListen, config, debug, metrics, logger)
}

// Listen starts a server that runs until Close. config is nil for plain HTTP.
// Metrics need no credential, as scrapers have none.
func Listen(address string, config *tls.Config, debug, metrics http.Handler, logger log.Interface) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "listen on debug address %s: %v", address, err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	mux.Handle(debugapi.Prefix, debug)
	s := &Server{
		http: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerTime,
			ReadTimeout:       readTime,
			WriteTimeout:      writeTime,
			IdleTimeout:       idleTime,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
	s.listener = callerlimit.ForProcess(logger).ProtectTLS(s.http, listener, config, callerlimit.ServerOptions{
		Name: "debug", MaxConnections: maxConnections, AlwaysServe: true,
	})
	s.running.Go(func() { s.serve(logger) })
	return s, nil
}

func (s *Server) serve(logger log.Interface) {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		logger.WithField("part", "debug").WithError(err).Error("debug server failed")
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the server and its connections at once: clients can repeat any
// request.
func (s *Server) Close() error {
	err := s.http.Close()
	s.running.Wait()
	return trace.Wrap(err)
}
