package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"gotest.tools/v3/assert"
)

// Guards against an answer without events that counts as the engine's rejection of the
// request although it is no client error: the generation would end with it.
func TestOnlyClientErrorsReject(t *testing.T) {
	for status, want := range map[int]continuation.Loss{
		201: continuation.LossStatus, 204: continuation.LossStatus, 206: continuation.LossStatus, 304: continuation.LossStatus,
		400: continuation.LossRejected, 413: continuation.LossRejected, 404: continuation.LossNoStream, 409: continuation.LossVersion,
		429: continuation.LossBusy, 503: continuation.LossBusy, 500: continuation.LossStatus, 502: continuation.LossStatus,
	} {
		kind, _ := lossOfStatus(&http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(""))})
		assert.Equal(t, kind, want, "%d", status)
	}
}
