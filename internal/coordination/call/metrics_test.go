package call

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against attempts that count under a wrong result: an operator reads
// "lost" as "may have run".
func TestResultOf(t *testing.T) {
	lost, notSent := &SendError{Sent: true, Err: errReset}, &SendError{Err: errReset}
	assert.Equal(t, resultOf(Response{Status: 204}, nil, false), "2xx")
	assert.Equal(t, resultOf(Response{Status: 503}, nil, true), "5xx")
	assert.Equal(t, resultOf(Response{}, lost, false), resultLost)
	assert.Equal(t, resultOf(Response{}, lost, true), resultSuperseded)
	assert.Equal(t, resultOf(Response{}, notSent, false), resultNotSent)
	assert.Equal(t, resultOf(Response{}, errors.New("untyped"), false), resultLost)
}
