package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
)

// BlockBytes is the length of a block of the prefix cache, in bytes of text.
const BlockBytes = 256

// maxCacheEvents is the number of latest events that are always kept for readers.
// Older events are dropped once there are twice as many.
const maxCacheEvents = 8192

// PrefixBlocks returns, for each complete block of a text, the xxhash of the text
// up to the end of the block.
func PrefixBlocks(text string) []uint64 {
	blocks := make([]uint64, 0, len(text)/BlockBytes)
	digest := xxhash.New()
	for end := BlockBytes; end <= len(text); end += BlockBytes {
		_, _ = digest.WriteString(text[end-BlockBytes : end]) // never fails
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// prefixCache is a bounded set of prefix blocks that evicts the least recently
// used block. The batch's lock guards it.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// cached returns how many leading blocks are in the cache.
func (c *prefixCache) cached(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// use adds the blocks or marks them as recently used. It starts with the last
// block, so that the cache evicts the end of a prompt before its beginning.
func (c *prefixCache) use(blocks []uint64, log *cacheLog, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		log.add(block, false, now)
		if c.order.Len() > c.capacity {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, oldest)
			log.add(oldest, true, now)
		}
	}
}

// cacheLog holds the cache events that readers can fetch. The batch's lock guards
// it.
type cacheLog struct {
	delay     time.Duration
	dropEvent func() bool // draws whether an event is never published
	sequence  uint64
	events    []loggedEvent
}

type loggedEvent struct {
	event engineapi.CacheEvent
	at    time.Time // when it is published
}

func (l *cacheLog) add(block uint64, evicted bool, now time.Time) {
	l.sequence++
	if l.dropEvent() {
		return
	}
	event := engineapi.CacheEvent{Sequence: l.sequence, Block: block, Evicted: evicted}
	l.events = append(l.events, loggedEvent{event: event, at: now.Add(l.delay)})
	if len(l.events) > 2*maxCacheEvents {
		l.events = append([]loggedEvent(nil), l.events[maxCacheEvents:]...)
	}
}

// after returns the published events with a higher sequence number.
func (l *cacheLog) after(sequence uint64, now time.Time) []engineapi.CacheEvent {
	events := []engineapi.CacheEvent{}
	for _, logged := range l.events {
		if logged.event.Sequence > sequence && !logged.at.After(now) {
			events = append(events, logged.event)
		}
	}
	return events
}
