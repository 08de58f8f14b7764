package worker

import (
	"container/heap"
	"context"
	"time"
)

// timer is an item with the time at which it is posted.
type timer struct {
	due   time.Time
	key   Key
	item  Item
	index int // position in the heap; -1 once fired or stopped
}

// timerQueue is a min-heap of timers by due time.
type timerQueue []*timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	t := x.(*timer)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = -1
	return t
}

// Timer is a handle to a delayed item.
type Timer struct {
	pool  *Pool
	timer *timer
}

// After posts the item after the delay, unless the timer is stopped before.
func (p *Pool) After(delay time.Duration, key Key, item Item) *Timer {
	t := &timer{due: time.Now().Add(delay), key: key, item: item}
	p.mu.Lock()
	heap.Push(&p.timers, t)
	earliest := t.index == 0
	p.mu.Unlock()
	if earliest {
		p.signalRearm()
	}
	return &Timer{pool: p, timer: t}
}

// Stop cancels the timer. An item that was already posted still runs. Stop of
// a nil timer does nothing.
func (t *Timer) Stop() {
	if t == nil {
		return
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.timer.index >= 0 {
		heap.Remove(&t.pool.timers, t.timer.index)
	}
}

func (p *Pool) signalRearm() {
	select {
	case p.rearm <- struct{}{}:
	default:
	}
}

// runTimers posts due items and sleeps until the next one.
func (p *Pool) runTimers() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for {
		clock.Reset(p.fireDue())
		select {
		case <-clock.C:
		case <-p.rearm:
		case <-p.done:
			return
		}
	}
}

// fireDue posts the due items and returns the time until the next one.
func (p *Pool) fireDue() time.Duration {
	const idleWait = time.Hour // any long time, as After rearms the clock
	for {
		due, wait := p.popDue(time.Now())
		if due == nil {
			if wait < 0 {
				return idleWait
			}
			return wait
		}
		p.Post(due.key, due.item)
	}
}

// popDue returns the first due timer, or nil and the time until the next one;
// the time is negative when there is none.
func (p *Pool) popDue(now time.Time) (*timer, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.timers) == 0 {
		return nil, -1
	}
	if wait := p.timers[0].due.Sub(now); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&p.timers).(*timer), 0
}

// closeContext returns a context that ends when the pool closes.
func (p *Pool) closeContext() context.Context {
	return doneContext{Context: context.Background(), done: p.done}
}

// doneContext is a context that ends with a channel.
type doneContext struct {
	context.Context
	done <-chan struct{}
}

// Done implements context.Context.
func (c doneContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c doneContext) Err() error {
	select {
	case <-c.done:
		return context.Canceled
	default:
		return nil
	}
}
