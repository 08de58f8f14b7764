package callerlimit

import (
	"container/list"
	"crypto/tls"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a listener that accepts nothing while it closes an idle connection whose
// peer does not read: closing a TLS connection waits up to 5 s to write an alert.
func TestEvictionDoesNotWaitForThePeer(t *testing.T) {
	template := httptest.NewTLSServer(nil)
	defer template.Close()
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	handshake := make(chan error, 1)
	inner := tls.Server(server, template.TLS)
	go func() { handshake <- inner.Handshake() }()
	peer := tls.Client(client, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}) //nolint:gosec // the test does not check the certificate
	assert.NilError(t, peer.Handshake())
	assert.NilError(t, <-handshake)
	l := &listener{guard: newGuard(0, 0), opts: ServerOptions{MaxConnections: 1}, idle: list.New()}
	assert.Assert(t, l.admit())
	l.addIdle(&conn{Conn: inner, listener: l, fresh: true})
	begun := time.Now()
	assert.Assert(t, l.admit())
	assert.Assert(t, time.Since(begun) < 3*time.Second, "closed after %s", time.Since(begun))
}
