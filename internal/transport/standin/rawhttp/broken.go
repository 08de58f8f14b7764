package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Form is a form of faulty bytes in place of an answer.
type Form struct {
	Name string
	// text returns the bytes for fields, each with its line end, and a body.
	text func(fields, body string) string
	// end ends the connection after the bytes. It is nil for forms that have to be
	// recognised without the end.
	end func(*net.TCPConn)
	// NeedsUpload is set if the form is played while a long request is being written.
	NeedsUpload bool
}

// UploadBytes is the size of a request that cannot be written whole while it is not read: it
// is more than the 4 MiB to which Linux lets a send buffer grow.
const UploadBytes = 12 << 20

// BrokenAnswers returns every form of broken answer.
func BrokenAnswers() []Form {
	status := func(status string) func(string, string) string {
		return func(fields, body string) string {
			return "HTTP/1.1 " + status + "\r\n" + fields + length(body) + "\r\n" + body
		}
	}
	sized := func(lines string) func(string, string) string {
		return func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + lines + fields + length(body) + "\r\n" + body
		}
	}
	bare := func(fields, body string) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body }
	return []Form{
		{Name: "status 000", text: status("000 None")},
		{Name: "status 099", text: status("099 Low")},
		{Name: "status of two digits", text: status("20 OK")},
		{Name: "switch of protocols", text: status("101 Switching Protocols")},
		{Name: "interim answer as the last", end: func(conn *net.TCPConn) { _ = conn.Close() }, text: func(fields, _ string) string { return "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n" }},
		{Name: "broken head after an interim answer", text: func(fields, body string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Y: z\r\n" + fields + length(body) + "\r\n" + body
		}},
		{Name: "blank in a name", text: sized("X Y: z\r\n")},
		{Name: "blank before a colon", text: sized("X-Y : z\r\n")},
		{Name: "blank before the colon of the length", text: func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 1\r\n\r\n" + body
		}},
		{Name: "control byte in a name", text: sized("X\x01Y: z\r\n")},
		{Name: "empty name", text: sized(": z\r\n")},
		{Name: "line without a colon", text: sized("xyz\r\n")},
		{Name: "control byte in a value", text: sized("X-Y: a\x00b\r\n")},
		{Name: "folded line", text: sized("X-Y: a\r\n b\r\n")},
		{Name: "folded first line", text: sized(" X-Y: a\r\n")},
		{Name: "two lengths", text: sized("Content-Length: 1\r\n")},
		{Name: "length beside a transfer coding", text: func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + length(body) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)
		}},
		{Name: "unknown transfer coding", text: func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk(body)
		}},
		{Name: "no length and a reset", text: bare, end: reset},
		{Name: "no length and a reset during the upload", text: bare, end: reset, NeedsUpload: true},
		{Name: "no length and a close during the upload", text: bare, end: func(conn *net.TCPConn) { _ = conn.Close() }, NeedsUpload: true},
		{Name: "no length and a half-close during the upload", text: bare, end: halfClose, NeedsUpload: true},
	}
}

// SurplusAnswers returns forms of answers that are complete by their length and followed by
// bytes that belong to no request.
func SurplusAnswers() []Form {
	behind := func(more func(fields, body string) string) func(string, string) string {
		return func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + length(body) + "\r\n" + body + more(fields, body)
		}
	}
	return []Form{
		{Name: "bytes after the length", text: behind(func(string, string) string { return "surplus" })},
		{Name: "second answer", text: behind(func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + length(body) + "\r\n" + body
		})},
		{Name: "start of a second answer", text: behind(func(string, string) string { return "H" })},
	}
}

func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }

func chunk(body string) string {
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// halfClose ends the answers of a connection whose requests are still read, after a pause.
func halfClose(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(unreadTime)
	_, _ = io.Copy(io.Discard, conn) // until the client gives the connection up
}

// unreadTime is the time for which a long request is not read after a half-close.
const unreadTime = 500 * time.Millisecond

// WithStatus returns the form with another status line in place of 200.
func (f Form) WithStatus(status string) Form {
	text := f.text
	f.text = func(fields, body string) string {
		return strings.Replace(text(fields, body), "200 OK", status, 1)
	}
	return f
}

// Start starts a server that answers with the form. fields returns the fields of the answer
// to a request. Requests of method GET under a form that needs an upload get a sound answer,
// so that the server counts as alive.
func (f Form) Start(fields func(*http.Request) string, body string) (*Server, error) {
	return StartForms(func() Form { return f }, fields, body)
}

// StartForms starts a server that answers each connection with the form that the function
// returns then, as Form.Start describes.
func StartForms(next func() Form, fields func(*http.Request) string, body string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{listener: listener}
	s.serve = func(conn net.Conn) { next().play(s, conn.(*net.TCPConn), fields, body) }
	go s.accept()
	return s, nil
}

func (f Form) play(s *Server, conn *net.TCPConn, fields func(*http.Request) string, body string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if f.NeedsUpload && req.Method == http.MethodGet {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if !f.NeedsUpload {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		s.requests.Add(1)
		if _, err := io.WriteString(conn, f.text(fields(req), body)); err != nil {
			return
		}
		if f.end != nil {
			time.Sleep(20 * time.Millisecond) // otherwise a reset overtakes the bytes
			f.end(conn)
			return
		}
	}
}
