// Package answerlimit bounds the memory that answers of other programs take while they
// are read. A program in trouble may send bytes without end, in the head of an answer
// or in its body.
package answerlimit

import (
	"errors"
	"io"
	"sync/atomic"
)

// MaxHeadBytes bounds the head of an answer. Heads of upstreams and platforms have less
// than 1 kB; net/http allows 10 MB unless it is told otherwise.
const MaxHeadBytes = 64 << 10

// freeBytes of each answer do not count against a budget, so that common answers are
// read even while large ones use it up.
const freeBytes = 64 << 10

var (
	// ErrTooLarge means that an answer is larger than one answer may be.
	ErrTooLarge = errors.New("answer is too large")
	// ErrBudget means that all answers together take too much memory.
	ErrBudget = errors.New("answer is too large for the memory that other answers leave")
)

// Budget bounds the memory of all answers that are being read. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reservation is the part of a budget that one answer uses.
type Reservation struct {
	budget   *Budget
	reserved int64
}

// Reserve begins a reservation, which must be released.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow reserves memory for an answer of size bytes. It returns false if the budget does
// not allow it.
func (r *Reservation) Grow(size int) bool {
	more := int64(size) - freeBytes - r.reserved
	if more <= 0 {
		return true
	}
	if r.budget.used.Add(more) > r.budget.limit {
		r.budget.used.Add(-more)
		return false
	}
	r.reserved += more
	return true
}

// Release gives the reserved memory back.
func (r *Reservation) Release() {
	r.budget.used.Add(-r.reserved)
	r.reserved = 0
}

// firstBufferBytes is the size of the first buffer of ReadAll, enough for most answers.
const firstBufferBytes = 4 << 10

// ReadAll reads an answer of at most limit bytes under the reservation.
func (r *Reservation) ReadAll(in io.Reader, limit int) ([]byte, error) {
	data := make([]byte, 0, min(firstBufferBytes, limit+1))
	for {
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		larger := min(2*cap(data), limit+1)
		if !r.Grow(larger) {
			return nil, ErrBudget
		}
		data = append(make([]byte, 0, larger), data...)
	}
}
