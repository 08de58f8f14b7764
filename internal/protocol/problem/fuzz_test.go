package problem

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an error response that crashes the decoder, and against a code,
// outcome or Retry-After that changes when the decoded refusal is written again.
func FuzzDecode(f *testing.F) {
	f.Add("2", []byte(`{"error":{"code":"overloaded","message":"the queue is full","request_id":"a-1","outcome":"not_run"}}`))
	f.Add("-1", []byte(`{"error":{"code":""}}`))
	f.Add("9223372036854775807", []byte(`{"error":{"code":"x","message":"\ud800","outcome":"done"}}`))
	f.Add("", []byte(`{"error":[[[[`))
	f.Fuzz(func(t *testing.T, wait string, body []byte) {
		id, refusal, err := Decode(http.Header{HeaderRetryAfter: {wait}}, body)
		if err != nil {
			return
		}
		assert.Assert(t, refusal.Code != "" && refusal.RetryAfter >= 0)
		w := httptest.NewRecorder()
		assert.NilError(t, Write(w, id, refusal))
		again, same, err := Decode(w.Header(), w.Body.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, again, id)
		assert.DeepEqual(t, same, refusal)
	})
}
