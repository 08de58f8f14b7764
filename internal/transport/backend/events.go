package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
)

const (
	eventBuffer = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	errNoPosition    = errors.New("event has no position")
	errEventTooLarge = errors.New("event is larger than 1 MiB")
)

// readEvents hands over the events of a stream until it ends. Events that are
// in the buffer already are handed over together.
func readEvents(body io.Reader, to forward.Receiver) {
	in := bufio.NewReaderSize(body, eventBuffer)
	var batch []forward.Event
	for {
		event, err := readEvent(in)
		if err == nil {
			batch = append(batch, event)
			if in.Buffered() > 0 {
				continue
			}
		}
		if len(batch) > 0 {
			to.Arrived(batch)
			batch = nil
		}
		if err != nil {
			endOf(err, to)
			return
		}
	}
}

func endOf(err error, to forward.Receiver) {
	switch {
	case errors.Is(err, io.EOF):
		to.Ended()
	case errors.Is(err, io.ErrUnexpectedEOF):
		to.Lost(continuation.LossTruncated, "stream ended within an event", true)
	default:
		to.Lost(continuation.LossReset, err.Error(), true)
	}
}

// readEvent reads up to the blank line that closes an event.
func readEvent(in *bufio.Reader) (forward.Event, error) {
	var raw []byte
	for {
		line, err := in.ReadSlice('\n')
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
