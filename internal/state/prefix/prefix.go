// Package prefix remembers which upstreams have probably cached which prompt
// prefixes.
package prefix

import (
	"time"

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
	// capacity bounds the rows; a row takes about 100 bytes.
	capacity = 100_000
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

type key struct {
	upstream model.UpstreamID
	block    Block
}

// Table holds (upstream, block) pairs, least recently used dropped first. mu
// has lock.RankPrefix and guards pairs.
type Table struct {
	mu    lock.Mutex
	pairs *simplelru.LRU[key, time.Time]
}

// NewTable returns an empty table.
func NewTable() *Table {
	pairs, err := simplelru.NewLRU[key, time.Time](capacity, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &Table{mu: lock.New(lock.RankPrefix), pairs: pairs}
}

// Add records that the upstream ran a prompt with these blocks.
func (t *Table) Add(id model.UpstreamID, blocks []Block, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range blocks {
		t.pairs.Add(key{id, b}, now)
	}
}

// Evicted records that the upstream dropped a block.
func (t *Table) Evicted(id model.UpstreamID, block Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pairs.Remove(key{id, block})
}

// CachedBytes returns the length of the longest prefix that the upstream has
// probably cached.
func (t *Table) CachedBytes(id model.UpstreamID, blocks []Block) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if t.pairs.Contains(key{id, blocks[i]}) {
			return (i + 1) * BlockBytes
		}
	}
	return 0
}
