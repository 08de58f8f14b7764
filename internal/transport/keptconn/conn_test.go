package keptconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// exchange sends a POST over a connection of its own and returns the body of the answer.
func exchange(t *testing.T, answer rawhttp.Answer) (string, error) {
	t.Helper()
	s, err := rawhttp.Start(answer)
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	transport := New(&http.Transport{MaxResponseHeaderBytes: answerlimit.MaxHeadBytes})
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/", strings.NewReader("body"))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// inParts returns an Answer that writes the text in parts of the size and ends the
// connection.
func inParts(text string, size int) rawhttp.Answer {
	return func(_ int, conn net.Conn, _ *http.Request) bool {
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(100 * time.Microsecond)
		}
		return false
	}
}

// Guards against answers that change, or that count as broken, by the parts in which they
// arrive, and against heads whose fault is missed in parts.
func TestAnswersInParts(t *testing.T) {
	long := "X-Long: " + strings.Repeat("a", 20_000) + "\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
	for _, c := range []struct {
		text, want string
		broken     bool
	}{
		{interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole", false},
		{interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholesurplus", "whole", false},
		{interim + "HTTP/1.1 200 OK\r\n\r\nwhole", "whole", false},
		{interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n", "whole", false},
		{"HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\nwhole", "", false},
		{interim + "HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 5\r\n\r\nwhole", "", true},
		{"HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwhole", "", true},
		{interim + "HTTP/1.1 200 OK\r\nContent-Le", "", true},
	} {
		for _, size := range []int{1, 2, 7, 64, 1 << 20} {
			got, err := exchange(t, inParts(c.text, size))
			if c.broken {
				assert.Check(t, err != nil, "%q in parts of %d", c.text, size)
				continue
			}
			assert.Check(t, err == nil && got == c.want, "%q in parts of %d: %q, %v", c.text, size, got, err)
		}
	}
	for _, size := range []int{1000, 4096, 1 << 20} {
		got, err := exchange(t, inParts("HTTP/1.1 200 OK\r\n"+long+"Content-Length: 5\r\n\r\nwholesurplus", size))
		assert.Check(t, err == nil && got == "whole", "parts of %d: %q, %v", size, got, err)
		_, err = exchange(t, inParts("HTTP/1.1 200 OK\r\n"+long+"A B: c\r\nContent-Length: 5\r\n\r\nwhole", size))
		assert.ErrorIs(t, err, ErrBroken)
		_, err = exchange(t, inParts("HTTP/1.1 200 OK\r\n"+strings.Repeat(long, 10), size))
		assert.Check(t, err != nil, "a head of 200 kB in parts of %d", size)
	}
}

// slowConn is a connection whose writes return long after the server has their bytes.
type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// Guards against a sound answer without a length that counts as broken since it arrives
// before the last write of its request has returned.
func TestAnswerMayOvertakeTheReturnOfTheLastWrite(t *testing.T) {
	s, err := rawhttp.Start(rawhttp.Text("HTTP/1.1 200 OK\r\n\r\nwhole"))
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	transport := New(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return slowConn{c}, err
	}})
	for _, size := range []int{0, 10, 10_000} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/", bytes.NewReader(make([]byte, size)))
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "whole")
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against a connection that is used again although bytes that belong to no request
// have arrived while it was idle.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	r := startRepeater(t)
	transport := New(&http.Transport{})
	defer transport.CloseIdleConnections()
	assert.NilError(t, post(t, transport, r, func() {}))
	r.repeat(t, 1)
	assert.NilError(t, post(t, transport, r, func() {}))
	assert.Equal(t, r.Connections(), int32(2))
}

// BenchmarkExchange measures a call on a kept connection.
func BenchmarkExchange(b *testing.B) {
	for name, wrapped := range map[string]bool{"plain": false, "checked": true} {
		b.Run(name, func(b *testing.B) {
			s, err := rawhttp.Start(func(_ int, conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Req: r1\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nwhole")
				return err == nil
			})
			assert.NilError(b, err)
			defer func() { _ = s.Close() }()
			plain := &http.Transport{}
			defer plain.CloseIdleConnections()
			var transport http.RoundTripper = plain
			if wrapped {
				transport = New(plain)
			}
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/", strings.NewReader("body"))
				resp, err := transport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}

// byteConn is a connection from which each read returns one byte.
type byteConn struct {
	net.Conn
	text *strings.Reader
}

func (c byteConn) Read(p []byte) (int, error) { return c.text.Read(p[:1]) }

// Guards against a head whose held part is copied at each read: a head of 64 KiB in parts
// of one byte took 2 GB.
func TestHeadInSmallPartsTakesLittleMemory(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 1000)+"\r\n", 60) + "\r\n"
	assert.Assert(t, len(text) <= answerlimit.MaxHeadBytes)
	c := &Conn{Conn: byteConn{text: strings.NewReader(text)}}
	c.begin(false, 0)
	got, buffer := make([]byte, 0, len(text)), make([]byte, 4096)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for len(got) < len(text) {
		n, err := c.Read(buffer)
		assert.NilError(t, err)
		got = append(got, buffer[:n]...)
	}
	runtime.ReadMemStats(&after)
	assert.Equal(t, string(got), text)
	// A buffer that grows by a quarter when it is full takes five times its final size.
	taken := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes for a head of %d", taken, len(text))
	assert.Assert(t, taken <= 16*answerlimit.MaxHeadBytes, "%d bytes", taken)
}
