package e2e

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// crowdHandshakes are begun by one client. At 70 kB each they take more than the memory of
// the instance.
const crowdHandshakes = 2000

// retryOnly is a socket that receives only QUIC's Retry packets, so that a handshake over
// it passes the check of its address and is never finished. quic-go would read past
// ReadFrom if the type had the other methods of net.UDPConn.
type retryOnly struct{ net.PacketConn }

// ReadFrom implements net.PacketConn.
func (c retryOnly) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || (n > 0 && p[0]&0xf0 == 0xf0) { // long header of type Retry, RFC 9000 section 17.2.5
			return n, from, err
		}
	}
}

// Guards against an instance that runs out of memory because anybody who reaches its peer
// address can begin handshakes and leave them unfinished.
func TestUncontrolledHandshakes(t *testing.T) {
	c := startCrowdTarget(t)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: retryOnly{socket}}
	defer func() {
		assert.Check(t, transport.Close())
		assert.Check(t, socket.Close())
	}()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var finished atomic.Int64
	var dialled sync.WaitGroup
	for range crowdHandshakes {
		dialled.Go(func() {
			_, err := transport.Dial(ctx, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: c.peers},
				&tls.Config{InsecureSkipVerify: true, NextProtos: []string{peer.ALPN}}, &quic.Config{HandshakeIdleTimeout: crowdTime})
			if err == nil {
				finished.Add(1)
			}
		})
	}
	c.meet(1, func(int, net.Conn) {})
	dialled.Wait()
	assert.Equal(t, finished.Load(), int64(0))
}
