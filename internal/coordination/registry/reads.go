package registry

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
)

// Rules and entries are read in two loops. While the store is out of reach, both wait for
// the same thing, so their reads share one pace, and the first one that succeeds restarts
// the other loop: it may wait for its next read, or for an answer on a connection on which
// nothing will arrive any more.

// retryInterval is the time between the beginnings of two reads of a store that fails. A
// silent read ends before the next one begins, and rules are in force within a second of
// the return of the store.
const retryInterval = SilenceLimit + 100*time.Millisecond

// readPace spaces out the reads of a store that fails. mu guards next and is a leaf: no
// other lock is taken under it.
type readPace struct {
	mu   sync.Mutex
	next time.Time // from when on the next read may begin
}

// begin records that a read begins.
func (p *readPace) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := now.Add(retryInterval); next.After(p.next) {
		p.next = next
	}
}

// reserve returns the pause before a read that repeats a failed one. No other read is
// repeated within retryInterval of it.
func (p *readPace) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	pause := p.next.Sub(now)
	p.next = p.next.Add(retryInterval)
	return pause
}

// readLoop runs the reads of one table one after another, under one key of the worker pool.
// Its fields are used only by items under that key.
type readLoop struct {
	pool   *worker.Pool
	key    worker.Key
	step   uint64             // counts steps; the results of earlier ones are ignored
	timer  *worker.Timer      // of the step that waits
	began  time.Time          // of the read of the store that runs; zero if none does
	cancel context.CancelFunc // ends the call that runs
}

// enter ends the current step and returns the number of the next one.
func (l *readLoop) enter() uint64 {
	l.timer.Stop()
	if l.cancel != nil {
		l.cancel()
	}
	l.timer, l.cancel, l.began = nil, nil, time.Time{}
	l.step++
	return l.step
}

// after makes next the current step once the pause has passed.
func (l *readLoop) after(pause time.Duration, next func()) {
	step := l.enter()
	l.timer = l.pool.After(pause, l.key, worker.Func(func() {
		if l.step == step {
			next()
		}
	}))
}

// runCall makes a call in a step of the loop. done gets its result unless the loop has been
// restarted meanwhile.
func runCall[T any](l *readLoop, timeout time.Duration, call func(context.Context) (T, error), done func(T, error)) {
	step := l.enter()
	restarted, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	cancellable := func(ctx context.Context) (T, error) {
		ctx, end := context.WithCancel(ctx)
		defer end()
		defer context.AfterFunc(restarted, end)()
		return call(ctx)
	}
	worker.Call(l.pool, l.key, timeout, cancellable, func(got T, err error) {
		if l.step == step {
			done(got, err)
		}
	})
}

// readStore is runCall for a read of the store.
func readStore[T any](m *Manager, l *readLoop, timeout time.Duration, call func(context.Context) (T, error), done func(T, error)) {
	now := time.Now()
	m.pace.begin(now)
	runCall(l, timeout, call, done)
	l.began = now
}

// overdue reports whether the loop is to be restarted since the store has answered a read
// that began at the given time: it reads since before then, or waits after a failed read.
func (l *readLoop) overdue(answered time.Time, failing bool) bool {
	if !l.began.IsZero() {
		return l.began.Before(answered)
	}
	return failing && l.waits()
}

// waits reports whether the loop waits for its next step.
func (l *readLoop) waits() bool { return l.timer != nil }

// restartRules reads the rules at once if their loop is overdue.
func (m *Manager) restartRules(answered time.Time) {
	m.opts.Pool.Post(keyRules, worker.Func(func() {
		if m.rulesLoop.overdue(answered, !m.rulesOutage.failedSince.IsZero()) {
			m.readRules(0)
		}
	}))
}

// restartEntries reads the entries at once if their loop is overdue.
func (m *Manager) restartEntries(answered time.Time) {
	m.opts.Pool.Post(keyEntries, worker.Func(func() {
		if m.entriesLoop.overdue(answered, !m.entries.failedSince.IsZero()) {
			m.readEntries()
		}
	}))
}
