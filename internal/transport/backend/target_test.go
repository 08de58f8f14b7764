package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/forwardwire"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// targetEcho is an upstream that records the request target of each request.
func targetEcho(t testing.TB, targets chan<- string) *rawhttp.Server {
	t.Helper()
	s, err := rawhttp.Start(func(_ int, conn net.Conn, req *http.Request) bool {
		targets <- req.RequestURI
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Req: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Req"))
		return true
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// forwarded sends a request line as a caller's and returns the target that the upstream
// gets. It returns false if the request is not accepted.
func forwarded(t testing.TB, client *Client, address, line string, targets <-chan string) (string, bool) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "\r\nHost: h\r\n\r\n")))
	if err != nil {
		return "", false // the caller gets 400 from net/http
	}
	target, err := forwardwire.ParseTarget(r)
	if err != nil {
		return "", false
	}
	s := callTo(address, "r1")
	s.ReuseConnection = true
	s.Request.Path, s.Request.Query, s.Request.EmptyQuery = target.Path, target.Query, target.EmptyQuery
	got := sendConnected(client, s)
	assert.Assert(t, got.answer != nil, "%q: %+v", line, got)
	return <-targets, true
}

// Guards against a target that reaches the upstream with other bytes than those on which
// route and key were decided: a path that begins with two slashes became a host and a path.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	address := targetEcho(t, targets).Address()
	client := New(forwardwire.Names{Request: "X-Req"}, EngineAPI{})
	defer client.Close()
	for _, target := range []string{
		"/a", "/", "//", "//a/b", "///", "///a", "//a//b/", "/a//b", "/%2F", "//%2F%2e", "/./", "/../", "/a/../../b", "/a;b=c", "//a;b",
		"/a?", "//a?", "/a??", "/a?b?c", "/a?//b", "/a?%zz", "/a?b=\xc3\xa4", "/\xc3\xa4", "/%C3%A4", "/a#b", "//a@b:80/c", "/a|b\"c", "/:a", "//:a",
	} {
		got, accepted := forwarded(t, client, address, "GET "+target+" HTTP/1.1", targets)
		assert.Assert(t, accepted, target)
		assert.Equal(t, got, target)
	}
	for sent, want := range map[string]string{
		"http://x/a?b": "/a?b", "http://x//a": "//a", "http://x": "/", "http://x?": "/?", "http://x?a=/b": "/?a=/b",
	} {
		got, accepted := forwarded(t, client, address, "GET "+sent+" HTTP/1.1", targets)
		assert.Assert(t, accepted, sent)
		assert.Equal(t, got, want)
	}
	for _, line := range []string{"OPTIONS * HTTP/1.1", "CONNECT x:80 HTTP/1.1", "GET //a|b HTTP/1.1", "GET //\xc3\xa4 HTTP/1.1", "GET /%zz HTTP/1.1", "GET a HTTP/1.1"} {
		got, accepted := forwarded(t, client, address, line, targets)
		assert.Assert(t, !accepted, "%q reached the upstream as %q", line, got)
	}
}

// Guards against targets, found by fuzzing, that reach the upstream changed.
func FuzzTarget(f *testing.F) {
	targets := make(chan string, 1)
	address := targetEcho(f, targets).Address()
	client := New(forwardwire.Names{Request: "X-Req"}, EngineAPI{})
	f.Cleanup(client.Close)
	for _, seed := range []string{"/a?b", "//a/b?", "/%2F/../;", "/?\xff", "//[::1]/"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \r\n") {
			return
		}
		if got, accepted := forwarded(t, client, address, "GET "+target+" HTTP/1.1", targets); accepted {
			assert.Equal(t, got, target)
		}
	})
}
