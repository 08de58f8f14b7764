package engine

import (
	"container/heap"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
)

// readResult is what a connection has to send next.
type readResult struct {
	tokens   []string
	position int    // of tokens[0]
	total    int    // number of tokens of the stream so far, with continued ones
	finish   string // reason for which the stream finished
	finished bool   // the stream produces no token after tokens
	aborted  bool   // the stream was cancelled or lost
	notice   *engineapi.LeavingNotice
}

// add accepts a stream with one reader. An error is an apiError.
func (b *batch) add(s *stream, now time.Time) (*reader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.dead:
		return nil, errDead
	case b.closed:
		return nil, errLeft
	case b.streams[s.id] != nil:
		return nil, errStreamExists
	case len(b.waiting) >= b.maxWaiting:
		return nil, errOverloaded
	}
	b.arrivals++
	s.arrival = b.arrivals
	b.streams[s.id] = s
	heap.Push(&b.waiting, s)
	b.stats.Streams++
	if !b.leaveAt.IsZero() {
		b.stats.AfterLeaving++
	}
	b.recordLoad(now)
	return b.newReader(s, len(s.tokens)), nil
}

// attach adds a reader to a stream that has not expired. after is the position of
// the first token to send.
func (b *batch) attach(id string, after int) (*reader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil {
		return nil, errNoStream
	}
	b.stats.Attached++
	return b.newReader(s, after), nil
}

func (b *batch) newReader(s *stream, next int) *reader {
	r := &reader{stream: s, next: next, wake: make(chan struct{}, 1)}
	s.readers[r] = struct{}{}
	s.expiresAt = time.Time{}
	return r
}

// detach removes a reader. A stream without readers expires after the grace
// time.
func (b *batch) detach(r *reader, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(r.stream.readers, r)
	if len(r.stream.readers) == 0 {
		r.stream.expiresAt = now.Add(b.grace)
	}
}

// read returns what a reader has to send and moves the reader past it.
func (b *batch) read(r *reader, now time.Time) readResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := r.stream
	got := readResult{position: r.next, total: len(s.tokens), finish: s.finishReason}
	got.aborted = b.dead || s.phase == phaseAborted
	got.finished = s.phase == phaseFinished
	if r.next < len(s.tokens) {
		got.tokens = slices.Clone(s.tokens[r.next:])
		r.next = len(s.tokens)
	}
	if !b.leaveAt.IsZero() && !r.noticeSent {
		r.noticeSent = true
		got.notice = &engineapi.LeavingNotice{DeadlineMS: max(0, b.leaveAt.Sub(now).Milliseconds())}
	}
	return got
}

// cancel ends a stream and reports whether it existed.
func (b *batch) cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil {
		return false
	}
	if s.phase != phaseFinished {
		b.stats.Cancelled++
	}
	b.removeStream(s)
	return true
}

// otherStreamToken returns the last token of a running stream other than the given
// one, for the fault that sends a chunk of the wrong stream.
func (b *batch) otherStreamToken(than string) (id, token string, position int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if last := len(s.tokens) - 1; s.id != than && last >= 0 {
			return s.id, s.tokens[last], last, true
		}
	}
	return "", "", 0, false
}

// leave sets the deadline after which streams are cut. It reports false if the
// engine was killed or a deadline is already set; the first deadline stays.
func (b *batch) leave(deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead || !b.leaveAt.IsZero() {
		return false
	}
	b.leaveAt = deadline
	for _, s := range b.streams {
		s.signalReaders()
	}
	return true
}

// close cuts all streams and refuses new ones. It reports false, and changes
// nothing, if the engine was restarted and the incarnation is an earlier one.
func (b *batch) close(incarnation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != incarnation {
		return false
	}
	b.closed = true
	b.cutStreams()
	return true
}

// kill cuts all streams and discards all state except the counts.
func (b *batch) kill(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = true
	b.cutStreams()
	b.cache = newPrefixCache(b.cacheBlocks)
	b.cacheLog.events = nil
	b.cacheLog.sequence = 0
	b.load = newLoadHistory(b.load.lag, now)
	b.leaveAt = time.Time{}
}

// restart lets a killed engine serve again as a new incarnation.
func (b *batch) restart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = false
	b.closed = false
	b.incarnation = max(b.incarnation+1, uint64(now.UnixNano()))
}

// cutStreams cuts all streams, including finished streams that were not sent
// completely.
func (b *batch) cutStreams() {
	for _, s := range b.streams {
		b.removeStream(s)
		s.phase = phaseAborted
	}
}

// clearCache evicts all blocks, as loading a model does.
func (b *batch) clearCache(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for block := range b.cache.blocks {
		b.cacheLog.add(block, true, now)
	}
	b.cache = newPrefixCache(b.cacheBlocks)
}

// updateStats calls update with the counts under the lock. update must not call
// other components.
func (b *batch) updateStats(update func(*Stats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update(&b.stats)
}

func (b *batch) statsSnapshot() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats.clone()
}

func (b *batch) cacheEvents(after uint64, now time.Time) []engineapi.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cacheLog.after(after, now)
}

// status is the state of the engine that its handlers report.
type status struct {
	incarnation uint64
	dead        bool
	leaving     bool
	load        int // number of streams that run or wait now
	reported    loadSample
}

func (b *batch) status(now time.Time) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return status{
		incarnation: b.incarnation,
		dead:        b.dead,
		leaving:     !b.leaveAt.IsZero(),
		load:        len(b.running) + len(b.waiting),
		reported:    b.load.reported(now),
	}
}
