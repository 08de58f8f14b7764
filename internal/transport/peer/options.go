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
	// DefaultKeepAlive and DefaultIdleTimeout let a dead peer be noticed within
	// 2 s. The first lost probe starts the idle time anew, so the two add up:
	// 1.8 s of idle time took 2.3 s on loopback.
	DefaultKeepAlive   = 500 * time.Millisecond
	DefaultIdleTimeout = 1400 * time.Millisecond
	// QuietIdleTimeout is for connections without keep-alive. 300 connections
	// that are probed twice a second would alone exceed the control budget of
	// 22 kB/s, and a handshake costs about 5 kB, so gossip keeps its
	// connections open without probes.
	QuietIdleTimeout = 5 * time.Minute
	handshakeTimeout = time.Second
	// lingerTime lets requests in flight end on a connection that is replaced.
	lingerTime         = 2 * time.Second
	maxStreams         = 4096     // concurrent requests on one connection
	streamWindow       = 64 << 10 // initial flow control window; most messages are smaller
	maxStreamWindow    = 8 << 20  // peerwire.MaxMessageBytes
	connectionWindow   = 128 << 10
	maxConnWindow      = 16 << 20
	defaultMaxPeers    = 1024
	firstRetryDelay    = 50 * time.Millisecond
	longestRetryDelay  = 5 * time.Second
	instrumentationKey = "github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
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
	// Pinned replaces the files where instances learn each other's certificates
	// from a shared store.
	Pinned *Pinned
	// Datagrams receives the messages that peers send without a reply. It runs
	// on a network goroutine and only hands over. Nil drops them.
	Datagrams func(from Peer, m peerwire.Message)
	// KeepAlive is the time between a client's probes; zero means
	// DefaultKeepAlive and a negative value means none.
	KeepAlive time.Duration
	// IdleTimeout ends a connection without traffic; zero means
	// DefaultIdleTimeout, or QuietIdleTimeout without probes. A server always
	// follows its clients' timeouts, up to QuietIdleTimeout.
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
		o.IdleTimeout = QuietIdleTimeout
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
