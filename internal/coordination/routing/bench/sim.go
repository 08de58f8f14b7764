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
	// reportInterval is the time between two probes of a watcher, and reportLag
	// the age of a report when an instance applies it.
	reportInterval = time.Second
	reportLag      = 700 * time.Millisecond
	reportJitter   = 300 * time.Millisecond
)

// start is the wall-clock time of the simulation's zero. Its value does not
// matter.
var start = time.Unix(1_700_000_000, 0)

// instance is one instance with a view of its own.
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

// event is something that happens at a time. Events of one time happen in the
// order in which they were added.
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

// simulation runs one trace under one policy. It has one goroutine and no
// clock of its own, so that a run depends on the trace and the seed only.
type simulation struct {
	now       time.Duration
	queue     events
	seq       int
	engines   []*engine
	feed      Feed
	readers   []*eventReader // of the engines' cache events
	events    int            // that the feed delivered, counted once for all instances
	instances []*instance
	rng       *rand.Rand
	left      int // requests that have not finished
	toCome    int // requests that have not arrived; reports serve these
	done      []*job
}

func newSimulation(t Trace, policy routing.Policy, feed Feed, seed uint64) *simulation {
	s := &simulation{feed: feed, rng: rand.New(rand.NewPCG(seed, 2)), left: len(t.Requests), toCome: len(t.Requests)}
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
		s.at(time.Duration(i)*reportInterval/time.Duration(len(s.engines)), func() { s.report(i, 1) })
	}
	for i, r := range t.Requests {
		j := &job{request: r, blocks: r.blocks(i)}
		s.at(r.At, func() { s.arrive(j) })
	}
	return s
}

func engineID(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("engine-%03d", i)) }

func (s *simulation) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: t, seq: s.seq, run: run})
}

func (s *simulation) run() {
	for s.left > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// report samples the load of an engine and delivers it to each instance later.
func (s *simulation) report(i int, sequence uint64) {
	if s.toCome == 0 {
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
		At:          start.Add(s.now),
	}
	for _, in := range s.instances {
		delay := reportLag + time.Duration(s.rng.Int64N(int64(reportJitter)))
		s.at(s.now+delay, func() { in.upstreams.Apply(r) })
	}
	s.readEvents(i)
	s.at(s.now+reportInterval, func() { s.report(i, sequence+1) })
}

// readEvents delivers the cache events of an engine as late as its reports.
func (s *simulation) readEvents(i int) {
	events := s.readers[i].read(s.feed.lose(s.engines[i].takeEvents(), s.rng))
	s.events += len(events)
	for k, in := range s.instances {
		if s.feed.delivers(k, i, len(s.instances)) {
			s.at(s.now+reportLag, func() { s.feed.apply(in.prefixes, engineID(i), events) })
		}
	}
}

// arrive places a request as its instance sees the engines.
func (s *simulation) arrive(j *job) {
	s.toCome--
	up, _, ok := s.instances[j.request.Instance].router.Pick(routing.Placement{
		Serves:  modelName,
		Version: version,
		Work:    routing.Work{PromptBytes: j.request.PromptBytes, Tokens: j.request.MaxTokens},
		Blocks:  j.blocks,
		Now:     start.Add(s.now),
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
	s.fill(e)
}

// fill gives free slots to waiting requests.
func (s *simulation) fill(e *engine) {
	for e.slotFree() {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.prefilling = append(e.prefilling, j)
		if len(e.prefilling) == 1 {
			s.prefill(e)
		}
	}
}

// prefill computes the first prompt and then the next one.
func (s *simulation) prefill(e *engine) {
	j := e.prefilling[0]
	s.at(s.now+e.prefill(j), func() {
		e.prefilling = e.prefilling[1:]
		e.tick(s.now)
		j.endClock = e.clock + float64(j.request.Tokens)
		heap.Push(&e.running, j)
		j.first = s.now + e.step()
		s.armEnd(e)
		if len(e.prefilling) > 0 {
			s.prefill(e)
		}
	})
}

// armEnd sets the time at which the next stream of the engine ends. Earlier
// settings are void.
func (s *simulation) armEnd(e *engine) {
	e.epoch++
	epoch := e.epoch
	at, ok := e.nextEnd()
	if !ok {
		return
	}
	s.at(at, func() {
		if e.epoch == epoch {
			s.end(e)
		}
	})
}

// end finishes the stream that is due.
func (s *simulation) end(e *engine) {
	e.tick(s.now)
	j := heap.Pop(&e.running).(*job)
	j.finish = s.now
	e.busy += j.finish - j.request.At
	s.instances[j.request.Instance].upstreams.Release(engineID(j.engine))
	s.done = append(s.done, j)
	s.left--
	s.armEnd(e)
	s.fill(e)
}
