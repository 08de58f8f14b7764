package callerlimit

import (
	"bytes"
	"container/list"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Costs of a request before its handler runs, in bytes of memory. A parsed line takes a
// string, a slice and an entry in a map that grows by doubling, and forwarding copies
// them: 600 heads of 3,300 distinct lines took 440 MB, 220 bytes a line.
const (
	requestCost  = 16 << 10
	lineCost     = 320
	headByteCost = 3
	// bufferBytes is the size of net/http's read buffer, which may hold the beginning of
	// a head that the connection has not counted. The shortest line has three bytes.
	bufferBytes   = 4 << 10
	pipelinedCost = requestCost + bufferBytes/3*lineCost + bufferBytes*headByteCost
)

const (
	// Heads up to this size are read without memory in the budget, so that their callers
	// get a refusal instead of a closed connection.
	smallHeadBytes = 4 << 10
	smallHeadLines = 64
	// headSlack is added to the limit of a head. net/http adds 4 KiB, and has up to a
	// buffer of a later head on a connection before its own limit applies.
	headSlack = 4<<10 + bufferBytes
	// lingerTime and lingerBytes bound what is read after a head over the limit, so that
	// its caller gets the answer: a connection that closes with unread bytes is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// stallTime is the default of WriteStall, the time in which a caller takes a write of
	// writeBytes. It is not extended when a part was taken: that would let a caller keep an
	// answer of 4 MiB in memory for days. The slowest reader of a large answer takes 2.2 kB/s.
	stallTime  = 30 * time.Second
	writeBytes = 64 << 10
	// discardTime and discardBytes bound the rest of a request that is refused.
	discardTime  = 5 * time.Second
	discardBytes = 8 << 20
)

const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// phase is what a connection is used for.
type phase int

const (
	phaseIdle phase = iota // no byte of a request has been counted
	phaseHead
	phaseRequest // from the start of the handler to the end of the answer
	phaseClosed
)

// conn counts what it reads of heads against the budget. mu guards the fields below it
// and is held over setting deadlines, which do not block. Only the lock of the budget is
// taken under it.
type conn struct {
	net.Conn
	listener *listener

	mu            sync.Mutex
	phase         phase
	fresh         bool // no request has ended on it
	idleSince     time.Time
	idleDeadlines int // deadlines that net/http has set since the last request, without a read
	headSince     time.Time
	readDeadline  time.Time // set by net/http
	writeDeadline time.Time // set by net/http or a handler
	head          headCount
	reserved      int64
	refused       bool // the head was read without memory in the budget

	// Guarded by listener.mu.
	element *list.Element
	removed bool
}

// headCount counts the bytes and lines of a head up to its end.
type headCount struct {
	bytes, lines int
	lineBytes    int  // of the last, incomplete line
	lineIsCR     bool // that line is a carriage return
	ended        bool
}

// add counts more bytes of the head. If the server reads on after an empty line, the head
// has not ended for it.
func (h *headCount) add(p []byte) {
	h.ended = false
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.lineIsCR = h.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
			h.bytes += len(p)
			h.lineBytes += len(p)
			return
		}
		empty := h.lineBytes+end == 0 || (end == 0 && h.lineIsCR) || (h.lineBytes == 0 && end == 1 && p[0] == '\r')
		h.bytes += end + 1
		h.lineBytes, h.lineIsCR = 0, false
		h.lines++
		h.ended = empty && h.lines > 1
		p = p[end+1:]
	}
}

func (h *headCount) cost() int64 {
	return requestCost + int64(h.lines)*lineCost + int64(h.bytes)*headByteCost
}

func (h *headCount) small() bool { return h.bytes <= smallHeadBytes && h.lines <= smallHeadLines }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead(len(p)) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		answerPlainHTTP(err)
		return n, err
	}
	cause := c.received(p[:n])
	if cause == "" {
		return n, err
	}
	c.listener.guard.Count(c.listener.opts.Name, cause)
	if cause == CauseHeadSize {
		c.answerTooLarge()
	}
	_ = c.Close()
	return 0, net.ErrClosed
}

func (c *conn) answerTooLarge() {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, headTooLarge)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// answerPlainHTTP answers a caller that sent plain HTTP to a listener with TLS, as net/http
// does on connections that it knows to have TLS.
func answerPlainHTTP(err error) {
	var record tls.RecordHeaderError
	if !errors.As(err, &record) || record.Conn == nil {
		return
	}
	switch string(record.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		_ = record.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nThis address serves HTTPS only.\n")
	}
}

// beginRead prepares a read into size bytes. It reports false if the connection is closed.
// Between requests, net/http reads into its whole buffer if that is empty; a smaller read
// means that the buffer holds bytes of the next request, which were read while the answer
// before was written. Only with an empty buffer may the connection be closed as idle.
func (c *conn) beginRead(size int) bool {
	c.mu.Lock()
	c.idleDeadlines = 0
	between := c.phase == phaseIdle && !c.fresh
	if between && size < bufferBytes {
		c.beginHead()
	}
	_ = c.setReadDeadline() // fails only on a closed connection, which the read reports
	open, idle := c.phase != phaseClosed, between && c.phase == phaseIdle
	c.mu.Unlock()
	if idle {
		c.listener.addIdle(c)
	}
	return open
}

