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

// Limits of held copies.
const (
	// DefaultMaxCopyBytes bounds the copies that one instance holds: about
	// 1,000 logs of 4,000 tokens with prompts of 30 kB.
	DefaultMaxCopyBytes = 64 << 20
	openExpiry          = 10 * time.Minute // after the last append
	closedExpiry        = time.Minute      // after the end
	sweepInterval       = 10 * time.Second
	// tokenOverhead is the memory of a token besides its bytes: the string's
	// header.
	tokenOverhead = 16
)

// HolderOptions are the parts that a Holder works with.
type HolderOptions struct {
	Pool     *worker.Pool
	MaxBytes int // zero means DefaultMaxCopyBytes
}

// Holder keeps copies of other instances' logs. Each line of a request has a
// copy of its own, so two takeovers of a request never mix. The Handle
// methods are called by network goroutines and wait for a worker.
type Holder struct {
	pool     *worker.Pool
	copies   *generation.Table // Spec.Request is the copyID of a record
	holdings *replica.HoldingTable
}

// NewHolder returns a holder without copies and starts its expiry.
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

// HandleFetch returns the longest copy that holds the position, or else the
// longest copy of that line.
func (h *Holder) HandleFetch(ctx context.Context, m Fetch) (Copy, error) {
	return worker.Do(ctx, h.pool, copyKey(m.Request), func() Copy { return h.fetch(m) })
}

// copyKey keeps the items of copies apart from those of own generations.
func copyKey(id model.RequestID) worker.Key {
	return worker.Key("copy/" + id)
}

// copyID is the key of one line's copy.
func copyID(id model.RequestID, line model.LineID) model.RequestID {
	return id + "/" + model.RequestID(line)
}

func (h *Holder) open(m Open) Ack {
	id, line := m.Header.Spec.Request, m.Header.Line
	key := copyID(id, line)
	r, known := h.copies.Get(key)
	if !known {
		r = h.seed(record(key, m), id)
	}
	held := replica.Holding{
		Request: id,
		Line:    line,
		Owner:   m.Header.Owner,
		Bytes:   size(m.Header.Spec.Prompt, r.Tokens),
		Expires: time.Now().Add(openExpiry),
	}
	if !h.reserve(held) {
		return Ack{Refused: true}
	}
	if !known {
		h.copies.Insert(r)
		return Ack{Known: true, Held: len(r.Tokens)}
	}
	h.copies.Update(key, func(r *generation.Record) {
		if m.Attempt.Number > r.Attempt.Number {
			r.Attempt = m.Attempt
		}
	})
	return Ack{Known: true, Held: len(r.Tokens)}
}

func record(key model.RequestID, m Open) generation.Record {
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

// seed takes the tokens that a forked line shares with a copy of its parent,
// so that the owner need not send them again. Their strings are shared.
func (h *Holder) seed(r generation.Record, id model.RequestID) generation.Record {
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
	held, listed := h.holdings.Get(m.Request, m.Line)
	if !ok || !listed {
		return Ack{}
	}
	fresh := unseen(len(r.Tokens), m.First, m.Tokens)
	held.Bytes += size("", fresh)
	held.Expires = time.Now().Add(openExpiry)
	if held.Closed {
		held.Expires = time.Now().Add(closedExpiry)
	}
	if !h.reserve(held) {
		return Ack{Known: true, Refused: true, Held: len(r.Tokens)}
	}
	total := len(r.Tokens) + len(fresh)
	h.copies.Update(r.Spec.Request, func(r *generation.Record) {
		r.Tokens = append(r.Tokens, fresh...)
		if m.Attempt != nil && m.Attempt.Number > r.Attempt.Number {
			r.Attempt = *m.Attempt
		}
	})
	return Ack{Known: true, Held: total}
}

// unseen returns the part of a batch that follows the held tokens: nothing of
// a repeat, and nothing of a batch that leaves a gap.
func unseen(held, first int, tokens []string) []string {
	skip := held - first
	if skip < 0 || skip >= len(tokens) {
		return nil
	}
	return tokens[skip:]
}

func (h *Holder) close(m Close) Ack {
	if m.Drop {
		h.drop(m.Request, m.Line)
		return Ack{}
	}
	ack := h.append(Append{Request: m.Request, Line: m.Line, First: m.First, Tokens: m.Tokens})
	if !ack.Known || ack.Refused || ack.Held != m.First+len(m.Tokens) {
		return ack
	}
	h.copies.Update(copyID(m.Request, m.Line), func(r *generation.Record) { r.End = m.End })
	if held, ok := h.holdings.Get(m.Request, m.Line); ok {
		held.Closed = true
		held.Expires = time.Now().Add(closedExpiry)
		h.holdings.Put(held)
	}
	return ack
}

func (h *Holder) fetch(m Fetch) Copy {
	var best Copy
	for _, held := range h.holdings.Lines(m.Request) {
		r, ok := h.copies.Get(copyID(m.Request, held.Line))
		if !ok {
			continue
		}
		if c := copyOf(r, held); better(c, best, m) {
			best = c
		}
	}
	return best
}

func copyOf(r generation.Record, held replica.Holding) Copy {
	spec := r.Spec
	spec.Request = held.Request
	return Copy{
		Found: true,
		Header: Header{
			Owner:   held.Owner,
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

// reserve stores a holding and drops closed copies, oldest first, to make
// room for it.
func (h *Holder) reserve(held replica.Holding) bool {
	for !h.holdings.Put(held) {
		oldest, ok := h.holdings.OldestClosed()
		if !ok || (oldest.Request == held.Request && oldest.Line == held.Line) {
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

// sweep drops expired copies, each under its own key.
func (h *Holder) sweep() {
	for _, held := range h.holdings.Expired(time.Now()) {
		h.pool.Post(copyKey(held.Request), worker.Func(func() {
			now, ok := h.holdings.Get(held.Request, held.Line)
			if ok && !time.Now().Before(now.Expires) {
				h.drop(held.Request, held.Line)
			}
		}))
	}
	h.scheduleSweep()
}

func size(prompt string, tokens []string) int {
	n := len(prompt) + len(tokens)*tokenOverhead
	for _, t := range tokens {
		n += len(t)
	}
	return n
}
