// Package callerlimit bounds what callers can make a process keep: the memory of heads,
// bodies and answers that wait for slow readers, and the number of connections. Callers
// are not trusted; any number of them may send anything.
package callerlimit

import (
	"sync/atomic"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
)

// Use is what memory of a Budget is used for.
type Use int

// Uses of memory.
const (
	Head        Use = iota // a request whose head is being read or whose answer is not written yet
	Body                   // a request's body, while it arrives and while it is kept for resends
	Answer                 // an answer that is read from an upstream or waits for its caller to read it
	LargeAnswer            // such an answer of more than answerlimit.CommonBytes
)

// shares are the parts of the budget, in eighths, up to which each use may fill it. A
// request's body needs its head, and an answer needs both: what comes later in a request's
// life can use memory that earlier steps cannot take. Large answers leave an eighth to
// common ones.
var shares = [...]int64{Head: 6, Body: 4, Answer: 8, LargeAnswer: 7}

// Budget bounds the memory of all uses together. It is safe for concurrent use.
type Budget struct {
	limit int64 // in bytes; zero means no bound
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes; zero means no bound.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes, or reports false if the share of the use does not allow it.
func (b *Budget) Reserve(use Use, n int64) bool {
	if used := b.used.Add(n); b.limit == 0 || used <= b.limit/8*shares[use] {
		return true
	}
	b.used.Add(-n)
	return false
}

// ReserveAnswer takes n more bytes for an answer that holds some already. It implements
// answerlimit.Memory.
func (b *Budget) ReserveAnswer(n, held int64) bool {
	if held+n > answerlimit.CommonBytes {
		return b.Reserve(LargeAnswer, n)
	}
	return b.Reserve(Answer, n)
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }
