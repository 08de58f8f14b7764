// Package prefix holds an index of prompt prefixes and the upstreams that have
// probably cached them.
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
	// maxPromptBlocks bounds the blocks of one prompt that are tracked (64 KiB).
	maxPromptBlocks = 256
	// maxTableBlocks bounds the blocks in the table.
	maxTableBlocks = 100_000
	// maxHolders bounds the holders that are kept for one block. A prefix that
	// all requests share is cached on nearly all upstreams anyway.
	maxHolders = 64
	// maxUpstreamNumbers bounds the upstreams that have a number: each new
	// upstream ID takes one. It is 18 times the 3,500 upstreams of the target
	// scale.
	maxUpstreamNumbers = 1 << 16
)

// Block identifies a prompt prefix whose length is a multiple of BlockBytes.
type Block uint64

// Blocks returns the prefixes of a prompt, shortest first. Each one is a hash of
// the prompt from its start to the end of the block.
func Blocks(prompt string) []Block {
	n := min(len(prompt)/BlockBytes, maxPromptBlocks)
	blocks := make([]Block, 0, n)
	digest := xxhash.New()
	for i := range n {
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, Block(digest.Sum64()))
	}
	return blocks
}

// upstreamNumber stands for an upstream ID. Reading a list of numbers is many
// times faster than reading a set of IDs.
type upstreamNumber uint32

// holders are the upstreams that have probably cached one block, without
// duplicates.
type holders []upstreamNumber

// Table maps blocks to their holders. The least recently used block is dropped
// first. mu has lock.RankPrefix and guards the other fields.
//
// Invariant: each number in blocks is an index of ids, and numbers maps each
// element of ids to its index.
type Table struct {
	mu      lock.Mutex
	blocks  *simplelru.LRU[Block, *holders]
	numbers map[model.UpstreamID]upstreamNumber
	ids     []model.UpstreamID
}

// NewTable returns an empty table.
func NewTable() *Table {
	blocks, err := simplelru.NewLRU[Block, *holders](maxTableBlocks, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &Table{mu: lock.New(lock.RankPrefix), blocks: blocks, numbers: map[model.UpstreamID]upstreamNumber{}}
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

// numberOf returns the number of an upstream, and assigns one if it has none.
// When all maxUpstreamNumbers are taken, it first clears the table. The caller
// holds mu.
func (t *Table) numberOf(id model.UpstreamID) upstreamNumber {
	n, ok := t.numbers[id]
	if ok {
		return n
	}
	if len(t.ids) >= maxUpstreamNumbers {
		t.blocks.Purge()
		clear(t.numbers)
		t.ids = nil
	}
	n = upstreamNumber(len(t.ids))
	t.numbers[id] = n
	t.ids = append(t.ids, id)
	return n
}

// Evicted records that the upstream evicted a block from its cache.
func (t *Table) Evicted(id model.UpstreamID, block Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, numbered := t.numbers[id]
	h, ok := t.blocks.Peek(block)
	if !numbered || !ok {
		return
	}
	*h = slices.DeleteFunc(*h, func(other upstreamNumber) bool { return other == n })
}

// CachedBytes returns for each upstream the length of the longest prefix that
// it has probably cached. Upstreams without a cached prefix are left out.
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
