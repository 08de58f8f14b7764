// Package devcert makes a certificate authority and instance certificates for
// development and tests.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

const (
	caLifetime       = 365 * 24 * time.Hour
	instanceLifetime = 90 * 24 * time.Hour
	clockSkew        = time.Hour // certificates are valid from this long before now, as clocks may differ
)

// Authority is a certificate authority in a directory. Its private key stays
// in memory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files names the PEM files of one instance.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// New makes an authority and writes ca.pem to the directory.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber:          serial(),
		Subject:               pkix.Name{CommonName: "sequoiavalve development CA"},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().Add(caLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.caFile(), "CERTIFICATE", der, 0o644)
}

func (a *Authority) caFile() string { return filepath.Join(a.dir, "ca.pem") }

// Issue makes a certificate for an instance and writes <name>.pem and <name>.key
// to the directory. The certificate is also valid for the loopback addresses.
func (a *Authority) Issue(name string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial(),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(instanceLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	f := Files{Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: a.caFile()}
	if err := writePEM(f.Key, "EC PRIVATE KEY", keyDER, 0o600); err != nil {
		return Files{}, err
	}
	return f, writePEM(f.Cert, "CERTIFICATE", der, 0o644)
}

func serial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), 120)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic("devcert: read random bytes: " + err.Error())
	}
	return n
}

func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(name, data, mode))
}
