package platform

import (
	"net/http"
	"strings"
)

// precondition holds the conditional headers of a request. An empty field
// means that the header is absent.
type precondition struct {
	match     string // If-Match
	noneMatch string // If-None-Match
}

func preconditionOf(header http.Header) precondition {
	return precondition{
		match:     strings.Join(header.Values("If-Match"), ","),
		noneMatch: strings.Join(header.Values("If-None-Match"), ","),
	}
}

// holds evaluates the headers as RFC 9110 sections 13.1.1 and 13.1.2 say.
func (p precondition) holds(current row, exists bool) bool {
	if p.match != "" && (!exists || !tagListed(p.match, current.etag)) {
		return false
	}
	return p.noneMatch == "" || !exists || !tagListed(p.noneMatch, current.etag)
}

// tagListed reports whether a list of entity tags holds the tag. The
// stand-in's tags hold no comma.
func tagListed(list, tag string) bool {
	for listed := range strings.SplitSeq(list, ",") {
		listed = strings.TrimSpace(listed)
		if listed == "*" || listed == tag {
			return true
		}
	}
	return false
}
