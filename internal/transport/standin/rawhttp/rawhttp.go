// Package rawhttp is a server for tests of HTTP clients. It reads requests and has a
// function write the bytes of their answers, also bytes that no HTTP library sends.
package rawhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Answer writes the answer to the nth request of a connection, counted from 1. It returns
// false to have the connection closed.
type Answer func(n int, conn net.Conn, req *http.Request) (keep bool)

// Text returns an Answer that writes the text and closes the connection.
func Text(text string) Answer {
	return func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text) // the client notices a truncated answer
		return false
	}
}

// Server is a running server.
type Server struct {
	listener    net.Listener
	serve       func(net.Conn)
	requests    atomic.Int32
	connections atomic.Int32
	newest      atomic.Pointer[net.Conn]
}

// Start starts a server on a free loopback port.
func Start(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener}
	s.serve = func(conn net.Conn) { s.answerAll(conn, answer) }
	go s.accept()
	return s, nil
}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were read whole.
func (s *Server) Requests() int32 { return s.requests.Load() }

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int32 { return s.connections.Load() }

// Newest returns the newest of the accepted connections, of which there must be one.
func (s *Server) Newest() net.Conn { return *s.newest.Load() }

// Close closes the listener. Open connections last until their clients close them.
func (s *Server) Close() error { return trace.Wrap(s.listener.Close()) }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.newest.Store(&conn)
		s.connections.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) answerAll(conn net.Conn, answer Answer) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		// A connection that is closed with unread bytes is reset.
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		s.requests.Add(1)
		if !answer(n, conn, req) {
			return
		}
	}
}
