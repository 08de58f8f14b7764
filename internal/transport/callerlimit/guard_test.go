package callerlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
)

// smallestMemory is that of the smallest instances.
const smallestMemory = 136_000_000

var callerLimits = model.CallerLimits{BodyBytes: 4 << 20, HeaderBytes: 16384, HeaderTime: 500 * time.Millisecond, IdleTime: time.Second}

func newGuard(memory int64, descriptors int) *Guard {
	return New(Options{MemoryBytes: memory, Descriptors: descriptors, Log: &log.Logger{Handler: discard.Default}})
}

// startServer serves requests whose body it reads; /hold waits for release.
func startServer(t *testing.T, g *Guard, release chan struct{}) (address string) {
	t.Helper()
	return startLimitedServer(t, g, release, callerLimits)
}

func startLimitedServer(t *testing.T, g *Guard, release chan struct{}, limits model.CallerLimits) (address string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(w, r, limits.BodyBytes, time.Second)
		if errors.Is(err, ErrMemory) {
			refuse(w, r)
			return
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		defer body.Release()
		if r.URL.Path == "/hold" {
			<-release
		}
		_, _ = fmt.Fprint(w, len(body.Bytes), " ", len(r.Trailer))
	})}
	listener := g.Protect(server, inner, ServerOptions{Name: "test", Limits: func() model.CallerLimits { return limits }})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		for end := time.Now().Add(5 * time.Second); g.Budget.Used() != 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, g.Budget.Used() == 0, "%d bytes are still reserved", g.Budget.Used())
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// answer reads one answer.
func answer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// largestHead returns a head of 16,384 bytes made of the lines.
func largestHead(path string, line func(n int) string) string {
	var text strings.Builder
	text.WriteString("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n")
	for n := 0; ; n++ {
		next := line(n)
		if left := 16384 - text.Len() - 2; len(next) > left-8 {
			text.WriteString("pad:" + strings.Repeat("x", left-6) + "\r\n\r\n")
			return text.String()
		}
		text.WriteString(next)
	}
}

func distinctLines(n int) string { return strconv.FormatInt(int64(n), 36) + ":\n" }

// Guards against limits that refuse a single request inside the limits of the rules.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	address := startServer(t, newGuard(smallestMemory, 2870), nil)
	for name, line := range map[string]func(int) string{
		"distinct": distinctLines,
		"equal":    func(int) string { return "a:\n" },
		"crlf":     func(n int) string { return strconv.Itoa(n) + ":\r\n" },
		"long":     func(int) string { return "Cookie: " + strings.Repeat("c", 4000) + "\r\n" },
	} {
		head := largestHead("/", line)
		assert.Equal(t, len(head), 16384)
		conn, in := dial(t, address)
		for range 2 { // the second one on the same connection
			_, err := io.WriteString(conn, head)
			assert.NilError(t, err)
			resp, _ := answer(t, in)
			assert.Equal(t, resp.StatusCode, http.StatusOK, name)
		}
	}
	for _, size := range []int{0, 1, firstBodyBuffer, freeBodyBytes, 1 << 20, 4 << 20} {
		body := bytes.Repeat([]byte("\n"), size)
		for _, in := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
			resp, err := http.Post("http://"+address+"/", "text/plain", in)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, string(text), fmt.Sprint(size, " 0"))
		}
	}
}

// Guards against a connection that is closed before callers stop to reuse it, and against
// one that stays open beyond the limit of the rules.
func TestIdleConnectionsAreReusedWithinTheirTime(t *testing.T) {
	address := startServer(t, newGuard(smallestMemory, 2870), nil)
	conn, in := dial(t, address)
	for range 3 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		resp, _ := answer(t, in)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		time.Sleep(callerLimits.IdleTime * 4 / 5)
	}
	begun := time.Now()
	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(begun) < 10*time.Second)
}

// Guards against a head that is held open beyond the limit of the rules.
func TestSlowHeadIsClosed(t *testing.T) {
	conn, in := dial(t, startServer(t, newGuard(smallestMemory, 2870), nil))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	assert.NilError(t, err)
	begun := time.Now()
	_, _ = io.Copy(io.Discard, in)
	assert.Assert(t, time.Since(begun) < 8*time.Second) // net/http alone waits for 10 s
}

// Guards against requests that are lost or answered in another order because they were
// sent before the answers to the ones before.
func TestPipelinedRequestsAreServed(t *testing.T) {
	conn, in := dial(t, startServer(t, newGuard(smallestMemory, 2870), nil))
	var text strings.Builder
	for n := range 50 {
		fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("\n", n))
	}
	go func() { _, _ = io.WriteString(conn, text.String()) }()
	for n := range 50 {
		resp, body := answer(t, in)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, fmt.Sprint(n, " 0"))
	}
}

// Guards against heads that take memory without being counted, because they begin in the
// buffer that still holds the end of the request before.
func TestPipelinedHeadsAreCounted(t *testing.T) {
	g := newGuard(smallestMemory, 2870)
	release := make(chan struct{})
	address := startServer(t, g, release)
	conn, in := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /hold HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 1000)+"\r\n")
	assert.NilError(t, err)
	_, _ = answer(t, in)
	for end := time.Now().Add(5 * time.Second); g.Budget.Used() < 1000*lineCost && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, g.Budget.Used() >= 1000*lineCost, "%d bytes are reserved", g.Budget.Used())
	close(release)
	_, _ = answer(t, in)
}

