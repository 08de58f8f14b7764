package call

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against attempts that are counted under a wrong result: to operators
// "lost" means that the call may have run.
func TestResultLabel(t *testing.T) {
	lost, notSent := &SendError{Sent: true, Err: errReset}, &SendError{Err: errReset}
	assert.Equal(t, resultLabel(Response{Status: 204}, nil, false), "2xx")
	assert.Equal(t, resultLabel(Response{Status: 503}, nil, true), "5xx")
	assert.Equal(t, resultLabel(Response{}, lost, false), resultLost)
	assert.Equal(t, resultLabel(Response{}, lost, true), resultSuperseded)
	assert.Equal(t, resultLabel(Response{}, notSent, false), resultNotSent)
	assert.Equal(t, resultLabel(Response{}, errors.New("untyped"), false), resultLost)
}
