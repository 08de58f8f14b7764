package bench

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
)

// Feed says which events of the engines' prefix caches reach which instances.
// The product reads no such events; the feeds show what it would gain from them.
type Feed struct {
	Name           string
	DeliverEvicted bool    // evicted blocks are removed from the instances' prefix tables
	DeliverStored  bool    // stored blocks are added to the instances' prefix tables
	AllInstances   bool    // all instances get the events, not only the two watchers of the engine
	Loss           float64 // fraction of the events that are lost
}

// Feeds are the feeds to compare, the one in use first.
var Feeds = []Feed{
	{Name: "none"},
	{Name: "evicted, watchers", DeliverEvicted: true},
	{Name: "evicted, all", DeliverEvicted: true, AllInstances: true},
	{Name: "stored and evicted, all", DeliverEvicted: true, DeliverStored: true, AllInstances: true},
	{Name: "evicted, all, 1% lost", DeliverEvicted: true, AllInstances: true, Loss: 0.01},
	{Name: "stored and evicted, all, 1% lost", DeliverEvicted: true, DeliverStored: true, AllInstances: true, Loss: 0.01},
}

// watchersPerEngine is the number of instances that watch an engine, as in
// package watch.
const watchersPerEngine = 2

// delivers reports whether an instance gets the events of an engine.
func (f Feed) delivers(instance, engine, instances int) bool {
	if !f.DeliverEvicted && !f.DeliverStored {
		return false
	}
	return f.AllInstances || (instance-engine%instances+instances)%instances < watchersPerEngine
}

// apply updates an instance's prefix table. Consecutive stored blocks are added in one
// call: with lock order checking, one call for each block took 40 times as long.
func (f Feed) apply(prefixes *prefix.Table, id model.UpstreamID, events []cacheEvent) {
	var stored []prefix.Block
	for _, e := range events {
		if !e.evicted {
			stored = append(stored, e.block)
			continue
		}
		f.addStored(prefixes, id, stored)
		stored = stored[:0]
		if f.DeliverEvicted {
			prefixes.Evicted(id, e.block)
		}
	}
	f.addStored(prefixes, id, stored)
}

// addStored adds the stored blocks to the prefix table if the feed delivers such events.
func (f Feed) addStored(prefixes *prefix.Table, id model.UpstreamID, stored []prefix.Block) {
	if f.DeliverStored && len(stored) > 0 {
		prefixes.Add(id, stored)
	}
}

// cacheEvent says that a block entered or left the cache of an engine.
type cacheEvent struct {
	sequence uint64
	block    prefix.Block
	evicted  bool
}

// dropEvents removes a random part of the events, as large as Loss says.
func (f Feed) dropEvents(events []cacheEvent, rng *rand.Rand) []cacheEvent {
	if f.Loss == 0 {
		return events
	}
	return slices.DeleteFunc(events, func(cacheEvent) bool { return rng.Float64() < f.Loss })
}

// eventReader reads the cache events of one engine in the way that a watcher would.
type eventReader struct {
	lastSequence uint64                                 // sequence number of the last event read
	cachedBlocks *simplelru.LRU[prefix.Block, struct{}] // blocks that the engine has cached
}

func newEventReader(cacheBlocks int) *eventReader {
	cachedBlocks, err := simplelru.NewLRU[prefix.Block, struct{}](cacheBlocks, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &eventReader{cachedBlocks: cachedBlocks}
}

// read returns the events and, at each gap in their sequence numbers, an eviction of
// each block that the missing events may have evicted. n missing events can have
// evicted n blocks, most likely those that were stored first. Evicting all blocks at
// each gap lost the whole gain of the feed at 1% lost events.
func (r *eventReader) read(events []cacheEvent) []cacheEvent {
	var result []cacheEvent
	for _, e := range events {
		for range e.sequence - r.lastSequence - 1 {
			if block, _, ok := r.cachedBlocks.RemoveOldest(); ok {
				result = append(result, cacheEvent{block: block, evicted: true})
			}
		}
		r.lastSequence = e.sequence
		if e.evicted {
			r.cachedBlocks.Remove(e.block)
		} else {
			r.cachedBlocks.Add(e.block, struct{}{})
		}
		result = append(result, e)
	}
	return result
}
