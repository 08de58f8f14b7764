// Package peerwire encodes the messages between the system's processes.
//
// A message is a CBOR map {v, kind, trace, body}. On a stream, each message is
// preceded by its length as four bytes, most significant first. Bodies are maps
// with small integer keys, so that a field can be added without a new version: a
// decoder ignores keys that it does not know. Rows that occur by the hundred are
// arrays, whose fields cannot change within one version.
package peerwire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Version is the version of the message format that this build supports.
const Version = 1

// MaxMessageBytes bounds one encoded message. The largest messages are a document
// with 3,500 upstreams, about 1 MB, and a copied log with a long prompt.
const MaxMessageBytes = 8 << 20

const (
	maxNestingLevels = 16      // the deepest body, a document, has 6 levels
	maxArrayElements = 1 << 18 // elements of one array, enough for a log of 262,144 tokens
	maxTraceBytes    = 128     // a W3C traceparent has 55
	maxKindBytes     = 32
)

// Kind is the kind of a message. A reply has the kind of its request, or
// KindError.
type Kind string

// Kinds of messages.
const (
	KindView          Kind = "view"
	KindReport        Kind = "report"
	KindGossip        Kind = "gossip"
	KindLogOpen       Kind = "log.open"
	KindLogAppend     Kind = "log.append"
	KindLogClose      Kind = "log.close"
	KindLogFetch      Kind = "log.fetch"
	KindLogFollow     Kind = "log.follow"
	KindSuspectPermit Kind = "suspect.permit"
	KindSuspects      Kind = "suspects"
	KindState         Kind = "state"
	KindMoveCounts    Kind = "move.counts"
	KindCellDemand    Kind = "cell.demand"
	KindRegistry      Kind = "registry"
	KindError         Kind = "error"
)

// Label returns the kind for use in metrics and spans. Kinds that this build does
// not know share one label, because a peer can send any number of them.
func (k Kind) Label() string {
	switch k {
	case KindView, KindReport, KindGossip, KindLogOpen, KindLogAppend, KindLogClose, KindLogFetch, KindLogFollow,
		KindSuspectPermit, KindSuspects, KindState, KindMoveCounts, KindCellDemand, KindRegistry, KindError:
		return string(k)
	}
	return "other"
}

// Message is one message whose body is still encoded.
type Message struct {
	Kind        Kind
	TraceParent string // W3C trace context of the sender's span; may be empty
	Body        []byte // one CBOR item
}

// VersionError reports a message of a version that this build does not support.
type VersionError struct {
	Got  uint64
	Want uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("message has version %d, this process speaks version %d", e.Got, e.Want)
}

// SizeError reports a message larger than MaxMessageBytes.
type SizeError struct {
	Bytes uint64
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message has %d bytes, the limit is %d", e.Bytes, uint64(MaxMessageBytes))
}

type envelope struct {
	Version uint64          `cbor:"v"`
	Kind    Kind            `cbor:"kind"`
	Trace   string          `cbor:"trace,omitempty"`
	Body    cbor.RawMessage `cbor:"body"`
}

// encoding and decoding are safe for concurrent use.
var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("peerwire: encoder options: %v", err))
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxArrayElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("peerwire: decoder options: %v", err))
	}
	return mode
}

// Encode returns the bytes of a message without its length.
func Encode(m Message) ([]byte, error) {
	data, err := encoding.Marshal(envelope{Version: Version, Kind: m.Kind, Trace: m.TraceParent, Body: m.Body})
	if err != nil {
		return nil, trace.Wrap(err, "encode %s message", m.Kind)
	}
	if len(data) > MaxMessageBytes {
		return nil, trace.Wrap(&SizeError{Bytes: uint64(len(data))})
	}
	return data, nil
}

// Decode parses the bytes of a message but leaves its body encoded. It checks the
// version before the other fields, whose types another version may change.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, trace.Wrap(&SizeError{Bytes: uint64(len(data))})
	}
	var head struct {
		Version *uint64 `cbor:"v"`
	}
	if err := decoding.Unmarshal(data, &head); err != nil {
		return Message{}, trace.Wrap(err, "decode message")
	}
	if head.Version == nil {
		return Message{}, trace.BadParameter("message has no version")
	}
	if *head.Version != Version {
		return Message{}, trace.Wrap(&VersionError{Got: *head.Version, Want: Version})
	}
	var env envelope
	if err := decoding.Unmarshal(data, &env); err != nil {
		return Message{}, trace.Wrap(err, "decode message")
	}
	return env.message()
}

func (e *envelope) message() (Message, error) {
	if e.Kind == "" || len(e.Kind) > maxKindBytes {
		return Message{}, trace.BadParameter("message has a kind of %d bytes", len(e.Kind))
	}
	if len(e.Trace) > maxTraceBytes {
		return Message{}, trace.BadParameter("message has a trace context of %d bytes", len(e.Trace))
	}
	return Message{Kind: e.Kind, TraceParent: e.Trace, Body: e.Body}, nil
}

// encodeBody returns a message of the given kind with the encoded wire struct as
// its body.
func encodeBody(kind Kind, wire any) (Message, error) {
	body, err := encoding.Marshal(wire)
	if err != nil {
		return Message{}, trace.Wrap(err, "encode body of %s message", kind)
	}
	return Message{Kind: kind, Body: body}, nil
}

// decodeBody parses the body of a message, which must have the given kind. For a
// message of kind error it returns a *RemoteError as the error.
func decodeBody[T any](kind Kind, m Message) (T, error) {
	var wire T
	if m.Kind == KindError && kind != KindError {
		return wire, trace.Wrap(decodeError(m))
	}
	if m.Kind != kind {
		return wire, trace.BadParameter("message has kind %q, expected %q", m.Kind, kind)
	}
	if err := decoding.Unmarshal(m.Body, &wire); err != nil {
		return wire, trace.Wrap(err, "decode body of %s message", kind)
	}
	return wire, nil
}

// IsVersionError reports whether err says that the peer uses another version of the
// message format, whether this process or the peer noticed it.
func IsVersionError(err error) bool {
	var local *VersionError
	if errors.As(err, &local) {
		return true
	}
	var remote *RemoteError
	return errors.As(err, &remote) && remote.Code == CodeWrongVersion
}
