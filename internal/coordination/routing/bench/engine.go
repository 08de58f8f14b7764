package bench

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
)

// batchSlowdown is the fraction by which each further stream of a batch lengthens
// the time between tokens. It differs from the router's own value on purpose: an
// estimate that matched the simulated engine exactly would prove little.
const batchSlowdown = 0.012

// EngineSpec describes one simulated engine.
type EngineSpec struct {
	TokenTime   time.Duration // between tokens of a stream that runs alone
	PrefillRate float64       // prompt bytes/s, shared by all prompts
	Slots       int           // prompts and streams that the engine processes at once
	CacheBlocks int           // capacity of the prefix cache
}

// job is one request in the simulation.
type job struct {
	request  Request
	blocks   []prefix.Block
	engine   int
	cached   int // prompt bytes that the engine had cached
	first    time.Duration
	finish   time.Duration
	endClock float64 // token clock of the engine at the last token
}

// engine simulates an engine with continuous batching. Prompts are computed one after
// another. All running streams advance by one token in each step, and a step takes
// longer the more streams run. Because the streams advance alike, one token clock for
// the engine determines when each of them ends.
type engine struct {
	spec       EngineSpec
	waiting    []*job // jobs without a slot
	prefilling []*job // jobs whose prompt is not computed yet; the first one is in progress
	running    runningJobs
	cache      *simplelru.LRU[prefix.Block, struct{}]
	events     []cacheEvent  // events since the last call of takeEvents
	sequence   uint64        // of the last event
	clock      float64       // tokens that a stream running since the start would have got
	clockAt    time.Duration // time up to which clock is computed
	endEpoch   int           // incremented when nextEndTime may have changed
	jobTime    time.Duration // sum over the finished jobs of the time from arrival to finish
}

func newEngine(spec EngineSpec) *engine {
	e := &engine{spec: spec}
	cache, err := simplelru.NewLRU(spec.CacheBlocks, func(b prefix.Block, _ struct{}) { e.publish(b, true) })
	if err != nil {
		panic(err) // only for a capacity below 1
	}
	e.cache = cache
	return e
}

// publish records a cache event for the next call of takeEvents.
func (e *engine) publish(block prefix.Block, evicted bool) {
	e.sequence++
	e.events = append(e.events, cacheEvent{sequence: e.sequence, block: block, evicted: evicted})
}

// takeEvents returns the events since the last call.
func (e *engine) takeEvents() []cacheEvent {
	events := e.events
	e.events = nil
	return events
}

// step returns the current time between two tokens of a stream.
func (e *engine) step() time.Duration {
	others := float64(max(len(e.running)-1, 0))
	return time.Duration(float64(e.spec.TokenTime) * (1 + batchSlowdown*others))
}

// advanceClock advances the token clock to now. It must be called before the number of
// running streams changes, because the length of a step depends on that number.
func (e *engine) advanceClock(now time.Duration) {
	if len(e.running) > 0 {
		e.clock += float64(now-e.clockAt) / float64(e.step())
	}
	e.clockAt = now
}

// nextEndTime returns when the next of the running streams ends; false if none runs.
func (e *engine) nextEndTime() (time.Duration, bool) {
	if len(e.running) == 0 {
		return 0, false
	}
	left := max(e.running[0].endClock-e.clock, 0)
	return e.clockAt + time.Duration(left*float64(e.step())), true
}

// prefill caches the blocks of the prompt and returns the time to compute those that
// were not cached.
func (e *engine) prefill(j *job) time.Duration {
	cached := 0
	for cached < len(j.blocks) && e.cache.Contains(j.blocks[cached]) {
		cached++
	}
	j.cached = cached * prefix.BlockBytes
	// The last block of a prompt is added first, so that it is evicted first.
	for i := len(j.blocks) - 1; i >= 0; i-- {
		if !e.cache.Contains(j.blocks[i]) {
			e.publish(j.blocks[i], false)
		}
		e.cache.Add(j.blocks[i], struct{}{})
	}
	return time.Duration(float64(j.request.PromptBytes-j.cached) / e.spec.PrefillRate * float64(time.Second))
}

// canAdmit reports whether a job waits and a slot is free for it.
func (e *engine) canAdmit() bool {
	return len(e.waiting) > 0 && len(e.prefilling)+len(e.running) < e.spec.Slots
}

// runningJobs is a heap of jobs ordered by endClock.
type runningJobs []*job

var _ heap.Interface = (*runningJobs)(nil)

func (r runningJobs) Len() int           { return len(r) }
func (r runningJobs) Less(i, j int) bool { return r[i].endClock < r[j].endClock }
func (r runningJobs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *runningJobs) Push(x any) { *r = append(*r, x.(*job)) }

// Pop implements heap.Interface.
func (r *runningJobs) Pop() any {
	last := len(*r) - 1
	j := (*r)[last]
	*r = (*r)[:last]
	return j
}
