// Package answerlimit bounds the memory that answers of other programs take while they
// are read. A program in trouble may send bytes without end, in the head of an answer
// or in its body.
package answerlimit

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// MaxHeadBytes bounds the head of an answer. Heads of upstreams and platforms have less
// than 1 kB; net/http allows 10 MB unless it is told otherwise.
const MaxHeadBytes = 64 << 10

// CommonBytes is the size up to which an answer is a common one. Common answers are read
// while large ones use up the memory.
const CommonBytes = 64 << 10

var (
	// ErrTooLarge means that an answer is larger than one answer may be.
	ErrTooLarge = errors.New("answer is too large")
	// ErrBudget means that all answers together take too much memory.
	ErrBudget = errors.New("answer is too large for the memory that other answers leave")
)

// Memory is what answers are read into. It is safe for concurrent use.
type Memory interface {
	// ReserveAnswer takes n more bytes for an answer that holds some already. It reports
	// false if there is no room.
	ReserveAnswer(n, held int64) bool
	// Release gives n bytes back.
	ReleaseAnswer(n int64)
}

// Budget is a Memory of a fixed size, which common answers may exceed. It is for
// processes whose memory is not known.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// ReserveAnswer implements Memory.
func (b *Budget) ReserveAnswer(n, held int64) bool {
	if used := b.used.Add(n); used <= b.limit || held+n <= CommonBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// ReleaseAnswer implements Memory.
func (b *Budget) ReleaseAnswer(n int64) { b.used.Add(-n) }

// Reservation is the memory that one answer uses.
type Reservation struct {
	memory   Memory
	reserved int64
}

// Reserve begins a reservation, which must be released.
func Reserve(m Memory) *Reservation { return &Reservation{memory: m} }

// Grow reserves memory for buffers of size bytes together. It returns false if there is no
// room.
func (r *Reservation) Grow(size int) bool {
	more := int64(size) - r.reserved
	if more <= 0 {
		return true
	}
	if !r.memory.ReserveAnswer(more, r.reserved) {
		return false
	}
	r.reserved += more
	return true
}

// shrink gives back what is reserved beyond size bytes.
func (r *Reservation) shrink(size int) {
	if unused := r.reserved - int64(size); unused > 0 {
		r.memory.ReleaseAnswer(unused)
		r.reserved -= unused
	}
}

// Release gives the reserved memory back.
func (r *Reservation) Release() { r.shrink(0) }

const (
	// firstBufferBytes is the size of the first buffer of an answer without a length,
	// enough for most answers.
	firstBufferBytes = 4 << 10
	// probeBytes are read beside a full buffer, which is the end of most answers whose
	// buffer was chosen by their length.
	probeBytes = 512
)

// LengthOf returns the length of the body that follows the head, -1 if the head does not
// tell it. The head of an answer to HEAD has the length of another body.
func LengthOf(in *http.Response) int64 {
	if in.Body == http.NoBody {
		return 0
	}
	return in.ContentLength
}

// ReadAll reads an answer of at most limit bytes under the reservation. length is that of
// the answer, or -1.
func (r *Reservation) ReadAll(in io.Reader, length int64, limit int) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrTooLarge
	}
	first := min(firstBufferBytes, limit)
	if length >= 0 {
		first = int(length)
	}
	if !r.Grow(first) {
		return nil, ErrBudget
	}
	data := make([]byte, 0, first)
	for {
		var err error
		if data, err = fill(data, in); errors.Is(err, io.EOF) {
			return data, nil
		} else if err != nil {
			return nil, err
		}
		probe := make([]byte, 0, probeBytes)
		n, err := readSome(in, probe[:probeBytes])
		switch probe = probe[:n]; {
		case n == 0 && errors.Is(err, io.EOF):
			return data, nil
		case n == 0:
			return nil, err
		case len(data)+n > limit:
			return nil, ErrTooLarge
		}
		larger := min(max(2*cap(data), cap(data)+probeBytes), limit)
		if !r.Grow(cap(data) + larger) { // both are held during the copy
			return nil, ErrBudget
		}
		data = append(append(make([]byte, 0, larger), data...), probe...)
		r.shrink(larger)
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the buffer is full or the reader fails.
func fill(data []byte, in io.Reader) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// readSome reads at least one byte, unless the reader fails.
func readSome(in io.Reader, p []byte) (int, error) {
	for {
		if n, err := in.Read(p); n > 0 || err != nil {
			return n, err
		}
	}
}
