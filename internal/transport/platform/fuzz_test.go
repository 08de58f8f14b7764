package platform

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	calls "github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// Guards against a row that crashes its reader, that has no revision, or that
// changes when it is written back.
func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"key":"environments/trial/head","etag":"1","value":{"Generation":4,"Recent":[]}}`))
	f.Add([]byte(`{"key":"leases/moves","etag":"1","value":{"Holder":"a","Fencing":3,"Expires":"2026-10-01T12:00:00Z"}}`))
	f.Add([]byte(`{"key":"moves/trial/m/4","etag":"1","value":{"Serves":"m","Share":1e308,"Plan":{"Target":"2"}}}`))
	f.Add([]byte(`{"key":"k","etag":"","value":null}`))
	f.Add([]byte(`{"key":"k","etag":"1","value":[[[[1e999]]]]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var row platformapi.Row
		if json.Unmarshal(body, &row) != nil {
			return
		}
		checkRow[environment.Head](t, row)
		checkRow[lease.Record](t, row)
		checkRow[rollout.Move](t, row)
		checkRow[calls.Claim](t, row)
	})
}

func checkRow[T any](t *testing.T, row platformapi.Row) {
	decoded, err := decodeRow[T](row)
	if err != nil {
		return
	}
	assert.Assert(t, decoded.Revision != store.NoRow)
	encoded, err := json.Marshal(decoded.Value)
	if err != nil {
		return // such as a time whose year has more than 4 digits
	}
	again, err := decodeRow[T](platformapi.Row{Key: row.Key, ETag: row.ETag, Value: encoded})
	assert.NilError(t, err)
	twice, err := json.Marshal(again.Value)
	assert.NilError(t, err)
	assert.Equal(t, string(twice), string(encoded))
}

// Guards against a Retry-After value that overflows to a negative wait.
func FuzzRetryAfter(f *testing.F) {
	for _, header := range []string{"", "1", "-1", "9223372036854775807", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		f.Add(header)
	}
	f.Fuzz(func(t *testing.T, header string) {
		assert.Assert(t, retryAfter(http.Header{"Retry-After": {header}}) >= 0)
	})
}
