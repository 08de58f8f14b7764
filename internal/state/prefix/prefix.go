// Package prefix remembers which upstreams have probably cached which prompt
// prefixes.
package prefix

import (
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
	// capacity bounds the blocks; one takes about 150 bytes with its upstreams.
	capacity = 100_000
	// maxHolders bounds the upstreams that are remembered for one block. A
	// prefix that all requests share is cached nearly everywhere anyway.
	maxHolders = 64
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

// holders are the upstreams that have probably cached one block.
type holders map[model.UpstreamID]struct{}

// Table maps blocks to their holders, least recently used dropped first. mu
// has lock.RankPrefix and guards blocks.
type Table struct {
	mu     lock.Mutex
	blocks *simplelru.LRU[Block, holders]
}

// NewTable returns an empty table.
func NewTable() *Table {
	blocks, err := simplelru.NewLRU[Block, holders](capacity, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &Table{mu: lock.New(lock.RankPrefix), blocks: blocks}
}

// Add records that the upstream ran a prompt with these blocks.
func (t *Table) Add(id model.UpstreamID, blocks []Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range blocks {
		h, ok := t.blocks.Get(b)
		if !ok {
			h = holders{}
			t.blocks.Add(b, h)
		}
		if len(h) < maxHolders {
			h[id] = struct{}{}
		}
	}
}

// Evicted records that the upstream dropped a block.
func (t *Table) Evicted(id model.UpstreamID, block Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.blocks.Peek(block); ok {
		delete(h, id)
	}
}

// CachedBytes returns for each upstream the length of the longest prefix that
// it has probably cached. Upstreams without any are left out.
func (t *Table) CachedBytes(blocks []Block) map[model.UpstreamID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := map[model.UpstreamID]int{}
	for i := len(blocks) - 1; i >= 0; i-- {
		h, ok := t.blocks.Peek(blocks[i])
		if !ok {
			continue
		}
		for id := range h {
			if _, longer := cached[id]; !longer {
				cached[id] = (i + 1) * BlockBytes
			}
		}
	}
	return cached
}
