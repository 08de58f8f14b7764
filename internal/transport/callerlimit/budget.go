// Package callerlimit bounds what callers can make a process keep: the memory of heads,
// bodies and answers that wait for slow readers, and the number of connections. Callers
// are not trusted; any number of them may send anything.
package callerlimit

import (
	"sync"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
)

// Use is what memory of a Budget is used for.
type Use int

// Uses of memory.
const (
	Head   Use = iota // a request whose head is being read or whose answer is not written yet
	Body              // a request's body, while it arrives and while it is kept for resends
	Answer            // an answer that is read from an upstream or waits for its caller to read it
	uses
)

// shares are the parts of the budget, in eighths, up to which each use may fill it; that of
// heads holds for heads and bodies together. Heads and bodies leave a quarter to answers,
// because a request that has run needs memory for its answer. Answers leave a quarter to
// requests: on the smallest instances that is a body of 4 MiB beside slow readers, and the
// share of bodies is three of them.
var shares = [uses]int64{Head: 6, Body: 5, Answer: 6}

// commonAnswerBytes is the memory that answers of more than answerlimit.CommonBytes leave to
// common ones. Beside it an answer of 16 MiB fits on the smallest instances.
const commonAnswerBytes = 1 << 20

// Budget bounds the memory of all uses together. It is safe for concurrent use. mu is a
// leaf lock.
type Budget struct {
	limit int64 // in bytes; zero means no bound

	mu   sync.Mutex
	used [uses]int64
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
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit != 0 && !b.fits(use, n) {
		return false
	}
	b.used[use] += n
	return true
}

// fits reports whether n more bytes are inside the limits. mu is held.
func (b *Budget) fits(use Use, n int64) bool {
	requests := b.used[Head] + b.used[Body]
	switch {
	case requests+b.used[Answer]+n > b.limit, b.used[use]+n > b.share(use):
		return false
	default:
		return use == Answer || requests+n <= b.share(Head)
	}
}

func (b *Budget) share(use Use) int64 { return b.limit / 8 * shares[use] }

// Release gives n bytes of the use back.
func (b *Budget) Release(use Use, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[use] -= n
}

// ReserveAnswer takes n more bytes for an answer that holds some already. It implements
// answerlimit.Memory.
func (b *Budget) ReserveAnswer(n, held int64) bool {
	if held+n <= answerlimit.CommonBytes {
		return b.Reserve(Answer, n)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit != 0 && (!b.fits(Answer, n) || b.used[Answer]+n > b.share(Answer)-commonAnswerBytes) {
		return false
	}
	b.used[Answer] += n
	return true
}

// ReleaseAnswer gives n bytes of answers back. It implements answerlimit.Memory.
func (b *Budget) ReleaseAnswer(n int64) { b.Release(Answer, n) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Head] + b.used[Body] + b.used[Answer]
}
