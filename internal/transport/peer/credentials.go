package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// credentials reads the certificate, key and CA files again when one of them
// changes. mu guards the rest and is held while the files are read.
type credentials struct {
	certFile, keyFile, caFile string

	mu    sync.Mutex
	seen  [3]fileState
	cert  tls.Certificate
	roots *x509.CertPool
}

type fileState struct {
	modified time.Time
	size     int64
}

func newCredentials(o Options) (*credentials, error) {
	c := &credentials{certFile: o.CertFile, keyFile: o.KeyFile, caFile: o.CAFile}
	seen, err := c.stat()
	if err != nil {
		return nil, err
	}
	if err := c.read(); err != nil {
		return nil, err
	}
	c.seen = seen
	return c, nil
}

// current returns the certificate and the CA. Files that cannot be read leave
// the last ones in force: they may be replaced one after another.
func (c *credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, err := c.stat()
	if err == nil && seen == c.seen {
		return c.cert, c.roots
	}
	if err == nil {
		err = c.read()
	}
	if err != nil {
		log.WithField("part", "peer").WithError(err).Warn("certificate files are not usable, keeping the last ones")
		return c.cert, c.roots
	}
	c.seen = seen
	return c.cert, c.roots
}

func (c *credentials) stat() ([3]fileState, error) {
	var seen [3]fileState
	for i, name := range []string{c.certFile, c.keyFile, c.caFile} {
		info, err := os.Stat(name)
		if err != nil {
			return seen, trace.ConvertSystemError(err)
		}
		seen[i] = fileState{info.ModTime(), info.Size()}
	}
	return seen, nil
}

func (c *credentials) read() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return trace.Wrap(err, "read certificate %s", c.certFile)
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return trace.BadParameter("file %s holds no CA certificate", c.caFile)
	}
	c.cert, c.roots = cert, roots
	return nil
}

// serverTLS asks for the current files at each handshake.
func (c *credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{ALPN},
				Certificates:           []tls.Certificate{cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              roots,
				SessionTicketsDisabled: true, // a resumed session would skip a changed CA
			}, nil
		},
	}
}

// clientTLS returns the configuration for one connection. Peers are addressed
// by IP, and their certificates carry instance names, so the chain is verified
// here without a host name.
func (c *credentials) clientTLS() *tls.Config {
	cert, roots := c.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{ALPN},
		Certificates:       []tls.Certificate{cert},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state, roots)
		},
	}
}

func verifyServer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// certificateName returns the name of the peer's instance.
func certificateName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	cert := state.PeerCertificates[0]
	if len(cert.DNSNames) > 0 {
		return cert.DNSNames[0]
	}
	return cert.Subject.CommonName
}
