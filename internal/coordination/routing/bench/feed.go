package bench

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
)

// Feed says which events of the engines' prefix caches reach which instances.
// The product reads none of them; the feeds show what reading would bring.
type Feed struct {
	Name     string
	Evicted  bool    // evicted blocks correct the instances' memory
	Stored   bool    // stored blocks extend it
	Everyone bool    // all instances get them, not the two watchers of the engine alone
	Loss     float64 // part of the events that the engines never publish
}

// Feeds are the feeds to compare, the one in use first.
var Feeds = []Feed{
	{Name: "none"},
	{Name: "evicted, watchers", Evicted: true},
	{Name: "evicted, all", Evicted: true, Everyone: true},
	{Name: "stored and evicted, all", Evicted: true, Stored: true, Everyone: true},
	{Name: "evicted, all, 1% lost", Evicted: true, Everyone: true, Loss: 0.01},
	{Name: "stored and evicted, all, 1% lost", Evicted: true, Stored: true, Everyone: true, Loss: 0.01},
}

// watchersPerEngine is the number of instances that watch an engine, as in
// package watch.
const watchersPerEngine = 2

// delivers reports whether an instance gets the events of an engine.
func (f Feed) delivers(instance, engine, instances int) bool {
	if !f.Evicted && !f.Stored {
		return false
	}
	return f.Everyone || (instance-engine%instances+instances)%instances < watchersPerEngine
}

// apply brings an instance's memory up to date. Stored blocks are added in runs:
// with the check of the lock order, one call for each block took 40 times as
// long.
func (f Feed) apply(prefixes *prefix.Table, id model.UpstreamID, events []cacheEvent) {
	var stored []prefix.Block
	for _, e := range events {
		if !e.evicted {
			stored = append(stored, e.block)
			continue
		}
		f.extend(prefixes, id, stored)
		stored = stored[:0]
		if f.Evicted {
			prefixes.Evicted(id, e.block)
		}
	}
	f.extend(prefixes, id, stored)
}

// extend adds stored blocks if the feed has them.
// extend adds stored blocks if the feed has them.
func (f Feed) extend(prefixes *prefix.Table, id model.UpstreamID, stored []prefix.Block) {
	if f.Stored && len(stored) > 0 {
		prefixes.Add(id, stored)
	}
}

// cacheEvent says that a block entered or left the cache of an engine.
type cacheEvent struct {
	sequence uint64
	block    prefix.Block
	evicted  bool
}

// lose leaves out a part of the events.
func (f Feed) lose(events []cacheEvent, rng *rand.Rand) []cacheEvent {
	if f.Loss == 0 {
		return events
	}
	return slices.DeleteFunc(events, func(cacheEvent) bool { return rng.Float64() < f.Loss })
}

// eventReader follows the events of one engine as its watcher would.
type eventReader struct {
	last uint64 // sequence number
	held *simplelru.LRU[prefix.Block, struct{}]
}

func newEventReader(cacheBlocks int) *eventReader {
	held, err := simplelru.NewLRU[prefix.Block, struct{}](cacheBlocks, nil)
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	return &eventReader{held: held}
}

// read returns the events with an eviction for each block that is in doubt.
// n missing events can have evicted n blocks; the likeliest are those that were
// stored first. Forgetting all blocks at each gap lost the whole gain at 1%
// lost events.
func (r *eventReader) read(events []cacheEvent) []cacheEvent {
	var known []cacheEvent
	for _, e := range events {
		for range e.sequence - r.last - 1 {
			if block, _, ok := r.held.RemoveOldest(); ok {
				known = append(known, cacheEvent{block: block, evicted: true})
			}
		}
		r.last = e.sequence
		if e.evicted {
			r.held.Remove(e.block)
		} else {
			r.held.Add(e.block, struct{}{})
		}
		known = append(known, e)
	}
	return known
}
