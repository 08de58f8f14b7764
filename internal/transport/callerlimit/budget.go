// Package callerlimit bounds what callers can make a process keep: the memory of heads,
// bodies and answers that wait for slow readers, and the number of connections. Callers
// are not trusted; any number of them may send anything.
package callerlimit

import "sync/atomic"

// Use is what memory of a Budget is used for.
type Use int

// Uses of memory.
const (
	Head   Use = iota // a request whose head is being read or whose answer is not written yet
	Body              // a request's body, while it arrives and while it is kept for resends
	Answer            // what waits for its caller to read
)

// shares are the parts of the budget, in quarters, up to which each use may fill it. A
// request's body needs its head, and an answer needs both: what comes later in a request's
// life can use memory that earlier steps cannot take.
var shares = [...]int64{Head: 3, Body: 2, Answer: 4}

// Budget bounds the memory of all uses together. It is safe for concurrent use.
type Budget struct {
	limit int64 // in bytes; zero means no bound
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes; zero means no bound.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes, or reports false if the share of the use does not allow it. A
// reservation that fails is never counted: others would fail because of it. Nothing needs
// no memory, so that the end of a response is never refused.
func (b *Budget) Reserve(use Use, n int64) bool {
	if n == 0 {
		return true
	}
	for {
		used := b.used.Load()
		if b.limit != 0 && used+n > b.limit/4*shares[use] {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }
