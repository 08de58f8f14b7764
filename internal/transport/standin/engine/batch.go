package engine

import (
	"container/heap"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// stepParams holds the time, speeds and faults for a step of the batch.
type stepParams struct {
	now         time.Time
	tokenTime   time.Duration
	prefillRate float64 // prompt bytes/s
	faults      Faults
}

// batch holds the streams and all state that a step changes. mu has
// standin.RankData and guards the other fields and the streams.
//
// Invariants: waiting holds exactly the streams in phaseWaiting and running
// those in phaseRunning; running has at most slots streams; streams holds all
// streams that a connection can attach to.
type batch struct {
	mu          lock.Mutex
	slots       int
	maxWaiting  int // capacity of waiting
	grace       time.Duration
	cacheBlocks int // capacity of cache

	streams    map[string]*stream
	waiting    waitQueue
	running    []*stream
	cache      *prefixCache
	cacheLog   cacheLog
	load       loadHistory
	stats      Stats
	arrivals   uint64    // number of accepted streams
	nextStepAt time.Time // earliest time of the next step

	incarnation uint64
	dead        bool      // killed and not restarted
	closed      bool      // the deadline of the leaving notice has passed
	leaveAt     time.Time // deadline of the leaving notice; zero means not leaving
}

func newBatch(opts Options, dropEvent func() bool, now time.Time) *batch {
	return &batch{
		mu:          lock.New(standin.RankData),
		slots:       opts.Slots,
		maxWaiting:  opts.MaxWaiting,
		grace:       opts.Grace,
		cacheBlocks: opts.CacheBlocks,
		streams:     map[string]*stream{},
		cache:       newPrefixCache(opts.CacheBlocks),
		cacheLog:    cacheLog{delay: opts.CacheEventDelay, dropEvent: dropEvent},
		load:        newLoadHistory(opts.LoadLag, now),
		stats:       Stats{PromptRuns: map[string]int64{}},
		incarnation: uint64(now.UnixNano()),
	}
}

// advance does the work that is due: it removes expired streams, assigns free slots
// and produces one token for each stream whose prefill is done. It returns the time
// of the next call, zero if no call is needed before a change, and whether the
// engine crashes.
func (b *batch) advance(p stepParams) (due time.Time, crash bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(p.now)
	b.fillSlots(p)
	if !p.faults.Freeze && !p.now.Before(b.nextStepAt) {
		if b.step(p) {
			return time.Time{}, true
		}
		b.fillSlots(p)
	}
	b.recordLoad(p.now)
	return b.nextDue(p), false
}

// expire removes streams that had no reader for the grace time.
func (b *batch) expire(now time.Time) {
	for _, s := range b.streams {
		if s.expiresAt.IsZero() || s.expiresAt.After(now) {
			continue
		}
		if s.phase != phaseFinished {
			b.stats.Expired++
		}
		b.removeStream(s)
	}
}

// removeStream removes a stream from the batch and wakes its readers. Unless the
// stream has finished, it is aborted.
func (b *batch) removeStream(s *stream) {
	delete(b.streams, s.id)
	if i := slices.Index(b.waiting, s); i >= 0 {
		heap.Remove(&b.waiting, i)
	}
	b.running = slices.DeleteFunc(b.running, func(r *stream) bool { return r == s })
	if s.phase != phaseFinished {
		s.phase = phaseAborted
	}
	s.signalReaders()
}

// fillSlots assigns free slots to waiting streams, in the order of the queue.
func (b *batch) fillSlots(p stepParams) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*stream)
		slow := p.faults.slowdown(len(b.running) + len(b.waiting) + 1)
		s.phase = phaseRunning
		s.readyAt = p.now.Add(time.Duration(slow * b.prefill(s, p) * float64(time.Second)))
		b.running = append(b.running, s)
		b.stats.countRun(s.request.Prompt)
	}
}

// prefill returns the seconds that the prefill of a stream takes, and adds its
// blocks to the cache.
func (b *batch) prefill(s *stream, p stepParams) float64 {
	input := s.input()
	blocks := PrefixBlocks(input)
	cached := b.cache.cached(blocks) * BlockBytes
	b.cache.use(blocks, &b.cacheLog, p.now)
	b.stats.CachedBytes += int64(cached)
	b.stats.PrefillBytes += int64(len(input) - cached)
	return float64(len(input)-cached) / p.prefillRate
}

// step produces one token for each stream whose prefill is done. It reports
// whether the engine crashes.
func (b *batch) step(p stepParams) (crash bool) {
	produced := false
	slow := p.faults.slowdown(len(b.running) + len(b.waiting))
	for _, s := range b.running {
		if s.readyAt.After(p.now) {
			continue
		}
		if s.crashesNext(p.faults.CrashMarker, p.faults.CrashAt) {
			return true
		}
		if s.produce() {
			b.stats.Tokens++
		}
		produced = true
		s.signalReaders()
	}
	if !produced {
		return false
	}
	b.running = slices.DeleteFunc(b.running, func(s *stream) bool { return s.phase == phaseFinished })
	b.nextStepAt = nextStep(b.nextStepAt, p.now, time.Duration(slow*float64(p.tokenTime)))
	return false
}

// nextStep returns the time of the next step. A step that ran less than one
// interval late does not delay the following steps; after a longer pause the
// schedule starts again from now.
func nextStep(last, now time.Time, interval time.Duration) time.Time {
	if now.Sub(last) < interval {
		return last.Add(interval)
	}
	return now.Add(interval)
}

// nextDue returns the time of the next step or expiry, zero if none is due.
func (b *batch) nextDue(p stepParams) time.Time {
	var due time.Time
	sooner := func(at time.Time) {
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	for _, s := range b.streams {
		if !s.expiresAt.IsZero() {
			sooner(s.expiresAt)
		}
	}
	if p.faults.Freeze {
		return due
	}
	for _, s := range b.running {
		if s.readyAt.After(b.nextStepAt) {
			sooner(s.readyAt)
		} else {
			sooner(b.nextStepAt)
		}
	}
	return due
}

func (b *batch) recordLoad(now time.Time) {
	b.load.record(loadSample{at: now, running: len(b.running), waiting: len(b.waiting)})
}
