// Package ports chooses free loopback ports for the stand-ins, instances and
// other processes that a test or a trial starts on one machine.
package ports

import (
	"net"
	"os"
	"sync"

	"github.com/gravitational/trace"
)

// The ports lie below the kernel's ephemeral port range, so that an outgoing
// connection cannot occupy a port between its choice and its use.
const (
	firstPort = 12000
	endPort   = 32000 // exclusive
	// portsPerProcess is the distance between the first ports of processes with
	// consecutive process IDs. It keeps processes that start at the same time, as
	// the tests of several packages do, from choosing the same port.
	portsPerProcess = 128
)

// tried counts the ports that Free has tried; its mutex guards count. No port is
// tried twice in one process.
var tried struct {
	sync.Mutex
	count int
}

// Free returns a port on which no process of this machine listens, neither on
// TCP nor on UDP.
func Free() (int, error) {
	tried.Lock()
	defer tried.Unlock()
	for tried.count < endPort-firstPort {
		port := firstPort + (os.Getpid()*portsPerProcess+tried.count)%(endPort-firstPort)
		tried.count++
		if isFree(port) {
			return port, nil
		}
	}
	return 0, trace.LimitExceeded("no port from %d to %d is left", firstPort, endPort-1)
}

func isFree(port int) bool {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }() // nothing connected to it
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return false
	}
	return socket.Close() == nil
}
