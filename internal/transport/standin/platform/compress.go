package platform

import (
	"compress/gzip"
	"net/http"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// fewestCompressed is the size from which a body is compressed: below it the
// answer fits into one packet anyway.
const fewestCompressed = 1400

// writeCompressed writes a body, compressed if the request accepts that. The
// compressed form is another representation, so its entity tag differs (RFC
// 9110 section 8.8.3).
func writeCompressed(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Vary", "Accept-Encoding")
	if len(body) < fewestCompressed || !acceptsGzip(r.Header) {
		_, _ = w.Write(body) // the caller sees a short answer
		return
	}
	if tag := w.Header().Get("ETag"); tag != "" {
		w.Header().Set("ETag", strings.TrimSuffix(tag, `"`)+`-gzip"`)
	}
	w.Header().Set("Content-Encoding", platformapi.Gzip)
	compressor, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	_, _ = compressor.Write(body) // the caller sees a short answer
	_ = compressor.Close()
}

// acceptsGzip reports whether a list of content codings names gzip. Weights
// other than 0 are not compared.
func acceptsGzip(header http.Header) bool {
	for coding := range strings.SplitSeq(strings.Join(header.Values("Accept-Encoding"), ","), ",") {
		name, weight, _ := strings.Cut(strings.ReplaceAll(coding, " ", ""), ";")
		if strings.EqualFold(name, platformapi.Gzip) {
			return weight == "" || strings.Trim(weight, "q=0.") != ""
		}
	}
	return false
}
