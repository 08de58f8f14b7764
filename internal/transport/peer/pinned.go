package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/gravitational/trace"
)

// pinnedLifetime is the validity, before and after now, of the certificate that
// a process makes at its start. Peers check the fingerprint and not the validity
// period, since clocks differ.
const pinnedLifetime = 10 * 365 * 24 * time.Hour

// PinnedCredentials trusts certificates by their fingerprints, which instances publish in
// a store that only they can write.
type PinnedCredentials struct {
	certificate tls.Certificate
	fingerprint string
	// Trusted reports whether the fingerprint is the one that the instance of
	// this name published.
	Trusted func(name, fingerprint string) bool
}

// NewPinned makes a key and a certificate for this process.
func NewPinned(name string, trusts func(name, fingerprint string) bool) (*PinnedCredentials, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-pinnedLifetime),
		NotAfter:     now.Add(pinnedLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &PinnedCredentials{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		fingerprint: fingerprint(der),
		Trusted:     trusts,
	}, nil
}

// Fingerprint returns the fingerprint of this process's certificate, by which
// peers trust the process.
func (p *PinnedCredentials) Fingerprint() string { return p.fingerprint }

func fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

func (p *PinnedCredentials) serverTLS() *tls.Config {
	config := p.clientTLS()
	config.ClientAuth = tls.RequireAnyClientCert // VerifyConnection checks it
	config.SessionTicketsDisabled = true         // a resumed session would skip the check
	return config
}

func (p *PinnedCredentials) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{ALPN},
		Certificates:       []tls.Certificate{p.certificate},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection:   p.verify,
	}
}

func (p *PinnedCredentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer has no certificate")
	}
	name := certificateName(state)
	if !p.Trusted(name, fingerprint(state.PeerCertificates[0].Raw)) {
		return trace.AccessDenied("certificate is not the one that instance %q published", name)
	}
	return nil
}
