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

// holds evaluates the headers according to RFC 9110 sections 13.1.1 and 13.1.2.
func (p precondition) holds(current row, exists bool) bool {
	if p.match != "" && (!exists || !etagListed(p.match, current.etag)) {
		return false
	}
	return p.noneMatch == "" || !exists || !etagListed(p.noneMatch, current.etag)
}

// etagListed reports whether a comma-separated list of entity tags contains the
// tag. Splitting at commas is safe because the stand-in's tags contain none.
func etagListed(list, tag string) bool {
	for listed := range strings.SplitSeq(list, ",") {
		listed = strings.TrimSpace(listed)
		if listed == "*" || listed == tag {
			return true
		}
	}
	return false
}
