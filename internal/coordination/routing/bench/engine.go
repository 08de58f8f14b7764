package bench

import (
	"container/heap"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
)

// batchSlowdown is the part by which each further stream of a batch lengthens
// the time between tokens. It differs from the router's own figure on purpose:
// an estimate that knew the simulated engine exactly would prove little.
const batchSlowdown = 0.012

// EngineSpec describes one simulated engine.
type EngineSpec struct {
	TokenTime   time.Duration // between tokens of a stream that runs alone
	PrefillRate float64       // prompt bytes/s, shared by all prompts
	Slots       int           // prompts and streams that are worked on at once
	CacheBlocks int
}

// job is one request on its way.
type job struct {
	request  Request
	blocks   []prefix.Block
	engine   int
	cached   int // prompt bytes that the engine had cached
	first    time.Duration
	finish   time.Duration
	endClock float64 // token clock of the engine at the last token
}

// engine is a continuous batch: prompts are computed one after another, and
// all running streams advance by one token in each step, whose length grows
// with their number. All running streams advance alike, so that one token
// clock for the engine tells when each of them ends.
type engine struct {
	spec       EngineSpec
	waiting    []*job // no slot yet
	prefilling []*job // the first one is being computed
	running    runningJobs
	cache      *simplelru.LRU[prefix.Block, struct{}]
	events     []cacheEvent  // that nobody took yet
	sequence   uint64        // of the last event
	clock      float64       // tokens that a stream would have got since the start
	clockAt    time.Duration // when clock was brought up to date
	epoch      int           // rises when the next end changes
	busy       time.Duration // sum over jobs of the time spent here
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

// publish adds an event for the next reader.
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

// step is the time between two tokens now.
func (e *engine) step() time.Duration {
	others := float64(max(len(e.running)-1, 0))
	return time.Duration(float64(e.spec.TokenTime) * (1 + batchSlowdown*others))
}

// tick brings the token clock up to date. It is called before the number of
// running streams changes.
func (e *engine) tick(now time.Duration) {
	if len(e.running) > 0 {
		e.clock += float64(now-e.clockAt) / float64(e.step())
	}
	e.clockAt = now
}

// nextEnd returns when the first running stream ends.
func (e *engine) nextEnd() (time.Duration, bool) {
	if len(e.running) == 0 {
		return 0, false
	}
	left := max(e.running[0].endClock-e.clock, 0)
	return e.clockAt + time.Duration(left*float64(e.step())), true
}

// prefill returns the time that the prompt takes, and caches its blocks.
func (e *engine) prefill(j *job) time.Duration {
	cached := 0
	for cached < len(j.blocks) && e.cache.Contains(j.blocks[cached]) {
		cached++
	}
	j.cached = cached * prefix.BlockBytes
	// The end of a prompt is added first and so dropped first.
	for i := len(j.blocks) - 1; i >= 0; i-- {
		if !e.cache.Contains(j.blocks[i]) {
			e.publish(j.blocks[i], false)
		}
		e.cache.Add(j.blocks[i], struct{}{})
	}
	return time.Duration(float64(j.request.PromptBytes-j.cached) / e.spec.PrefillRate * float64(time.Second))
}

// slotFree reports whether a waiting job may enter.
func (e *engine) slotFree() bool {
	return len(e.waiting) > 0 && len(e.prefilling)+len(e.running) < e.spec.Slots
}

// runningJobs is a heap by endClock.
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
