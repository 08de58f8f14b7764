// Package prefix remembers which upstreams have probably cached which prompt
// prefixes.
package prefix

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// BlockBytes is the size of a prompt block. Engines cache whole blocks.
	BlockBytes = 256
	// maxBlocks bounds the blocks of one prompt that are tracked (64 KiB).
	maxBlocks = 256
	// capacity bounds the blocks.
	capacity = 100_000
	// maxHolders bounds the upstreams that are remembered for one block. A
	// prefix that all requests share is cached nearly everywhere anyway.
	maxHolders = 64
	// maxNumbers bounds the upstreams that have a number: each new upstream ID
	// takes one. It is 18 times the 3,500 upstreams of the target scale.
	maxNumbers = 1 << 16
)

// Block identifies a prompt prefix that ends at a block border.
type Block uint64

// Blocks returns the prefixes of a prompt, shortest first. The hash of a block
// covers the whole prompt up to its end.
func Blocks(prompt string) []Block {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	blocks := make([]Block, 0, n)
	digest := xxhash.New()
	for i := range n {
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, Block(digest.Sum64()))
	}
	return blocks
}

// number stands for an upstream ID. A list of numbers is read many times
// faster than a set of IDs.
type number uint32

// holders are the upstreams that have probably cached one block, each once.
type holders []number

// Table maps blocks to their holders, least recently used dropped first. mu
// has lock.RankPrefix and guards the other fields.
//
// Invariant: each number in blocks is an index of ids, and numbers maps each
// element of ids to its index.
type Table struct {
	mu      lock.Mutex
	blocks  *simplelru.LRU[Block, *holders]
	numbers map[model.UpstreamID]number
	ids     []model.UpstreamID
}

// NewTable returns an empty table.
func NewTable() *Table {
	blocks, err := simplelru.NewLRU[Block, *holders](capacity, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &Table{mu: lock.New(lock.RankPrefix), blocks: blocks, numbers: map[model.UpstreamID]number{}}
}

// Add records that the upstream ran a prompt with these blocks.
func (t *Table) Add(id model.UpstreamID, blocks []Block) {
	if len(blocks) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.numberOf(id)
	for _, b := range blocks {
		h, ok := t.blocks.Get(b)
		if !ok {
			h = &holders{}
			t.blocks.Add(b, h)
		}
		if len(*h) < maxHolders && !slices.Contains(*h, n) {
			*h = append(*h, n)
		}
	}
}

// numberOf returns the number of an upstream and gives it one if it has none.
// When there are too many, the table forgets everything. The caller holds mu.
func (t *Table) numberOf(id model.UpstreamID) number {
	n, ok := t.numbers[id]
	if ok {
		return n
	}
	if len(t.ids) >= maxNumbers {
		t.blocks.Purge()
		clear(t.numbers)
		t.ids = nil
	}
	n = number(len(t.ids))
	t.numbers[id] = n
	t.ids = append(t.ids, id)
	return n
}

// Evicted records that the upstream dropped a block.
func (t *Table) Evicted(id model.UpstreamID, block Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.numbers[id]
	h, ok := t.blocks.Peek(block)
	if !known || !ok {
		return
	}
	*h = slices.DeleteFunc(*h, func(other number) bool { return other == n })
}

// CachedBytes returns for each upstream the length of the longest prefix that
// it has probably cached. Upstreams without any are left out.
func (t *Table) CachedBytes(blocks []Block) map[model.UpstreamID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := map[model.UpstreamID]int{}
	seen := make([]bool, len(t.ids))
	for i := len(blocks) - 1; i >= 0; i-- {
		h, ok := t.blocks.Peek(blocks[i])
		if !ok {
			continue
		}
		for _, n := range *h {
			if !seen[n] {
				seen[n] = true
				cached[t.ids[n]] = (i + 1) * BlockBytes
			}
		}
	}
	return cached
}
