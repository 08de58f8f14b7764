package forwardwire

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"
)

// Target is the target of a request. Routes and keys are decided on the same bytes that
// are forwarded.
type Target struct {
	Path       string
	Query      string // raw, without the question mark
	EmptyQuery bool   // the target has a question mark and nothing after it
}

// ParseTarget returns the target of a caller's request. Of the absolute form, which names a
// host too, it returns the path and the query. The error is for targets that cannot be
// forwarded as they are.
func ParseTarget(r *http.Request) (Target, error) {
	raw := r.RequestURI
	if !strings.HasPrefix(raw, "/") {
		_, rest, absolute := strings.Cut(raw, "://")
		if !absolute {
			return Target{}, trace.BadParameter("the request target must be a path or an absolute URL, not %q", raw)
		}
		raw = rest[strings.IndexAny(rest+"/", "/?"):]
		if !strings.HasPrefix(raw, "/") {
			raw = "/" + raw // RFC 9112 lets an absolute URL have no path
		}
	}
	var t Target
	var found bool
	t.Path, t.Query, found = strings.Cut(raw, "?")
	t.EmptyQuery = found && t.Query == ""
	if got := t.URL("").RequestURI(); got != raw {
		return Target{}, trace.BadParameter("the request target %q has bytes that a path cannot have", raw)
	}
	return t, nil
}

// URL returns the URL with which net/http sends the target unchanged to an address.
func (t Target) URL(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: t.Query, ForceQuery: t.EmptyQuery}
	if !strings.HasPrefix(t.Path, "//") {
		u.Opaque = t.Path
		return u
	}
	// An opaque part that begins with two slashes is sent in the absolute form, in which
	// the first segment of the path would be a host.
	u.RawPath = t.Path
	u.Path, _ = url.PathUnescape(t.Path) // ParseTarget rejects a path that is not encoded
	return u
}
