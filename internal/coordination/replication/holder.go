package replication

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/replica"
)

// Limits of copies.
const (
	// DefaultMaxCopyBytes bounds the memory of all copies on one instance. It is
	// enough for about 1,000 logs of 4,000 tokens with prompts of 30 kB.
	DefaultMaxCopyBytes = 64 << 20
	openCopyLifetime    = 10 * time.Minute // after the last append
	closedCopyLifetime  = time.Minute      // after the end
	sweepInterval       = 10 * time.Second
	// tokenOverheadBytes is the memory of a token besides its bytes: the
	// string's header.
	tokenOverheadBytes = 16
)

// HolderOptions holds the settings and dependencies of a Holder.
type HolderOptions struct {
	Pool     *worker.Pool
	MaxBytes int // zero means DefaultMaxCopyBytes
}

// Holder keeps copies of other instances' logs. Each line of a request has a
// copy of its own, so two takeovers of a request never mix. The Handle methods
// are called by network goroutines and wait for a worker.
type Holder struct {
	pool     *worker.Pool
	copies   *generation.Table // Spec.Request of a record holds its copyID
	holdings *replica.HoldingTable
}

// NewHolder returns a holder without copies and starts the periodic removal of
// expired copies.
func NewHolder(opts HolderOptions) *Holder {
	if opts.MaxBytes == 0 {
		opts.MaxBytes = DefaultMaxCopyBytes
	}
	h := &Holder{
		pool:     opts.Pool,
		copies:   generation.NewTable(),
		holdings: replica.NewHoldingTable(opts.MaxBytes),
	}
	h.scheduleSweep()
	return h
}

// Bytes returns the size of the copies.
func (h *Holder) Bytes() int {
	return h.holdings.Bytes()
}

// HandleOpen stores or renews the header of a copy.
func (h *Holder) HandleOpen(ctx context.Context, m Open) (Ack, error) {
	id := m.Header.Spec.Request
	return worker.Do(ctx, h.pool, copyKey(id), func() Ack { return h.open(m) })
}

// HandleAppend adds tokens to a copy.
func (h *Holder) HandleAppend(ctx context.Context, m Append) (Ack, error) {
	return worker.Do(ctx, h.pool, copyKey(m.Request), func() Ack { return h.append(m) })
}

// HandleClose ends or drops a copy.
func (h *Holder) HandleClose(ctx context.Context, m Close) (Ack, error) {
	return worker.Do(ctx, h.pool, copyKey(m.Request), func() Ack { return h.close(m) })
}

// HandleFetch returns the copy that best serves the request, see Copy.fit and
// isBetterCopy. The result has Found false if no line of the request has a
// copy.
func (h *Holder) HandleFetch(ctx context.Context, m Fetch) (Copy, error) {
	return worker.Do(ctx, h.pool, copyKey(m.Request), func() Copy { return h.fetch(m) })
}

// copyKey returns the worker key for the copies of a request. It differs from
// the key for a generation that this instance owns.
func copyKey(id model.RequestID) worker.Key {
	return worker.Key("copy/" + id)
}

// copyID returns the key of one line's copy.
func copyID(id model.RequestID, line model.LineID) model.RequestID {
	return id + "/" + model.RequestID(line)
}

func (h *Holder) open(m Open) Ack {
	id, line := m.Header.Spec.Request, m.Header.Line
	key := copyID(id, line)
	r, exists := h.copies.Get(key)
	if !exists {
		r = h.copyParentTokens(newCopyRecord(key, m), id)
	}
	holding := replica.Holding{
		Request: id,
		Line:    line,
		Owner:   m.Header.Owner,
		Bytes:   memoryBytes(m.Header.Spec.Prompt, r.Tokens),
		Expires: time.Now().Add(openCopyLifetime),
	}
	if !h.reserve(holding) {
		return Ack{Refused: true}
	}
	if !exists {
		h.copies.Insert(r)
		return Ack{Exists: true, HeldTokens: len(r.Tokens)}
	}
	h.copies.Update(key, func(r *generation.Record) {
		if m.Attempt.Number > r.Attempt.Number {
			r.Attempt = m.Attempt
		}
	})
	return Ack{Exists: true, HeldTokens: len(r.Tokens)}
}

func newCopyRecord(key model.RequestID, m Open) generation.Record {
	r := generation.Record{
		Spec:    m.Header.Spec,
		Line:    m.Header.Line,
		Forks:   m.Header.Forks,
		Attempt: m.Attempt,
		Resumes: m.Header.Resumes,
		Created: m.Header.Created,
	}
	r.Spec.Request = key
	return r
}

