// Package call holds the at-most-once calls that this instance runs, and the
// figures by which idempotent calls are retried and hedged.
package call

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxEntries bounds the calls in flight and the results that are not yet
// recorded. An entry holds at most one recorded result of 64 KiB.
const maxEntries = 4096

// Key names one at-most-once call.
type Key struct {
	Organisation   model.OrganisationID
	Service        string
	IdempotencyKey string
}

// Phase is the progress of a call on this instance.
type Phase int

// Phases. A call moves from PhaseClaiming to PhaseSending or PhaseBarred, and
// from PhaseSending to PhaseBarred or PhaseEnded.
const (
	PhaseClaiming Phase = iota // not handed to the sender
	PhaseSending               // handed to the sender, which has not returned
	PhaseBarred                // no byte was sent, and the call is never sent
	PhaseEnded                 // the result is known but perhaps not recorded
)

// Response is a plain service's answer.
type Response struct {
	Status   int
	Header   map[string][]string
	Body     []byte
	Upstream model.UpstreamID // empty for a replayed response
	Replayed bool             // read from the record of an earlier run
}

// Result is the end of a call: a response, or a refusal.
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

// Joined says what Join did.
type Joined int

// Answers of Join.
const (
	JoinStarted  Joined = iota // a new entry: the caller runs the call
	JoinWaiting                // added to the waiters of the running call
	JoinEnded                  // the call has ended with the returned result
	JoinBarred                 // the last run was barred and is being released
	JoinMismatch               // the key belongs to a different request body
	JoinFull                   // the table is full
)

// Table maps keys to calls. mu has lock.RankCall and guards entries.
//
// Invariants: one entry, and so one nonce, exists for a key at a time; a
// barred entry never returns to PhaseSending; each waiter is handed out once.
type Table struct {
	mu      lock.Mutex
	entries map[Key]*entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankCall), entries: map[Key]*entry{}}
}

// Join starts a call under the nonce, or waits for the one that runs.
func (t *Table) Join(key Key, nonce, bodyHash string, w Waiter) (Joined, Result) {
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
	case PhaseBarred:
		return JoinBarred, Result{}
	default:
		e.waiters = append(e.waiters, w)
		return JoinWaiting, Result{}
	}
}

// start inserts an entry. The caller holds mu.
func (t *Table) start(key Key, nonce, bodyHash string, w Waiter) Joined {
	if len(t.entries) >= maxEntries {
		return JoinFull
	}
	t.entries[key] = &entry{nonce: nonce, bodyHash: bodyHash, waiters: []Waiter{w}}
	return JoinStarted
}

// Send moves a call to PhaseSending. It reports false if the call was barred.
func (t *Table) Send(key Key, nonce string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key, nonce)
	if e == nil || e.phase != PhaseClaiming {
		return false
	}
	e.phase = PhaseSending
	return true
}

// Bar makes sure that a call in the given phase is never sent, and returns
// its waiters. It reports false if the call is in another phase.
func (t *Table) Bar(key Key, nonce string, from Phase) ([]Waiter, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(key, nonce)
	if e == nil || e.phase != from {
		return nil, false
	}
	e.phase = PhaseBarred
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

// Leave removes a waiter that no longer waits. It reports false if the waiter
// was already handed out.
func (t *Table) Leave(key Key, request model.RequestID) bool {
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

// Remove drops the call once its row in the platform's table is final, or
// once it is no longer worth keeping.
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