// Guards against requests that run, or are answered with a status after which callers stop,
// although there is no memory for them.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	g := newGuard(smallestMemory, 2870)
	address := startServer(t, g, nil)
	conn, in := dial(t, address)
	all := g.Budget.share(Body) - 1<<20
	assert.Assert(t, g.Budget.Reserve(Body, all))
	checkRefusal := func() {
		resp, body := answer(t, in)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		_, refusal, err := problem.Decode(resp.Header, []byte(body))
		assert.NilError(t, err)
		assert.Equal(t, refusal.Code, problem.CodeInstanceFull)
		assert.Equal(t, refusal.Outcome, model.OutcomeNotRun)
	}
	// A large body; its caller gets the answer only if the whole body is read.
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 4<<20)
	assert.NilError(t, err)
	_, err = conn.Write(make([]byte, 4<<20))
	assert.NilError(t, err)
	checkRefusal()
	// The same connection serves a small one.
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	assert.NilError(t, err)
	resp, _ := answer(t, in)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	// No memory for a head: a small one is refused, a large one is closed.
	g.Budget.Release(Body, all)
	all = g.Budget.share(Head)
	for g.Budget.Used() != 0 { // the last request ends after its answer
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, g.Budget.Reserve(Head, all))
	defer g.Budget.Release(Head, all)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	assert.NilError(t, err)
	checkRefusal()
	conn, in = dial(t, address)
	_, _ = io.WriteString(conn, largestHead("/", distinctLines))
	_, err = http.ReadResponse(in, nil)
	assert.Assert(t, err != nil)
}

// Guards against connections over the bound, and against a request in flight that ends
// because another connection needs its place.
func TestConnectionsAreBounded(t *testing.T) {
	g := newGuard(smallestMemory, reservedDescriptors+internalDescriptors+2*minConnections)
	assert.Equal(t, g.MaxConnections(), minConnections)
	release := make(chan struct{})
	address := startServer(t, g, release)
	held, heldIn := dial(t, address)
	_, err := io.WriteString(held, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for g.Budget.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	var first net.Conn
	for n := range 3 * minConnections {
		conn, in := dial(t, address)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		resp, _ := answer(t, in)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		if n == 0 {
			first = conn
		}
	}
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	resp, _ := answer(t, heldIn)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against lines that are not counted because of how they arrive.
func TestHeadsAreCountedHoweverTheyArrive(t *testing.T) {
	for text, want := range map[string]headCount{
		"GET / HTTP/1.1\r\na: b\r\n\r\nbody\n\n": {bytes: 24, lines: 3, ended: true},
		"GET / HTTP/1.1\na:\n\nbody\n\n":         {bytes: 19, lines: 3, ended: true},
		"GET / HTTP/1.1\nx\ny\n\r\nb":            {bytes: 21, lines: 4, ended: true},
		"GET / HTTP/1.1\r\na: b\r\nc":            {bytes: 23, lines: 2, lineBytes: 1},
		"\r\r\n\r\r\n\r\r\n":                     {bytes: 9, lines: 3},
	} {
		for step := 1; step <= len(text); step++ {
			var h headCount
			for at := 0; at < len(text) && !h.ended; at += step {
				h.add([]byte(text[at:min(at+step, len(text))]))
			}
			h.lineIsCR = false
			assert.Equal(t, h, want, "%q in steps of %d", text, step)
		}
	}
}

// Guards against a log that grows with the number of refusals.
func TestRefusalsAreLoggedOncePerInterval(t *testing.T) {
	g, now := newGuard(0, 0), time.Now()
	logged := 0
	for n := range 1000 {
		logged += min(1, g.countForLog("a", now.Add(time.Duration(n)*time.Millisecond)))
	}
	assert.Equal(t, logged, 1)
	assert.Equal(t, g.countForLog("a", now.Add(2*logInterval)), 1000)
}

// Guards against bounds where the settings name no limits, and against bounds that callers
// of the present deployments reach.
func TestBoundsFollowTheSettings(t *testing.T) {
	unbounded := newGuard(0, 0)
	assert.Assert(t, unbounded.Budget.Reserve(Body, 1<<40))
	assert.Assert(t, unbounded.MaxConnections() > 1<<30)
	for _, c := range []struct {
		memory      int64
		descriptors int
		connections int
	}{{136_000_000, 2870, 830}, {206_000_000, 10250, 1257}, {536_000_000, 10250, 3271}, {536_000_000, 2870, 1285}, {1, 1, minConnections}} {
		assert.Equal(t, newGuard(c.memory, c.descriptors).MaxConnections(), c.connections)
	}
}

// Guards against large answers that keep common ones from being read, and against a large
// answer that the smallest instances cannot pass on at all.
func TestLargeAnswersLeaveMemoryToCommonOnes(t *testing.T) {
	b := newGuard(smallestMemory, 0).Budget
	assert.Assert(t, b.ReserveAnswer(16<<20, 0))
	for b.ReserveAnswer(answerlimit.CommonBytes+1, 0) {
	}
	assert.Assert(t, b.ReserveAnswer(answerlimit.CommonBytes, 0))
	assert.Assert(t, !b.ReserveAnswer(1<<20, answerlimit.CommonBytes))
}

// Guards against answers that are kept for callers that take nothing of them, and against
// one that is cut although its caller reads on slowly.
func TestStalledAnswersEnd(t *testing.T) {
	const stall, size, step = time.Second, 32 << 20, 1 << 20
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		ended <- err
	})}
	listener := newGuard(smallestMemory, 2870).Protect(server, inner, ServerOptions{Name: "test", WriteStall: stall})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	request := func() *bufio.Reader {
		conn, in := dial(t, listener.Addr().String())
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		return in
	}
	_ = request()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is still being written")
	}
	in := request()
	for range size / step {
		_, err := io.CopyN(io.Discard, in, step)
		assert.NilError(t, err)
		time.Sleep(stall / 10)
	}
	assert.NilError(t, <-ended)
}
