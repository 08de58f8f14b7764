package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	modelName = "m"
	version   = "v1"
	// reportInterval is the time between two probes of an engine by its watcher.
	// reportLag is the least age of a report when an instance applies it, and
	// reportJitter the largest random addition to that age.
	reportInterval = time.Second
	reportLag      = 700 * time.Millisecond
	reportJitter   = 300 * time.Millisecond
)

// simulationStart is the wall-clock time at which the simulated time is zero. The
// results do not depend on it.
var simulationStart = time.Unix(1_700_000_000, 0)

// instance is one simulated instance with tables of its own.
type instance struct {
	upstreams *upstream.Table
	prefixes  *prefix.Table
	router    *routing.Router
}

func newInstance(doc *model.Document, policy routing.Policy, rng *rand.Rand) *instance {
	in := &instance{upstreams: upstream.NewTable(), prefixes: prefix.NewTable()}
	docs := document.NewTable()
	docs.Apply(doc)
	in.upstreams.Configure(doc.Upstreams)
	in.router = routing.New(routing.Options{
		Documents: docs, Upstreams: in.upstreams, Stops: stop.NewTable(), Prefixes: in.prefixes,
		Policy: policy, Rand: func() *rand.Rand { return rng },
	})
	return in
}

// event is a function that runs at a simulated time. Events with the same time run in
// the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation runs one trace under one policy. It uses a single goroutine and never
// reads the system clock, so that a run depends on the trace and the seed only.
type simulation struct {
	now             time.Duration
	queue           events
	eventSeq        int
	engines         []*engine
	feed            Feed
	readers         []*eventReader // readers of the engines' cache events, by engine
	deliveredEvents int            // cache events that the feed delivered, counted once for all instances
	instances       []*instance
	rng             *rand.Rand
	unfinished      int // requests that have not finished
	pendingArrivals int // requests that have not arrived; without any, no more reports are sent
	finished        []*job
}

func newSimulation(t Trace, policy routing.Policy, feed Feed, seed uint64) *simulation {
	s := &simulation{feed: feed, rng: rand.New(rand.NewPCG(seed, 2)), unfinished: len(t.Requests), pendingArrivals: len(t.Requests)}
	doc := &model.Document{Generation: 1, Models: []model.Model{{Name: modelName}}}
	for i, spec := range t.Engines {
		s.engines = append(s.engines, newEngine(spec))
		s.readers = append(s.readers, newEventReader(spec.CacheBlocks))
		doc.Upstreams = append(doc.Upstreams, model.Upstream{
			ID: engineID(i), Kind: model.KindEngine, Serves: modelName, Version: version,
		})
	}
	for range t.Instances {
		s.instances = append(s.instances, newInstance(doc, policy, s.rng))
	}
	for i := range s.engines {
		s.schedule(time.Duration(i)*reportInterval/time.Duration(len(s.engines)), func() { s.report(i, 1) })
	}
	for i, r := range t.Requests {
		j := &job{request: r, blocks: r.blocks(i)}
		s.schedule(r.At, func() { s.arrive(j) })
	}
	return s
}

func engineID(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("engine-%03d", i)) }

func (s *simulation) schedule(t time.Duration, run func()) {
	s.eventSeq++
	heap.Push(&s.queue, event{at: t, seq: s.eventSeq, run: run})
}

func (s *simulation) run() {
	for s.unfinished > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// report samples the load of an engine and schedules its delivery to each instance.
func (s *simulation) report(i int, sequence uint64) {
	if s.pendingArrivals == 0 {
		return
	}
	e := s.engines[i]
	r := upstream.Report{
		Upstream:    engineID(i),
		Incarnation: 1,
		Sequence:    sequence,
		Health:      upstream.HealthUp,
		Running:     len(e.prefilling) + len(e.running),
		Waiting:     len(e.waiting),
		TokenTime:   e.spec.TokenTime,
		PrefillRate: e.spec.PrefillRate,
		At:          simulationStart.Add(s.now),
	}
	for _, in := range s.instances {
		delay := reportLag + time.Duration(s.rng.Int64N(int64(reportJitter)))
		s.schedule(s.now+delay, func() { in.upstreams.Apply(r) })
	}
	s.readEvents(i)
	s.schedule(s.now+reportInterval, func() { s.report(i, sequence+1) })
}

// readEvents schedules the delivery of an engine's cache events after reportLag.
func (s *simulation) readEvents(i int) {
	events := s.readers[i].read(s.feed.dropEvents(s.engines[i].takeEvents(), s.rng))
	s.deliveredEvents += len(events)
	for k, in := range s.instances {
		if s.feed.delivers(k, i, len(s.instances)) {
			s.schedule(s.now+reportLag, func() { s.feed.apply(in.prefixes, engineID(i), events) })
		}
	}
}

// arrive places a request by the tables of its instance.
func (s *simulation) arrive(j *job) {
	s.pendingArrivals--
	up, _, ok := s.instances[j.request.Instance].router.Pick(routing.Placement{
		Serves:  modelName,
		Version: version,
		Work:    routing.Work{PromptBytes: j.request.PromptBytes, Tokens: j.request.MaxTokens},
		Blocks:  j.blocks,
		Now:     simulationStart.Add(s.now),
	})
	if !ok {
		panic("no engine was picked, although all are usable")
	}
	for i := range s.engines {
		if engineID(i) == up.ID {
			j.engine = i
		}
	}
	e := s.engines[j.engine]
	e.waiting = append(e.waiting, j)
	s.fillSlots(e)
}

// fillSlots moves waiting requests into free slots.
func (s *simulation) fillSlots(e *engine) {
	for e.canAdmit() {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.prefilling = append(e.prefilling, j)
		if len(e.prefilling) == 1 {
			s.prefill(e)
		}
	}
}

// prefill schedules the end of the first prompt's computation, which starts the next.
func (s *simulation) prefill(e *engine) {
	j := e.prefilling[0]
	s.schedule(s.now+e.prefill(j), func() {
		e.prefilling = e.prefilling[1:]
		e.advanceClock(s.now)
		j.endClock = e.clock + float64(j.request.Tokens)
		heap.Push(&e.running, j)
		j.first = s.now + e.step()
		s.scheduleNextEnd(e)
		if len(e.prefilling) > 0 {
			s.prefill(e)
		}
	})
}

// scheduleNextEnd schedules the end of the stream that ends next on the engine. Ends
// that were scheduled earlier become void.
func (s *simulation) scheduleNextEnd(e *engine) {
	e.endEpoch++
	epoch := e.endEpoch
	at, ok := e.nextEndTime()
	if !ok {
		return
	}
	s.schedule(at, func() {
		if e.endEpoch == epoch {
			s.finishNextJob(e)
		}
	})
}

// finishNextJob finishes the stream whose end is due now.
func (s *simulation) finishNextJob(e *engine) {
	e.advanceClock(s.now)
	j := heap.Pop(&e.running).(*job)
	j.finish = s.now
	e.jobTime += j.finish - j.request.At
	s.instances[j.request.Instance].upstreams.Release(engineID(j.engine))
	s.finished = append(s.finished, j)
	s.unfinished--
	s.scheduleNextEnd(e)
	s.fillSlots(e)
}
