//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// heldRanks maps a goroutine ID to the ranks that it holds, in the order taken.
var heldRanks = struct {
	sync.Mutex
	ranks map[uint64][]Rank
}{ranks: map[uint64][]Rank{}}

func acquire(rank Rank) {
	id := goroutineID()
	heldRanks.Lock()
	defer heldRanks.Unlock()
	ranks := heldRanks.ranks[id]
	if n := len(ranks); n > 0 && ranks[n-1] >= rank {
		panic(fmt.Sprintf("lock order: rank %d taken while rank %d is held", rank, ranks[n-1]))
	}
	heldRanks.ranks[id] = append(ranks, rank)
}

func release(rank Rank) {
	id := goroutineID()
	heldRanks.Lock()
	defer heldRanks.Unlock()
	ranks := heldRanks.ranks[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] == rank {
			ranks = append(ranks[:i], ranks[i+1:]...)
			break
		}
	}
	if len(ranks) == 0 {
		delete(heldRanks.ranks, id)
		return
	}
	heldRanks.ranks[id] = ranks
}

// goroutineID parses the ID from the first line of the stack trace,
// "goroutine 18 [running]:". The runtime has no public accessor for it.
func goroutineID() uint64 {
	var buf [64]byte
	n := runtime.Stack(buf[:], false)
	fields := bytes.Fields(buf[:n])
	id, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		panic(fmt.Sprintf("lock order: cannot parse goroutine ID: %v", err))
	}
	return id
}
