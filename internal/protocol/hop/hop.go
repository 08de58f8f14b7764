// Package hop tells the header fields of one connection from those that go
// from end to end.
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// fields belong to one connection and are not passed on. Expect is among them
// because bodies are sent at once.
var fields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// EndToEnd returns a copy of the header under canonical names, without the
// fields of one connection, which include those that Connection names.
func EndToEnd(in map[string][]string) http.Header {
	out := http.Header{}
	for name, values := range in {
		out[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	out = out.Clone()
	for _, list := range out["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range fields {
		out.Del(name)
	}
	return out
}
