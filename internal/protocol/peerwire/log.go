package peerwire

import (
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// appendWire is the wire form of a replication.Append. It is encoded as an array,
// because an append is sent for nearly every token.
type appendWire struct {
	_       struct{} `cbor:",toarray"`
	Request model.RequestID
	Line    model.LineID
	First   int
	Tokens  []string
	Attempt *generation.Attempt
}

type ackWire struct {
	_       struct{} `cbor:",toarray"`
	Known   bool
	Refused bool
	Held    int
}

type batchWire struct {
	_      struct{} `cbor:",toarray"`
	Model  string
	Line   model.LineID
	First  int
	Tokens []string
	End    *generation.End
	Gone   bool
}

// EncodeOpen encodes an Open.
func EncodeOpen(o replication.Open) (Message, error) { return encodeBody(KindLogOpen, o) }

// DecodeOpen decodes an Open.
func DecodeOpen(m Message) (replication.Open, error) {
	o, err := decodeBody[replication.Open](KindLogOpen, m)
	if err != nil {
		return o, err
	}
	return o, checkPositions(o.Header.Forks, o.Attempt)
}

func checkPositions(forks []generation.Fork, attempt generation.Attempt) error {
	for _, f := range forks {
		if err := checkPosition("fork position", f.Position); err != nil {
			return err
		}
	}
	return checkPosition("attempt's first position", attempt.First)
}

// EncodeAppends encodes the appends of one message.
func EncodeAppends(appends []replication.Append) (Message, error) {
	wire := make([]appendWire, len(appends))
	for i, a := range appends {
		wire[i] = appendWire{Request: a.Request, Line: a.Line, First: a.First, Tokens: a.Tokens, Attempt: a.Attempt}
	}
	return encodeBody(KindLogAppend, wire)
}

// DecodeAppends decodes the appends of one message.
func DecodeAppends(m Message) ([]replication.Append, error) {
	wire, err := decodeBody[[]appendWire](KindLogAppend, m)
	if err != nil {
		return nil, err
	}
	appends := make([]replication.Append, len(wire))
	for i, w := range wire {
		a := replication.Append{Request: w.Request, Line: w.Line, First: w.First, Tokens: w.Tokens, Attempt: w.Attempt}
		if err := checkAppend(a); err != nil {
			return nil, err
		}
		appends[i] = a
	}
	return appends, nil
}

func checkAppend(a replication.Append) error {
	if a.Attempt != nil {
		if err := checkPosition("attempt's first position", a.Attempt.First); err != nil {
			return err
		}
	}
	return checkPosition("first position", a.First)
}

// EncodeAcks encodes the acks of the appends of one message, in their order.
func EncodeAcks(acks []replication.Ack) (Message, error) {
	wire := make([]ackWire, len(acks))
	for i, a := range acks {
		wire[i] = ackWire{Known: a.Exists, Refused: a.Refused, Held: a.HeldTokens}
	}
	return encodeBody(KindLogAppend, wire)
}

// DecodeAcks decodes the acks of the appends of one message.
func DecodeAcks(m Message) ([]replication.Ack, error) {
	wire, err := decodeBody[[]ackWire](KindLogAppend, m)
	if err != nil {
		return nil, err
	}
	acks := make([]replication.Ack, len(wire))
	for i, w := range wire {
		if err := checkPosition("held tokens", w.Held); err != nil {
			return nil, err
		}
		acks[i] = replication.Ack{Exists: w.Known, Refused: w.Refused, HeldTokens: w.Held}
	}
	return acks, nil
}

// EncodeClose encodes a Close.
func EncodeClose(c replication.Close) (Message, error) { return encodeBody(KindLogClose, c) }

// DecodeClose decodes a Close.
func DecodeClose(m Message) (replication.Close, error) {
	c, err := decodeBody[replication.Close](KindLogClose, m)
	if err != nil {
		return c, err
	}
	return c, checkPosition("first position", c.First)
}

// EncodeAck encodes the Ack of a message of the given kind.
func EncodeAck(kind Kind, a replication.Ack) (Message, error) {
	return encodeBody(kind, ackWire{Known: a.Exists, Refused: a.Refused, Held: a.HeldTokens})
}

// DecodeAck decodes the Ack of a message of the given kind.
func DecodeAck(kind Kind, m Message) (replication.Ack, error) {
	w, err := decodeBody[ackWire](kind, m)
	if err != nil {
		return replication.Ack{}, err
	}
	return replication.Ack{Exists: w.Known, Refused: w.Refused, HeldTokens: w.Held}, checkPosition("held tokens", w.Held)
}

// EncodeFetch encodes a Fetch for a log.fetch or log.follow message.
func EncodeFetch(kind Kind, f replication.Fetch) (Message, error) { return encodeBody(kind, f) }

// DecodeFetch decodes a Fetch of a log.fetch or log.follow message.
func DecodeFetch(kind Kind, m Message) (replication.Fetch, error) {
	f, err := decodeBody[replication.Fetch](kind, m)
	if err != nil {
		return f, err
	}
	return f, checkPosition("position", f.Position)
}

// EncodeCopy encodes a Copy.
func EncodeCopy(c replication.Copy) (Message, error) { return encodeBody(KindLogFetch, c) }

// DecodeCopy decodes a Copy.
func DecodeCopy(m Message) (replication.Copy, error) {
	c, err := decodeBody[replication.Copy](KindLogFetch, m)
	if err != nil {
		return c, err
	}
	return c, checkPositions(c.Header.Forks, c.Attempt)
}

// EncodeBatch encodes one Batch of the stream that a log.follow message opens.
func EncodeBatch(b generation.Batch) (Message, error) {
	return encodeBody(KindLogFollow, batchWire{Model: b.Model, Line: b.Line, First: b.First, Tokens: b.Tokens, End: b.End, Gone: b.Removed})
}

// DecodeBatch decodes one Batch of the stream that a log.follow message opens.
func DecodeBatch(m Message) (generation.Batch, error) {
	w, err := decodeBody[batchWire](KindLogFollow, m)
	if err != nil {
		return generation.Batch{}, err
	}
	b := generation.Batch{Model: w.Model, Line: w.Line, First: w.First, Tokens: w.Tokens, End: w.End, Removed: w.Gone}
	return b, checkPosition("first position", b.First)
}
