package debugserver

import (
	"net"
	"net/http"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
)

// Guards against metrics that are not served on the debug address, and against
// an address that is still in use after Close.
func TestMetricsAreServedUntilClose(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s, err := Listen("127.0.0.1:0", nil, http.NotFoundHandler(), metrics, logger)
	assert.NilError(t, err)
	resp, err := http.Get("http://" + s.Address() + "/metrics")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	assert.NilError(t, s.Close())
	again, err := net.Listen("tcp", s.Address())
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
