package engine

import (
	"errors"
	"net/http"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// apiError is an error answer of the engine API.
type apiError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

// Errors that the engine API answers with.
var (
	errDead         = &apiError{0, "dead", "the engine was killed"} // never sent: the connection is cut
	errLeft         = &apiError{http.StatusServiceUnavailable, "leaving", "the engine has left"}
	errOverloaded   = &apiError{http.StatusServiceUnavailable, "overloaded", "too many streams wait"}
	errStreamExists = &apiError{http.StatusConflict, "stream_exists", "a stream with this ID exists"}
	errNoStream     = &apiError{http.StatusNotFound, "stream_not_found", "the stream does not exist or has expired"}
	errNoModel      = &apiError{http.StatusNotFound, "model_not_found", "the engine serves another model"}
	errWrongVersion = &apiError{http.StatusConflict, "wrong_version", "the engine serves another version"}
	errNoAdapter    = &apiError{http.StatusConflict, "adapter_not_loaded", "the adapter is not loaded"}
	errStaleOrder   = &apiError{http.StatusConflict, "stale_fencing", "the order has an old fencing number"}
	errInjected     = &apiError{http.StatusInternalServerError, "internal", "the engine failed"}
)

// answerError sends an error, as a bad request unless it is an apiError. For
// errDead it cuts the connection.
func answerError(w http.ResponseWriter, err error) {
	failed := &apiError{http.StatusBadRequest, "bad_request", err.Error()}
	_ = errors.As(err, &failed)
	if failed.status == 0 {
		standin.CutConnection()
	}
	var reply engineapi.ErrorReply
	reply.Error.Code = failed.code
	reply.Error.Message = failed.message
	standin.WriteJSON(w, failed.status, reply)
}
