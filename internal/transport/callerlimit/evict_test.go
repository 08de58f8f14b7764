package callerlimit

import (
	"container/list"
	"crypto/tls"
	"io"
	"net"
	"net/http"
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

// Guards against a request whose first bytes net/http has read, while it waited for the
// answer before, and that is lost because its connection counts as idle.
func TestConnectionsWithBytesOfARequestAreNotEvicted(t *testing.T) {
	for _, begin := range []string{"G", "GET / HTTP/1.1\r\n"} {
		g := newGuard(smallestMemory, reservedDescriptors+internalDescriptors+2*minConnections)
		limits := callerLimits
		limits.HeaderTime = 20 * time.Second
		release := make(chan struct{})
		address := startLimitedServer(t, g, release, limits)
		conn, in := dial(t, address)
		_, err := io.WriteString(conn, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond) // until net/http reads on while the handler runs
		_, err = io.WriteString(conn, begin)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		close(release)
		_, _ = answer(t, in)
		for range 2 * minConnections {
			other, otherIn := dial(t, address)
			_, err := io.WriteString(other, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			_, _ = answer(t, otherIn)
		}
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"[len(begin):])
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err, "%q", begin)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}
