package problem

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Guards against a change of the body, status or headers on which callers' programs
// depend.
func TestWriteAndDecode(t *testing.T) {
	answer := httptest.NewRecorder()
	refusal := &model.Refusal{Code: CodeOverloaded, Message: "the queue is full", Outcome: model.OutcomeNotRun, RetryAfter: 1200 * time.Millisecond}
	assert.NilError(t, Write(answer, "a-1", refusal))
	assert.Equal(t, answer.Code, 429)
	assert.Equal(t, answer.Header().Get("Retry-After"), "2")
	assert.Equal(t, answer.Header().Get("X-Request-ID"), "a-1")
	assert.Equal(t, answer.Body.String(),
		`{"error":{"code":"overloaded","message":"the queue is full","request_id":"a-1","outcome":"not_run"}}`)
	id, got, err := Decode(answer.Header(), answer.Body.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, id, model.RequestID("a-1"))
	refusal.RetryAfter = 2 * time.Second
	assert.DeepEqual(t, got, refusal)
	_, _, err = Decode(nil, []byte(`{}`))
	assert.ErrorContains(t, err, "no code")
}

// Guards against an internal error whose text reaches a caller, or whose outcome is
// reported as not run.
func TestOf(t *testing.T) {
	refusal := &model.Refusal{Code: CodeNoUpstream}
	assert.Equal(t, Of(fmt.Errorf("relay: %w", refusal)), refusal)
	internal := Of(errors.New("dial 10.0.0.1"))
	assert.Equal(t, internal.Outcome, model.OutcomeUnknown)
	assert.Equal(t, Status(internal.Code), 500)
	assert.Equal(t, Status("code_of_a_later_version"), 500)
	for code, status := range statuses {
		assert.Assert(t, status >= 400 && status < 600, code)
	}
}
