package peerwire

import (
	"errors"

	"github.com/gravitational/trace"
)

// Codes of error replies.
const (
	CodeBadMessage   = "bad_message"
	CodeWrongVersion = "wrong_version"
	CodeUnknownKind  = "unknown_kind"
	CodeNotFound     = "not_found"
	CodeUnavailable  = "unavailable"
	CodeInternal     = "internal"
)

// RemoteError is an error reply from a peer.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "peer replied " + e.Code + ": " + e.Message
}

type errorWire struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// maxErrorBytes bounds the text of an error reply.
const maxErrorBytes = 1024

// EncodeError returns the error reply for err. It cuts the text to maxErrorBytes.
func EncodeError(err error) Message {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	m, encErr := encodeBody(KindError, errorWire{Code: errorCode(err), Message: text})
	if encErr != nil {
		return Message{Kind: KindError}
	}
	return m
}

// AsError returns the error that an error reply carries, or nil for a message
// of another kind.
func AsError(m Message) error {
	if m.Kind != KindError {
		return nil
	}
	return trace.Wrap(decodeError(m))
}

func decodeError(m Message) error {
	wire, err := decodeBody[errorWire](KindError, m)
	if err != nil {
		return err
	}
	return &RemoteError{Code: wire.Code, Message: wire.Message}
}

func errorCode(err error) string {
	var remote *RemoteError
	var version *VersionError
	switch {
	case errors.As(err, &remote):
		return remote.Code
	case errors.As(err, &version):
		return CodeWrongVersion
	case trace.IsNotFound(err):
		return CodeNotFound
	case trace.IsBadParameter(err):
		return CodeBadMessage
	case trace.IsNotImplemented(err):
		return CodeUnknownKind
	case trace.IsConnectionProblem(err), trace.IsLimitExceeded(err):
		return CodeUnavailable
	default:
		return CodeInternal
	}
}
