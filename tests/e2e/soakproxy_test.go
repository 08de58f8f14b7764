package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says how a proxy treats its connections and the bytes on them.
type proxyMode string

// Modes of a proxy. modeSilent and modeOneWay hold bytes back until the mode
// changes.
const (
	modePass   proxyMode = "pass"
	modeDelay  proxyMode = "delay"
	modeSilent proxyMode = "silent"  // forwards nothing, in either direction
	modeOneWay proxyMode = "one way" // forwards only what the client sends
	modeReset  proxyMode = "reset"   // resets existing and new connections
)

const (
	proxyDelay  = 60 * time.Millisecond
	proxyBuffer = 16 << 10 // bytes
)

// proxy forwards TCP connections on the loopback between one server and its
// clients, with the faults of its mode. mu guards mode, changed and conns.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{} // closed and replaced when mode changes
	conns   map[*net.TCPConn]bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, mode: modePass, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == modeReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *proxy) close() {
	p.setMode(modeReset)
	_ = p.listener.Close()
}

// state returns the mode and a channel that is closed at its next change.
func (p *proxy) state() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in.(*net.TCPConn))
	}
}

func (p *proxy) serve(in *net.TCPConn) {
	if mode, _ := p.state(); mode == modeReset {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	server := out.(*net.TCPConn)
	p.track(in, server, true)
	defer p.track(in, server, false)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, in, false) })
	both.Go(func() { p.copy(in, server, true) })
	both.Wait()
}

func (p *proxy) track(a, b *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[a], p.conns[b] = true, true
		return
	}
	delete(p.conns, a)
	delete(p.conns, b)
}

// copy forwards bytes in one direction until one side closes. The end of the
// server's bytes, also by an error, or an EOF of the client closes the direction;
// any other error of the client resets the connection to the server.
func (p *proxy) copy(to, from *net.TCPConn, fromServer bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitForwarding(fromServer)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == nil:
		case fromServer || errors.Is(err, io.EOF):
			_ = to.CloseWrite()  // fails where the connection is closed already
			_ = from.CloseRead() // as above
			return
		default:
			reset(to)
			return
		}
	}
}

// awaitForwarding waits until the mode lets bytes pass in the direction.
func (p *proxy) awaitForwarding(fromServer bool) {
	for {
		mode, changed := p.state()
		switch {
		case mode == modeDelay:
			time.Sleep(proxyDelay)
			return
		case mode == modeSilent, mode == modeOneWay && fromServer:
			<-changed
		default:
			return
		}
	}
}
