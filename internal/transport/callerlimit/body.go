package callerlimit

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// freeBodyBytes of each body count as a part of its request, so that small requests
	// are served while large ones use up the budget.
	freeBodyBytes   = 16 << 10
	firstBodyBuffer = 4 << 10
	// knownBodyBytes of a body with a known length arrive before its whole length is
	// reserved: an announced length alone takes nothing, and the body is copied only once.
	knownBodyBytes = 64 << 10
)

// ErrMemory means that the budget has no room for a body. The whole body has been read, so
// that the caller gets the refusal: a connection that closes with unread bytes is reset.
var ErrMemory = errors.New("no memory is left for the body")

// Kept is a body that counts against the budget until it is released.
type Kept struct {
	Bytes    []byte
	budget   *Budget
	reserved int64
}

// Release gives the memory back. It may be called more than once.
func (k *Kept) Release() {
	if k == nil {
		return
	}
	k.budget.Release(Body, k.reserved)
	k.reserved = 0
}

// grow reserves memory for a buffer of size bytes beside the present one.
func (k *Kept) grow(size int) bool {
	more := int64(cap(k.Bytes)+size) - freeBodyBytes - k.reserved
	if more <= 0 {
		return true
	}
	if !k.budget.Reserve(Body, more) {
		return false
	}
	k.reserved += more
	return true
}

// settle gives back what grow reserved for buffers that are no longer in use.
func (k *Kept) settle() {
	if unused := k.reserved - max(int64(cap(k.Bytes))-freeBodyBytes, 0); unused > 0 {
		k.budget.Release(Body, unused)
		k.reserved -= unused
	}
}

// nextBuffer returns the size of the buffer that follows a full one of size bytes, for a
// body of less than expect bytes. The last doubling is skipped, so that the copy of a body
// of unknown length adds a quarter of the largest body and not a half.
func nextBuffer(size, expect int64, known bool) int64 {
	if (known && size >= knownBodyBytes) || 4*size >= expect-1 {
		return expect
	}
	return min(2*size, expect)
}

// ReadBody reads a body of at most limit bytes. Memory is reserved as the body arrives, so
// that an announced length alone takes none. The body fails with os.ErrDeadlineExceeded
// if nothing of it arrives for stall; zero leaves the server's deadlines as they are.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration) (*Kept, error) {
	body := http.MaxBytesReader(w, r.Body, limit)
	k := &Kept{budget: g.Budget}
	if r.Body == nil || r.Body == http.NoBody {
		return k, nil
	}
	expect := limit + 1
	if r.ContentLength >= 0 {
		expect = min(r.ContentLength, limit) + 1
	}
	k.Bytes = make([]byte, 0, min(firstBodyBuffer, expect))
	read := progressReader{body, http.NewResponseController(w), stall}
	for {
		n, err := read.Read(k.Bytes[len(k.Bytes):cap(k.Bytes)])
		k.Bytes = k.Bytes[:len(k.Bytes)+n]
		switch {
		case errors.Is(err, io.EOF):
			read.done()
			return k, nil
		case err != nil:
			k.Release()
			return nil, err
		case len(k.Bytes) < cap(k.Bytes):
			continue
		}
		larger := int(nextBuffer(int64(cap(k.Bytes)), expect, r.ContentLength >= 0))
		if !k.grow(larger) {
			k.Release()
			k.Bytes = nil
			if _, err := io.Copy(io.Discard, read); err != nil {
				return nil, err
			}
			read.done()
			return nil, ErrMemory
		}
		k.Bytes = append(make([]byte, 0, larger), k.Bytes...)
		k.settle()
	}
}

// progressReader ends a body of which nothing arrives for stall.
type progressReader struct {
	io.Reader
	conn  *http.ResponseController
	stall time.Duration
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	if p.stall > 0 {
		_ = p.conn.SetReadDeadline(time.Now().Add(p.stall)) // test recorders have no deadlines
	}
	return p.Reader.Read(b)
}

// done removes the deadline: the server reads on to detect that the caller leaves.
func (p progressReader) done() {
	if p.stall > 0 {
		_ = p.conn.SetReadDeadline(time.Time{})
	}
}
