// Package peer carries messages between the system's processes over QUIC with
// mutual TLS. Each request has a stream of its own; connections are reused.
package peer

import (
	"time"

	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
)

// ALPN is the application protocol in the TLS handshake.
const ALPN = "sequoiavalve/1"

// Times and limits of connections.
const (
	// DefaultKeepAlive and DefaultIdleTimeout detect a dead peer within 2 s. The
	// first lost probe restarts the idle timer, so the two times add up: with an
	// idle timeout of 1.8 s, detection took 2.3 s on loopback.
	DefaultKeepAlive   = 500 * time.Millisecond
	DefaultIdleTimeout = 1400 * time.Millisecond
	// IdleTimeoutWithoutKeepAlive is for connections without keep-alive. Probing 300
	// connections twice a second would alone exceed the control traffic budget
	// of 22 kB/s, and a handshake costs about 5 kB, so gossip keeps its
	// connections open without probes.
	IdleTimeoutWithoutKeepAlive = 5 * time.Minute
	handshakeTimeout            = time.Second
	// lingerTime is the time for requests in flight on a replaced connection to
	// finish before the connection is closed.
	lingerTime           = 2 * time.Second
	maxStreams           = 4096     // concurrent requests on one connection
	streamWindow         = 64 << 10 // initial flow control window in bytes; most messages are smaller
	maxStreamWindow      = 8 << 20  // bytes, equal to peerwire.MaxMessageBytes
	connectionWindow     = 128 << 10
	maxConnWindow        = 16 << 20
	defaultMaxPeers      = 1024
	firstRetryDelay      = 50 * time.Millisecond
	longestRetryDelay    = 5 * time.Second
	instrumentationScope = "github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Options configure a Server or a Client.
type Options struct {
	// Address is the UDP IP:port that a server listens on.
	Address string
	// CertFile, KeyFile and CAFile are PEM files. They are read again when they
	// change. The certificate's first DNS name, or its common name, names the
	// instance to its peers.
	CertFile string
	KeyFile  string
	CAFile   string
	// Pinned is used instead of the files if instances publish the fingerprints
	// of their certificates in a shared store.
	Pinned *PinnedCredentials
	// Datagrams is called with each message that arrives as a datagram. It runs
	// on a network goroutine and must not block. If it is nil, datagrams are
	// dropped.
	Datagrams func(from Peer, m peerwire.Message)
	// KeepAlive is the interval of a client's keep-alive probes; zero means
	// DefaultKeepAlive and a negative value means no probes.
	KeepAlive time.Duration
	// IdleTimeout ends a connection without traffic; zero means
	// DefaultIdleTimeout, or IdleTimeoutWithoutKeepAlive without probes. A server uses
	// the timeouts of its clients, up to IdleTimeoutWithoutKeepAlive.
	IdleTimeout time.Duration
	// MaxPeers bounds a client's connections; zero means 1024.
	MaxPeers int
	// Meters and Tracers default to the global providers.
	Meters  metric.MeterProvider
	Tracers trace.TracerProvider
}

func (o *Options) setDefaults() {
	if o.KeepAlive == 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.IdleTimeout == 0 && o.KeepAlive > 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = IdleTimeoutWithoutKeepAlive
	}
	if o.MaxPeers == 0 {
		o.MaxPeers = defaultMaxPeers
	}
	if o.Meters == nil {
		o.Meters = otel.GetMeterProvider()
	}
	if o.Tracers == nil {
		o.Tracers = otel.GetTracerProvider()
	}
}

func quicConfig(keepAlive, idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idle,
		KeepAlivePeriod:                max(keepAlive, 0),
		EnableDatagrams:                true,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}
