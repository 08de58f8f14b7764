package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerend"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
)

const (
	readBufferBytes = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	errNoPosition    = errors.New("event has no position")
	errEventTooLarge = errors.New("event is larger than 1 MiB")
)

// readEvents passes the events of a stream to the receiver until the stream
// ends. Events that are buffered already are passed together. delimited says that the
// end of the body shows the end of the stream.
func readEvents(body io.Reader, delimited bool, memory answerlimit.Memory, receiver forward.Receiver) {
	in := bufio.NewReaderSize(body, readBufferBytes)
	reserved := answerlimit.Reserve(memory)
	defer reserved.Release()
	var batch []forward.Event
	for {
		event, err := readEvent(in, reserved)
		if err == nil {
			batch = append(batch, event)
			if in.Buffered() > 0 {
				continue
			}
		}
		if len(batch) > 0 {
			receiver.EventsArrived(batch)
			batch = nil
		}
		if err != nil {
			reportEnd(err, delimited, receiver)
			return
		}
	}
}

func reportEnd(err error, delimited bool, receiver forward.Receiver) {
	switch {
	case errors.Is(err, io.EOF) && !delimited:
		receiver.ConnectionClosed()
	case errors.Is(err, io.EOF):
		receiver.StreamEnded()
	case errors.Is(err, answerend.ErrCut), errors.Is(err, keptconn.ErrBroken):
		receiver.Lost(continuation.LossTruncated, err.Error(), true)
	case errors.Is(err, io.ErrUnexpectedEOF):
		receiver.Lost(continuation.LossTruncated, "stream ended within an event", true)
	default:
		receiver.Lost(continuation.LossReset, err.Error(), true)
	}
}

// readEvent reads up to the blank line that closes an event.
func readEvent(in *bufio.Reader, reserved *answerlimit.Reservation) (forward.Event, error) {
	reserved.Release() // of the event before
	var raw []byte
	for {
		line, err := in.ReadSlice('\n')
		if !reserved.Grow(2 * (len(raw) + len(line))) { // append may double the buffer
			return forward.Event{}, answerlimit.ErrBudget
		}
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(raw) > 0:
			return forward.Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return forward.Event{}, err
		case isBlank(line):
			position, found := positionOf(raw)
			if !found {
				return forward.Event{}, errNoPosition
			}
			return forward.Event{Position: position, Raw: raw}, nil
		}
		if len(raw) > maxEventBytes {
			return forward.Event{}, errEventTooLarge
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// positionOf returns the value of the event's id field.
func positionOf(raw []byte) (forward.Position, bool) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		position, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		return forward.Position(position), err == nil
	}
	return 0, false
}
