// Package lock provides mutexes with a rank in the lock order.
//
// A goroutine takes ranked locks in strictly rising order of rank. With the
// build tag lockcheck a violation panics; without the tag a Mutex costs as much
// as a sync.Mutex.
package lock

import "sync"

// Rank is the place of a lock in the lock order. Lower ranks are taken first.
type Rank int

// Ranks of the shared tables. docs/design.md section 3.2 lists the writers of
// each table.
const (
	RankDocument     Rank = 10
	RankInstance     Rank = 20
	RankCell         Rank = 25
	RankUpstream     Rank = 30
	RankCommitment   Rank = 33
	RankOutcome      Rank = 34
	RankPrefix       Rank = 35
	RankDemand       Rank = 36
	RankMove         Rank = 37
	RankStop         Rank = 40
	RankEvidence     Rank = 50
	RankOrganisation Rank = 60
	RankSuspect      Rank = 70
	RankGeneration   Rank = 80
	RankCall         Rank = 90
	RankPool         Rank = 100
)

// Mutex is a mutual exclusion lock with a rank. It implements sync.Locker.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked Mutex of the given rank.
func New(rank Rank) Mutex {
	return Mutex{rank: rank}
}

// Lock locks m.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}
