// Package tlsfiles reads certificates, keys and CAs from PEM files, and reads
// them again when one of the files changes.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// Names are the paths of the files.
type Names struct {
	Cert string
	Key  string
	CA   string // empty means none
}

// Files holds the content of the files. mu guards the fields below it and is
// held while the files are read.
type Files struct {
	names Names

	mu    sync.Mutex
	seen  [3]fileState
	cert  tls.Certificate
	roots *x509.CertPool
}

// fileState tells whether a file was replaced.
type fileState struct {
	modified time.Time
	size     int64
}

// Open reads the files.
func Open(names Names) (*Files, error) {
	f := &Files{names: names}
	seen, err := f.stat()
	if err != nil {
		return nil, err
	}
	if err := f.read(); err != nil {
		return nil, err
	}
	f.seen = seen
	return f, nil
}

// Server returns the configuration of an HTTP server with the given files, nil
// for plain HTTP if cert is empty.
func Server(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	files, err := Open(Names{Cert: cert, Key: key})
	if err != nil {
		return nil, err
	}
	return files.serverConfig(), nil
}

// Current returns the certificate and the CA, nil without a CA file. Files
// that cannot be read leave the last ones in force: they may be replaced one
// after another.
func (f *Files) Current() (tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, err := f.stat()
	if err == nil && seen == f.seen {
		return f.cert, f.roots
	}
	if err == nil {
		err = f.read()
	}
	if err != nil {
		log.WithField("part", "tls").WithError(err).Warn("certificate files are not usable, keeping the last ones")
		return f.cert, f.roots
	}
	f.seen = seen
	return f.cert, f.roots
}

// serverConfig takes the current certificate for each handshake and asks
// clients for none.
func (f *Files) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := f.Current()
			return &cert, nil
		},
	}
}

func (f *Files) stat() ([3]fileState, error) {
	var seen [3]fileState
	for i, name := range []string{f.names.Cert, f.names.Key, f.names.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return seen, trace.ConvertSystemError(err)
		}
		seen[i] = fileState{info.ModTime(), info.Size()}
	}
	return seen, nil
}

func (f *Files) read() error {
	cert, err := tls.LoadX509KeyPair(f.names.Cert, f.names.Key)
	if err != nil {
		return trace.Wrap(err, "read certificate %s", f.names.Cert)
	}
	var roots *x509.CertPool
	if f.names.CA != "" {
		if roots, err = Roots(f.names.CA); err != nil {
			return err
		}
	}
	f.cert, f.roots = cert, roots
	return nil
}

// Roots reads the CA certificates of a PEM file.
func Roots(name string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("file %s holds no CA certificate", name)
	}
	return roots, nil
}