// copyParentTokens fills the copy of a forked line with the tokens that it
// shares with a copy of its parent line, so that the owner need not send them
// again. Both copies share the strings.
func (h *Holder) copyParentTokens(r generation.Record, id model.RequestID) generation.Record {
	if len(r.Forks) == 0 {
		return r
	}
	parent, ok := h.copies.Get(copyID(id, r.Forks[0].Line))
	if ok && len(parent.Tokens) >= r.Forks[0].Position {
		r.Tokens = slices.Clone(parent.Tokens[:r.Forks[0].Position])
	}
	return r
}

func (h *Holder) append(m Append) Ack {
	r, ok := h.copies.Get(copyID(m.Request, m.Line))
	holding, hasHolding := h.holdings.Get(m.Request, m.Line)
	if !ok || !hasHolding {
		return Ack{}
	}
	added := newTokens(len(r.Tokens), m.First, m.Tokens)
	holding.Bytes += memoryBytes("", added)
	holding.Expires = time.Now().Add(openCopyLifetime)
	if holding.Closed {
		holding.Expires = time.Now().Add(closedCopyLifetime)
	}
	if !h.reserve(holding) {
		return Ack{Exists: true, Refused: true, HeldTokens: len(r.Tokens)}
	}
	total := len(r.Tokens) + len(added)
	h.copies.Update(r.Spec.Request, func(r *generation.Record) {
		r.Tokens = append(r.Tokens, added...)
		if m.Attempt != nil && m.Attempt.Number > r.Attempt.Number {
			r.Attempt = *m.Attempt
		}
	})
	return Ack{Exists: true, HeldTokens: total}
}

// newTokens returns the tokens of a batch that the copy does not have yet. It
// returns none if the copy has the whole batch, or if there is a gap between
// the held tokens and the batch.
func newTokens(held, first int, tokens []string) []string {
	repeated := held - first
	if repeated < 0 || repeated >= len(tokens) {
		return nil
	}
	return tokens[repeated:]
}

func (h *Holder) close(m Close) Ack {
	if m.Drop {
		h.drop(m.Request, m.Line)
		return Ack{}
	}
	ack := h.append(Append{Request: m.Request, Line: m.Line, First: m.First, Tokens: m.Tokens})
	if !ack.Exists || ack.Refused || ack.HeldTokens != m.First+len(m.Tokens) {
		return ack
	}
	h.copies.Update(copyID(m.Request, m.Line), func(r *generation.Record) { r.End = m.End })
	if holding, ok := h.holdings.Get(m.Request, m.Line); ok {
		holding.Closed = true
		holding.Expires = time.Now().Add(closedCopyLifetime)
		h.holdings.Put(holding)
	}
	return ack
}

func (h *Holder) fetch(m Fetch) Copy {
	var best Copy
	for _, holding := range h.holdings.Lines(m.Request) {
		r, ok := h.copies.Get(copyID(m.Request, holding.Line))
		if !ok {
			continue
		}
		if c := newCopy(r, holding); isBetterCopy(c, best, m) {
			best = c
		}
	}
	return best
}

func newCopy(r generation.Record, holding replica.Holding) Copy {
	spec := r.Spec
	spec.Request = holding.Request
	return Copy{
		Found: true,
		Header: Header{
			Owner:   holding.Owner,
			Spec:    spec,
			Line:    r.Line,
			Forks:   r.Forks,
			Resumes: r.Resumes,
			Created: r.Created,
		},
		Attempt: r.Attempt,
		Tokens:  r.Tokens,
		End:     r.End,
	}
}

// reserve stores a holding. To make room for it, closed copies are dropped,
// the oldest first. It reports false if there is still no room.
func (h *Holder) reserve(holding replica.Holding) bool {
	for !h.holdings.Put(holding) {
		oldest, ok := h.holdings.OldestClosed()
		if !ok || (oldest.Request == holding.Request && oldest.Line == holding.Line) {
			return false
		}
		h.drop(oldest.Request, oldest.Line)
	}
	return true
}

func (h *Holder) drop(id model.RequestID, line model.LineID) {
	h.holdings.Remove(id, line)
	h.copies.Remove(copyID(id, line))
}

func (h *Holder) scheduleSweep() {
	h.pool.After(sweepInterval, "copy-sweep", worker.Func(h.sweep))
}

// sweep drops expired copies, each under its own worker key.
func (h *Holder) sweep() {
	for _, holding := range h.holdings.Expired(time.Now()) {
		h.pool.Post(copyKey(holding.Request), worker.Func(func() {
			current, ok := h.holdings.Get(holding.Request, holding.Line)
			if ok && !time.Now().Before(current.Expires) {
				h.drop(holding.Request, holding.Line)
			}
		}))
	}
	h.scheduleSweep()
}

func memoryBytes(prompt string, tokens []string) int {
	n := len(prompt) + len(tokens)*tokenOverheadBytes
	for _, t := range tokens {
		n += len(t)
	}
	return n
}
