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

// Paths are the paths of the files.
type Paths struct {
	Cert string
	Key  string
	CA   string // empty means none
}

// Files holds the content of the files. mu guards the fields below it and is
// held while the files are read.
type Files struct {
	names Paths

	mu    sync.Mutex
	seen  [3]fileState
	cert  tls.Certificate
	roots *x509.CertPool
}

// fileState holds the attributes by which a replaced file is detected.
type fileState struct {
	modified time.Time
	size     int64
}

// Open reads the files.
func Open(names Paths) (*Files, error) {
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
	files, err := Open(Paths{Cert: cert, Key: key})
	if err != nil {
		return nil, err
	}
	return files.serverConfig(), nil
}

// Current returns the certificate and the CA, which is nil without a CA file. If
// the files cannot be read, the last content stays in use: files may be replaced
// one after another and not match in between.
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

// serverConfig uses the current certificate for each handshake and requests no
// client certificates.
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
