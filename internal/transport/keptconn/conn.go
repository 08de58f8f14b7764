package keptconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/answerhead"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
)

// ErrBroken means that what a server sent is not an answer.
var ErrBroken = errors.New("the answer is broken")

var (
	errUnwritten   = fmt.Errorf("%w: its connection ended before the request was written", ErrBroken)
	errReset       = fmt.Errorf("%w: its connection broke", ErrBroken)
	errHeadSize    = fmt.Errorf("%w: %w", ErrBroken, answerlimit.ErrTooLarge)
	errHeadCut     = errors.New("the connection ended within the head of the answer") // as it does when a process ends
	errUnsolicited = errors.New("bytes arrived that belong to no request")
)

// lastWriteTime bounds the wait for the last write of a request after its answer has ended.
// A server can answer before that write has returned here. 250 ms is several times the
// delay of a goroutine on a loaded machine.
const lastWriteTime = 250 * time.Millisecond

// phase says what the next bytes from the server are.
type phase int

const (
	inHead phase = iota // those of a head
	inBody              // those of a body
	idle                // no answer is due
)

// unknownLength stands for a body whose end net/http finds: it is chunked, or ends with the
// connection. Requests have no such body.
const unknownLength = -1

// Conn is a connection that hands on the bytes of an answer only after its head has been
// checked, and no bytes beyond the length of the answer. Reads are made by one goroutine
// at a time, and so are writes.
type Conn struct {
	net.Conn
	requests atomic.Int64 // number of requests that were given the connection

	// mu guards the fields below. It is a leaf lock, and not held during a read or a write.
	mu sync.Mutex

	phase   phase
	noBody  bool   // the request's method has answers without a body
	began   bool   // a byte of an answer to the current request was read
	early   bool   // the first of them was read before the request was written
	handed  bool   // a byte of it was handed on
	held    []byte // the part of a head that has arrived, if it did not arrive at once
	line    int    // start of the last line in held
	out     []byte // checked bytes that did not fit into the reader's buffer
	outErr  error  // for the reads after out
	failure error  // fault of a head, nil if there was none
	rest    int64  // bytes of the body that are due, or unknownLength
	toEnd   bool   // the body ends with the connection

	unwritten bool          // no byte of the current request was given to a write
	matched   int           // bytes of the blank line after the request's head that were written
	bodyRest  int64         // bytes of the request's body that were not given to a write
	writing   bool          // a write is under way
	failed    bool          // a write has failed
	settled   chan struct{} // closed when the write under way returns; nil if none waits for it
}

// begin prepares the connection for an answer to a request with a body of the given length.
func (c *Conn) begin(noBody bool, length int64) {
	first := c.requests.Add(1) == 1
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noBody, c.unwritten, c.matched, c.bodyRest = noBody, true, 0, length
	if !first { // the bytes that arrived before the first request can belong to no other one
		c.phase, c.began, c.early, c.handed, c.held, c.line = inHead, false, false, false, nil, 0
	}
}

// answersEarly reports whether the answer that the transport begins to read was received
// before the current request was written.
func (c *Conn) answersEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.early || !c.handed // the transport had read it before it had the request
}

// brokenHead returns the fault of a broken head, nil if there was none.
func (c *Conn) brokenHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unwritten, c.writing = false, true
	c.countWritten(p)
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.failed = c.failed || err != nil
	if c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
	return n, err
}

// blankLine ends the head of a request as net/http writes it.
const blankLine = "\r\n\r\n"

// countWritten notes which part of the request p is.
func (c *Conn) countWritten(p []byte) {
	for i := 0; i < len(p) && c.matched < len(blankLine); i++ {
		switch p[i] {
		case blankLine[c.matched]:
			c.matched++
		case '\r':
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(blankLine) {
			p = p[i+1:]
			break
		}
	}
	if c.matched == len(blankLine) {
		c.bodyRest -= int64(len(p))
	}
}

// isWritten reports whether the request was written whole. It waits for its last write.
func (c *Conn) isWritten() bool {
	c.mu.Lock()
	whole := !c.failed && !c.unwritten && c.matched == len(blankLine) && c.bodyRest == 0
	if !whole || !c.writing {
		c.mu.Unlock()
		return whole
	}
	if c.settled == nil {
		c.settled = make(chan struct{})
	}
	settled := c.settled
	c.mu.Unlock()
	timer := time.NewTimer(lastWriteTime)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed && !c.writing
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err := c.readOut(p); n > 0 || err != nil {
		return n, err
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			if n, err, done := c.accept(p[:n]); done {
				return n, err
			}
		}
		if err != nil {
			return c.end(p, err)
		}
	}
}

