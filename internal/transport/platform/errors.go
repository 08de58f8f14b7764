package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
)

// Error is a failed call of the platform. It matches one of the errors of
// package store, or none where the platform broke its protocol on a read.
type Error struct {
	Op         string        // method and kind of resource
	Kind       error         // an error of package store
	Status     int           // zero when there was no answer
	Code       string        // code of the platform's error answer
	RetryAfter time.Duration // zero when the platform did not say
	Cause      error         // nil when the platform answered
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Cause != nil:
		return fmt.Sprintf("platform %s: %v: %v", e.Op, e.Kind, e.Cause)
	case e.Code != "":
		return fmt.Sprintf("platform %s: %v: status %d, code %s", e.Op, e.Kind, e.Status, e.Code)
	default:
		return fmt.Sprintf("platform %s: %v: status %d", e.Op, e.Kind, e.Status)
	}
}

// Unwrap lets errors.Is match both the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// kindOfLoss classifies a call that got no answer. Only a write of which a
// byte was handed to a connection can have had an effect.
func kindOfLoss(write, sent bool) error {
	if write && sent {
		return store.ErrUnknownOutcome
	}
	return store.ErrUnavailable
}

// kindOfStatus classifies an answer, nil meaning success.
func kindOfStatus(write bool, status int, code string) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusPreconditionFailed:
		return store.ErrConflict
	case status == http.StatusConflict:
		return store.ErrConflict // an object exists with another content
	case status >= 400 && status < 500:
		return store.ErrUnavailable // refused, no effect
	case status == http.StatusServiceUnavailable && code == platformapi.CodeNotApplied:
		return store.ErrUnavailable
	case write:
		return store.ErrUnknownOutcome
	default:
		return store.ErrUnavailable
	}
}

// problemCode returns the code of an error answer. It is empty when the body is
// not one of the platform's error answers, for example that of a proxy.
func problemCode(body []byte) string {
	var reply platformapi.ErrorReply
	if json.Unmarshal(body, &reply) != nil {
		return ""
	}
	return reply.Error.Code
}

// retryAfter parses the header Retry-After in seconds. A date is ignored: the
// platform sends seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 31) // more would overflow a Duration
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
