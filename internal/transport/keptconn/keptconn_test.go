package keptconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// repeater answers each request, and sends one answer again when repeat is called.
type repeater struct{ *rawhttp.Server }

func startRepeater(t *testing.T) repeater {
	t.Helper()
	s, err := rawhttp.Start(func(_ int, conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return repeater{s}
}

// repeat sends an answer on the connection with the given number, the newest one, and
// waits until the client has it. A client may use a connection before it is accepted.
func (r repeater) repeat(t *testing.T, connection int32) {
	for r.Connections() < connection && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(r.Newest(), answer)
	assert.Check(t, err)
	time.Sleep(50 * time.Millisecond)
}

// post sends a request and reads its answer. It calls start when the transport has chosen
// a connection and has not written to it.
func post(t *testing.T, transport *Transport, r repeater, start func()) error {
	t.Helper()
	var once sync.Once
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { once.Do(start) }, // into the buffer
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address()+"/", strings.NewReader("body"))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// Guards against an answer to an earlier request that counts as the answer to a request
// that has taken the connection but is not written yet, and against further use of that
// connection.
func TestAnswerBeforeTheRequestIsRejected(t *testing.T) {
	r := startRepeater(t)
	transport := New(&http.Transport{})
	defer transport.CloseIdleConnections()
	assert.NilError(t, post(t, transport, r, func() {}))
	assert.ErrorIs(t, post(t, transport, r, func() { r.repeat(t, 1) }), ErrEarlyAnswer)
	assert.NilError(t, post(t, transport, r, func() {}))
	assert.Equal(t, r.Connections(), int32(2))
}

// Guards against rejected answers of a sound server: many requests on one connection, and
// answers on a new connection, where they can belong to no other request.
func TestAnswersOfSoundServersAreAccepted(t *testing.T) {
	r := startRepeater(t)
	transport := New(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range 200 {
		assert.NilError(t, post(t, transport, r, func() {}))
	}
	assert.Equal(t, r.Connections(), int32(1))
	transport.CloseIdleConnections()
	assert.NilError(t, post(t, transport, r, func() { r.repeat(t, 2) }))
}

// closeRecorder is a request body that records that it was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// Guards against requests whose last write cannot be recognised: a sound answer without a
// length to them could be rejected.
func TestRequestsOfUnknownLengthAreRefused(t *testing.T) {
	r := startRepeater(t)
	transport := New(&http.Transport{})
	defer transport.CloseIdleConnections()
	for _, length := range []int64{0, -1} {
		body := &closeRecorder{Reader: strings.NewReader("body")}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.Address()+"/", body)
		assert.NilError(t, err)
		req.ContentLength = length
		_, use, err := transport.Exchange(req)
		assert.ErrorIs(t, err, errUnknownLength)
		assert.Assert(t, !use.Sent())
		assert.Assert(t, body.closed)
	}
	assert.Equal(t, r.Connections(), int32(0))
}
