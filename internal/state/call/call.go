// Package call holds the at-most-once calls that this instance runs, and the retry
// budget and latencies by which idempotent calls are retried and hedged.
package call

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxEntries bounds the calls in flight and the results that are not yet
// recorded. An entry holds at most one result, of at most 64 KiB if it is recorded.
const maxEntries = 4096

// Key names one at-most-once call.
type Key struct {
	Organisation   model.OrganisationID
	Service        string
	IdempotencyKey string
}

// Phase is the progress of a call on this instance.
type Phase int

// Phases. A call moves from claiming to sending or cancelled, and from sending to
// cancelled or ended.
const (
	PhaseClaiming  Phase = iota // not yet handed to the sender
	PhaseSending                // handed to the sender, which has not returned
	PhaseCancelled              // no byte was sent, and the call is never sent
	PhaseEnded                  // the result is known but may not be recorded yet
)

// Response is a plain service's answer.
type Response struct {
	Status   int
	Header   map[string][]string
	Body     []byte
	Upstream model.UpstreamID // empty for a replayed response
	Replayed bool             // read from the stored record of an earlier run
}

// Result is the result of a call: a response, or a refusal.
type Result struct {
	Response Response
	Refusal  *model.Refusal
}

// Waiter is a request that waits for a call's result.
type Waiter struct {
	Request model.RequestID
	Deliver func(Result)
}

// entry is one call of this instance.
type entry struct {
	nonce    string
	bodyHash string
	phase    Phase
	result   Result
	waiters  []Waiter
}

// JoinResult is the result of Join.
type JoinResult int

// Results of Join.
const (
	JoinStarted   JoinResult = iota // a new entry: the caller runs the call
	JoinWaiting                     // added to the waiters of the running call
	JoinEnded                       // the call has ended with the returned result
	JoinCancelled                   // the last run was cancelled, and its claim is being released
	JoinMismatch                    // the key belongs to a different request body
	JoinFull                        // the table is full
)

// Table maps keys to calls. mu has lock.RankCall and guards entries.
//
// Invariants: at most one entry, and so one nonce, exists for a key at a time; a
// cancelled entry never moves to PhaseSending; each waiter is returned once.
type Table struct {
	mu      lock.Mutex
	entries map[Key]*entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankCall), entries: map[Key]*entry{}}
}

// Join starts a call under the nonce, or adds w to the waiters of the running call
// of the same key.
func (t *Table) Join(key Key, nonce, bodyHash string, w Waiter) (JoinResult, Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return t.start(key, nonce, bodyHash, w), Result{}
	}
	if e.bodyHash != bodyHash {
		return JoinMismatch, Result{}
	}
	switch e.phase {
	case PhaseEnded:
		return JoinEnded, e.result
	case PhaseCancelled:
		return JoinCancelled, Result{}
	default:
		e.waiters = append(e.waiters, w)
		return JoinWaiting, Result{}
	}
}

// start inserts an entry. The caller holds mu.
func (t *Table) start(key Key, nonce, bodyHash string, w Waiter) JoinResult {
	if len(t.entries) >= maxEntries {
		return JoinFull
	}
	t.entries[key] = &entry{nonce: nonce, bodyHash: bodyHash, waiters: []Waiter{w}}
	return JoinStarted
}

// BeginSending moves a call from PhaseClaiming to PhaseSending. It returns false if the
// call is in another phase, for example cancelled.
func (t *Table) BeginSending(key Key, nonce string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key, nonce)
	if e == nil || e.phase != PhaseClaiming {
		return false
	}
	e.phase = PhaseSending
	return true
}

// Cancel cancels a call in the given phase, so that it is never sent, and returns
// its waiters. It returns false if the call is in another phase.
func (t *Table) Cancel(key Key, nonce string, from Phase) ([]Waiter, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key, nonce)
	if e == nil || e.phase != from {
		return nil, false
	}
	e.phase = PhaseCancelled
	return e.takeWaiters(), true
}

// End stores the result and returns the waiters.
func (t *Table) End(key Key, nonce string, result Result) []Waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key, nonce)
	if e == nil {
		return nil
	}
	e.phase = PhaseEnded
	e.result = result
	return e.takeWaiters()
}

// RemoveWaiter removes a waiter whose request has ended. It returns false if the waiter
// was already returned for delivery of the result.
func (t *Table) RemoveWaiter(key Key, request model.RequestID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return false
	}
	before := len(e.waiters)
	e.waiters = slices.DeleteFunc(e.waiters, func(w Waiter) bool { return w.Request == request })
	return len(e.waiters) < before
}

// Remove deletes the call. It is called once the call's row in the platform's
// table is final, or once the call need not be kept any longer.
func (t *Table) Remove(key Key, nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.find(key, nonce) != nil {
		delete(t.entries, key)
	}
}

// Len returns the number of calls.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// find returns the entry of the nonce, or nil. The caller holds mu.
func (t *Table) find(key Key, nonce string) *entry {
	e, ok := t.entries[key]
	if !ok || e.nonce != nonce {
		return nil
	}
	return e
}

func (e *entry) takeWaiters() []Waiter {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}
