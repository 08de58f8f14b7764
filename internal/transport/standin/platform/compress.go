package platform

import (
	"compress/gzip"
	"net/http"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// minCompressedBytes is the length from which a body is compressed. A shorter
// body fits into one packet even without compression.
const minCompressedBytes = 1400

// writeCompressed writes a body, compressed if the request accepts gzip. The
// compressed form is another representation, so its entity tag differs (RFC
// 9110 section 8.8.3).
func writeCompressed(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Vary", "Accept-Encoding")
	if len(body) < minCompressedBytes || !acceptsGzip(r.Header) {
		_, _ = w.Write(body) // the client notices a truncated response
		return
	}
	if tag := w.Header().Get("ETag"); tag != "" {
		w.Header().Set("ETag", strings.TrimSuffix(tag, `"`)+`-gzip"`)
	}
	w.Header().Set("Content-Encoding", platformapi.Gzip)
	compressor, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		panic(err) // fails only for an invalid compression level
	}
	_, _ = compressor.Write(body) // the client notices a truncated response
	_ = compressor.Close()
}

// acceptsGzip reports whether Accept-Encoding lists gzip with a weight other than
// 0. It does not compare the weights of codings.
func acceptsGzip(header http.Header) bool {
	for coding := range strings.SplitSeq(strings.Join(header.Values("Accept-Encoding"), ","), ",") {
		name, weight, _ := strings.Cut(strings.ReplaceAll(coding, " ", ""), ";")
		if strings.EqualFold(name, platformapi.Gzip) {
			return weight == "" || strings.Trim(weight, "q=0.") != ""
		}
	}
	return false
}
