// Package worker runs work items on a fixed pool of workers.
//
// Items of one key run in the order in which they were posted and never at
// the same time; items of different keys run in parallel. An item must not
// block: network calls go through Call, which posts the result as an item.
package worker

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

const (
	workersPerCore = 2
	// maxBatch is the maximum number of items of one key that a worker runs
	// before it serves the next key, so that a busy key does not delay the others.
	maxBatch = 16
)

// Key identifies a sequence of items, which run one after another.
type Key string

// Item is one unit of work.
type Item interface {
	Run()
}

// Func adapts a function to an Item.
type Func func()

// Run implements Item.
func (f Func) Run() { f() }

// mailbox holds the waiting items of one key.
type mailbox struct {
	key   Key
	items []Item
}

// Options configure a Pool.
type Options struct {
	Workers int // zero means two for each core
}

// Pool is a fixed pool of workers. mu guards mailboxes, ready, timers and closed;
// its rank in the lock order is lock.RankPool.
//
// Invariant: a mailbox is in mailboxes if it has waiting items or a worker runs
// one of its items; it is in ready if it has waiting items and none runs.
type Pool struct {
	mu         lock.Mutex
	wake       *sync.Cond
	mailboxes  map[Key]*mailbox
	ready      []*mailbox
	timers     timerQueue
	rearm      chan struct{}
	closed     bool
	done       chan struct{}
	goroutines sync.WaitGroup
	calls      sync.WaitGroup
}

// NewPool starts the workers.
func NewPool(opts Options) *Pool {
	n := opts.Workers
	if n == 0 {
		n = workersPerCore * runtime.GOMAXPROCS(0)
	}
	p := &Pool{
		mu:        lock.New(lock.RankPool),
		mailboxes: map[Key]*mailbox{},
		rearm:     make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	p.wake = sync.NewCond(&p.mu)
	for range n {
		p.goroutines.Go(p.work)
	}
	p.goroutines.Go(p.runTimers)
	return p
}

// Post adds an item. Items posted after Close are dropped.
func (p *Pool) Post(key Key, item Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	box, ok := p.mailboxes[key]
	if !ok {
		box = &mailbox{key: key}
		p.mailboxes[key] = box
		p.ready = append(p.ready, box)
		p.wake.Signal()
	}
	box.items = append(box.items, item)
}

// Close stops the workers after their current batches and waits for them and
// for the calls in flight, whose contexts it cancels.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
		p.wake.Broadcast()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
	p.calls.Wait()
}

func (p *Pool) work() {
	for {
		box, items := p.takeBatch()
		if box == nil {
			return
		}
		for _, item := range items {
			item.Run()
		}
		p.release(box)
	}
}

// takeBatch waits for a ready mailbox and removes up to maxBatch of its items.
func (p *Pool) takeBatch() (*mailbox, []Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.ready) == 0 && !p.closed {
		p.wake.Wait()
	}
	if p.closed {
		return nil, nil
	}
	box := p.ready[0]
	p.ready = p.ready[1:]
	n := min(len(box.items), maxBatch)
	items := box.items[:n:n]
	box.items = box.items[n:]
	return box, items
}

// release makes the mailbox ready again or drops it when it is empty.
func (p *Pool) release(box *mailbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(box.items) == 0 {
		delete(p.mailboxes, box.key)
		return
	}
	p.ready = append(p.ready, box)
	p.wake.Signal()
}

// Call runs a blocking network call in a goroutine of its own, outside the
// workers, and posts its result to then as an item of the key. After Close, it
// does nothing.
func Call[T any](p *Pool, key Key, timeout time.Duration, call func(context.Context) (T, error), then func(T, error)) {
	if !p.startCall() {
		return
	}
	go func() {
		defer p.calls.Done()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		stop := context.AfterFunc(p.closeContext(), cancel)
		defer stop()
		value, err := call(ctx)
		p.Post(key, Func(func() { then(value, err) }))
	}()
}

// startCall counts a call as in flight and returns true, or returns false if the
// pool is closed.
func (p *Pool) startCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.calls.Add(1)
	return true
}