// received counts what was read. It returns the cause for which the connection is to be
// closed, empty for none.
func (c *conn) received(p []byte) (cause string) {
	c.mu.Lock()
	begins := c.phase == phaseIdle
	if begins {
		c.beginHead()
	}
	switch c.phase {
	case phaseClosed:
		cause = CauseIdle
	case phaseHead:
		cause = c.countHead(p)
	case phaseIdle, phaseRequest:
	}
	c.mu.Unlock()
	if begins {
		c.listener.removeIdle(c)
	}
	return cause
}

// beginHead begins a request. mu is held.
func (c *conn) beginHead() {
	c.phase, c.headSince, c.head, c.refused = phaseHead, time.Now(), headCount{}, false
}

// countHead reserves memory for more of the head. mu is held.
func (c *conn) countHead(p []byte) (cause string) {
	c.head.add(p)
	if c.head.bytes > c.headerBytes()+headSlack {
		return CauseHeadSize
	}
	if more := c.head.cost() - c.reserved; more > 0 && !c.refused {
		c.refused = !c.listener.guard.Budget.Reserve(Head, more)
		if !c.refused {
			c.reserved += more
		}
	}
	if c.refused && !c.head.small() {
		return CauseMemory
	}
	return ""
}

func (c *conn) headerBytes() int {
	if limit := c.listener.opts.Limits().HeaderBytes; limit > 0 {
		return min(int(limit), c.listener.headerBytes)
	}
	return c.listener.headerBytes
}

// headRead notes that the head was read and its handler runs. It reports whether the
// request is to be refused.
func (c *conn) headRead() (refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed {
		c.phase = phaseRequest
	}
	return c.refused
}

// requestEnded notes that the answer was written. The connection may be closed as idle
// from the next read on, because net/http may have read bytes of the next request.
func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return
	}
	c.phase, c.fresh, c.idleSince, c.idleDeadlines = phaseIdle, false, time.Now(), 0
	c.release()
}

// release gives the request's memory back. mu is held.
func (c *conn) release() {
	c.listener.guard.Budget.Release(Head, c.reserved)
	c.reserved, c.refused = 0, false
}

// SetReadDeadline implements net.Conn. net/http sets one deadline for an idle connection
// and the next when a request has begun. If nothing was read in between, the request
// began in net/http's buffer, and nothing of it was counted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.idleDeadlines++
	buffered := c.phase == phaseIdle && !c.fresh && c.idleDeadlines == 2
	if buffered {
		c.beginHead()
		c.refused = !c.listener.guard.Budget.Reserve(Head, pipelinedCost)
		if !c.refused {
			c.reserved += pipelinedCost
		}
	}
	err := c.setReadDeadline()
	c.mu.Unlock()
	if buffered {
		c.listener.removeIdle(c)
	}
	return err
}

// setReadDeadline sets the earliest of the deadlines of net/http and of the limits in
// force. mu is held.
func (c *conn) setReadDeadline() error {
	deadline := c.readDeadline
	limits := c.listener.opts.Limits()
	switch {
	case c.phase == phaseHead && !c.head.ended:
		deadline = earliest(deadline, c.headSince, limits.HeaderTime, c.listener.headerTime)
	case c.phase == phaseIdle && !c.fresh:
		deadline = earliest(deadline, c.idleSince, limits.IdleTime, c.listener.idleTime)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// earliest returns the earlier of a deadline, where zero means none, and the end of the
// time that begins at since.
func earliest(deadline, since time.Time, limit, fallback time.Duration) time.Time {
	if limit <= 0 || limit > fallback {
		limit = fallback
	}
	if end := since.Add(limit); deadline.IsZero() || end.Before(deadline) {
		return end
	}
	return deadline
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It writes up to writeBytes at a time and fails if the caller
// does not take each of these parts whole within WriteStall.
func (c *conn) Write(p []byte) (written int, err error) {
	for {
		if err := c.beginWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	stall := c.listener.opts.WriteStall
	return c.Conn.SetWriteDeadline(earliest(c.writeDeadline, time.Now(), stall, stall))
}

// closeIfIdle closes the connection unless a byte of a request was counted since its last
// one. A request that arrives at the same time is lost with the connection, as with every
// server that closes idle connections; no handler has seen it.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	idle := c.phase == phaseIdle
	if idle {
		c.phase = phaseClosed
	}
	c.mu.Unlock()
	if idle {
		c.listener.closed(c)
		_ = c.transport().Close()
	}
	return idle
}

// transport returns the connection below TLS. Closing it does not wait for the peer, while
// closing a TLS connection may wait 5 s to write an alert.
func (c *conn) transport() net.Conn {
	if inner, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return inner.NetConn()
	}
	return c.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	open := c.phase != phaseClosed
	c.phase = phaseClosed
	c.release()
	c.mu.Unlock()
	err := c.Conn.Close()
	if open {
		c.listener.closed(c)
	}
	return err
}

// CloseWrite lets net/http end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger lets a handler reset the connection.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// discard reads the rest of a refused request without keeping it, so that the caller gets
// the refusal.
func (c *conn) discard(w http.ResponseWriter, r *http.Request) {
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, discardBytes))
	_ = c.SetReadDeadline(time.Time{})
}
