// Package hop separates hop-by-hop header fields, which belong to one connection, from
// end-to-end fields, which a proxy forwards.
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are not forwarded. Expect is among them because this system sends
// request bodies without waiting for 100 Continue.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// EndToEnd returns a copy of the header with canonical names and without hop-by-hop
// fields. The fields that a Connection field lists are hop-by-hop too.
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
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	return out
}
