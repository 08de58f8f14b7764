package ports

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against ports in the ephemeral range, which a connection of another
// process could occupy before the port is used, and against ports that are
// returned twice.
func TestFree(t *testing.T) {
	seen := map[int]bool{}
	for range 100 {
		port, err := Free()
		assert.NilError(t, err)
		assert.Assert(t, !seen[port])
		seen[port] = true
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		chosen := socket.LocalAddr().(*net.UDPAddr).Port
		assert.NilError(t, socket.Close())
		assert.Assert(t, port < 32768 && chosen >= 32768, "port %d is in the range of connections, as %d", port, chosen)
	}
}

// Guards against a port that is free for only one of TCP and UDP.
func TestPortTakenByOneProtocol(t *testing.T) {
	port, err := Free()
	assert.NilError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	assert.NilError(t, err)
	assert.Assert(t, !isFree(port))
	assert.NilError(t, socket.Close())
	assert.Assert(t, isFree(port))
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	assert.NilError(t, err)
	defer listener.Close()
	assert.Assert(t, !isFree(port))
}
