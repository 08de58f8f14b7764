package peerwire

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
)

// lengthBytes is the size of the length before each message.
const lengthBytes = 4

// WriteMessage writes the length and the bytes of a message in one call to w
// and returns the number of bytes written.
func WriteMessage(w io.Writer, m Message) (int, error) {
	data, err := Encode(m)
	if err != nil {
		return 0, err
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	n, err := w.Write(append(frame, data...))
	if err != nil {
		return n, trace.ConnectionProblem(err, "write %s message: %v", m.Kind, err)
	}
	return n, nil
}

// ReadMessage reads one message and returns it with the number of bytes read,
// the length included. It returns io.EOF if the stream ends before the first byte.
func ReadMessage(r io.Reader) (Message, int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if err == io.EOF { //nolint:errorlint // ReadFull returns io.EOF itself
			return Message{}, 0, io.EOF
		}
		return Message{}, 0, trace.ConnectionProblem(err, "read message length: %v", err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxMessageBytes {
		return Message{}, lengthBytes, trace.Wrap(&SizeError{Bytes: uint64(size)})
	}
	data, err := readBody(r, int(size))
	if err != nil {
		return Message{}, lengthBytes + len(data), trace.ConnectionProblem(err, "read message body: %v", err)
	}
	m, err := Decode(data)
	return m, lengthBytes + len(data), err
}

// firstReadBytes bounds the memory that is allocated for a message before its bytes
// arrive: the length in the frame is a peer's claim.
const firstReadBytes = 64 << 10

func readBody(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, min(size, firstReadBytes))
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	if size <= firstReadBytes {
		return data, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(size-firstReadBytes)))
	if err != nil {
		return nil, err
	}
	if len(rest) < size-firstReadBytes {
		return nil, io.ErrUnexpectedEOF
	}
	return append(data, rest...), nil
}
