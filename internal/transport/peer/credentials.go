package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/tlsfiles"
)

// credentials builds the TLS configurations of servers and clients.
type credentials interface {
	serverTLS() *tls.Config
	// clientTLS returns the configuration for one connection.
	clientTLS() *tls.Config
}

func newCredentials(o Options) (credentials, error) {
	if o.Pinned != nil {
		return o.Pinned, nil
	}
	files, err := tlsfiles.Open(tlsfiles.Paths{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile})
	return fileCredentials{files}, err
}

// fileCredentials trusts certificates that the configured CA signed.
type fileCredentials struct {
	files *tlsfiles.Files
}

// serverTLS returns a configuration that uses the current certificate files
// at each handshake.
func (c fileCredentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPN},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.files.Current()
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
func (c fileCredentials) clientTLS() *tls.Config {
	cert, roots := c.files.Current()
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

// certificateName returns the instance name in the peer's certificate: its
// first DNS name, or its common name if it has none.
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
