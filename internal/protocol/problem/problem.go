// Package problem encodes and decodes refusals as JSON error bodies with their HTTP
// status and headers.
package problem

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Headers of error responses.
const (
	HeaderRequestID  = "X-Request-ID"
	HeaderRetryAfter = "Retry-After"
)

// Body is the JSON body of each error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of a Body. Outcome says whether the request took effect.
type Detail struct {
	Code      string          `json:"code"`
	Message   string          `json:"message"`
	RequestID model.RequestID `json:"request_id"`
	Outcome   model.Outcome   `json:"outcome"`
}

// Of returns the refusal that err is or wraps. For any other error it returns a
// refusal with code internal and unknown outcome, without the text of the error,
// which is only for the log.
func Of(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &model.Refusal{Code: CodeInternal, Message: "internal error; see the log under the request ID", Outcome: model.OutcomeUnknown}
}

// Encode returns the JSON body of a refusal. An error event of a stream has the same
// body.
func Encode(id model.RequestID, r *model.Refusal) []byte {
	detail := Detail{Code: r.Code, Message: r.Message, RequestID: id, Outcome: r.Outcome}
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(Body{Error: detail})
	return body
}

// Write answers a request with a refusal. It returns an error if writing to the
// connection fails.
func Write(w http.ResponseWriter, id model.RequestID, r *model.Refusal) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequestID, string(id))
	if Status(r.Code) == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if r.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, retryAfter(r.RetryAfter))
	}
	w.WriteHeader(Status(r.Code))
	_, err := w.Write(Encode(id, r))
	return trace.ConvertSystemError(err)
}

// retryAfter formats the value of Retry-After: seconds, the unit of the header,
// rounded up. Below one second it is a fraction in milliseconds, because rounding up
// to a second is too long for callers whose whole time limit is one or two seconds.
func retryAfter(d time.Duration) string {
	if d < time.Second {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// Decode decodes an error response. header may be nil.
func Decode(header http.Header, body []byte) (model.RequestID, *model.Refusal, error) {
	var b Body
	if err := json.Unmarshal(body, &b); err != nil {
		return "", nil, trace.BadParameter("error body is not JSON: %v", err)
	}
	if b.Error.Code == "" {
		return "", nil, trace.BadParameter("error body has no code")
	}
	refusal := &model.Refusal{Code: b.Error.Code, Message: b.Error.Message, Outcome: b.Error.Outcome}
	seconds, err := strconv.ParseFloat(header.Get(HeaderRetryAfter), 64)
	if err == nil && seconds >= 0 && seconds <= math.MaxInt32 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return b.Error.RequestID, refusal, nil
}