// readOut hands on checked bytes, and the error after them.
func (c *Conn) readOut(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) == 0 {
		return 0, c.outErr
	}
	n := copy(p, c.out)
	if c.out = c.out[n:]; len(c.out) > 0 {
		return n, nil
	}
	c.out = nil
	return n, c.outErr
}

// accept decides what of the bytes that were read is handed on, and moves it to the start
// of p. It returns false if nothing is handed on yet.
func (c *Conn) accept(p []byte) (int, error, bool) { //nolint:revive,staticcheck // the first two are the results of Read
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case idle:
		return 0, errUnsolicited, true
	case inBody:
		n, err := c.takeBody(len(p))
		return n, err, true
	}
	if !c.began {
		c.began, c.early = true, c.unwritten
	}
	data, owned := p, false
	if len(c.held) > 0 {
		data, owned = append(c.held, p...), true
		c.held = nil
	}
	n, err := c.takeHeads(data)
	if n < len(data) && err == nil {
		c.held = data[n:]
		if !owned { // the reader uses its buffer again
			c.held = bytes.Clone(c.held)
		}
	}
	if n == 0 && err == nil {
		return 0, nil, false
	}
	c.outErr = err
	if n == 0 && !c.handed {
		n = 1 // net/http sends a request again if its connection ends without a byte of an answer
	}
	c.handed = true
	copied := copy(p, data[:n])
	if c.out = data[copied:n]; len(c.out) > 0 {
		return copied, nil, true
	}
	c.out = nil
	return copied, err, true
}

// takeHeads returns the number of bytes that are handed on of data, which begins with a
// head, and the error for the read after them. Interim answers come before the final one.
func (c *Conn) takeHeads(data []byte) (int, error) {
	taken := 0
	for {
		end, line := answerhead.End(data[taken:], c.line)
		if end == 0 && len(data)-taken > answerlimit.MaxHeadBytes {
			c.failure = errHeadSize
			return taken, c.failure
		}
		if end == 0 {
			c.line = line
			return taken, nil
		}
		c.line = 0
		head, err := answerhead.Parse(data[taken : taken+end])
		if err != nil {
			c.failure = fmt.Errorf("%w: %w", ErrBroken, err)
			return taken, c.failure
		}
		taken += end
		if head.IsInterim() {
			continue
		}
		c.phase, c.rest = inBody, head.Length
		if c.noBody || head.HasNoBody() {
			c.rest = 0
		}
		c.toEnd = c.rest == unknownLength && !head.Chunked
		n, err := c.takeBody(len(data) - taken)
		return taken + n, err
	}
}

// takeBody returns how many of n bytes belong to the body. With bytes beyond the length it
// returns io.EOF, with which net/http does not use the connection again.
func (c *Conn) takeBody(n int) (int, error) {
	if c.rest == unknownLength {
		return n, nil
	}
	var err error
	if int64(n) > c.rest {
		n, err = int(c.rest), io.EOF
		c.outErr = err
	}
	if c.rest -= int64(n); c.rest == 0 {
		c.phase = idle
	}
	return n, err
}

// end returns what a read returns whose connection has ended with the error.
func (c *Conn) end(p []byte, err error) (int, error) {
	c.mu.Lock()
	phase, toEnd := c.phase, c.toEnd
	if phase == inHead && len(c.held) > 0 {
		defer c.mu.Unlock()
		c.failure, c.outErr = errHeadCut, errHeadCut
		if c.handed {
			return 0, errHeadCut
		}
		c.handed = true
		return copy(p[:1], c.held), nil
	}
	c.mu.Unlock()
	switch {
	case phase != inBody:
	case !c.isWritten():
		return 0, fmt.Errorf("%w: %w", errUnwritten, notEOF(err))
	case toEnd && !errors.Is(err, io.EOF):
		return 0, fmt.Errorf("%w: %w", errReset, err)
	}
	return 0, err
}

// notEOF hides the end of a file from readers that take it for the end of an answer.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
