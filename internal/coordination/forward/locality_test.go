package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/locality"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"gotest.tools/v3/assert"
)

// domainWorld plays the placements of several cells in three failure domains against
// upstreams that run their requests in the order of arrival. It runs in a synctest bubble,
// so that time is virtual.
type domainWorld struct {
	random    *rand.Rand
	streams   bool
	cells     []*domainCell
	upstreams map[model.UpstreamID]*playedUpstream
	all       []model.Upstream
	start     time.Time
	events    playedEvents
	serial    int
	exchange  func(second int) bool // whether the cells hear of each other
	planned   bool                  // the shares are planned
	rate      func(domain model.FailureDomain, second float64) float64
	down      func(domain model.FailureDomain, second float64) bool
	work      struct{ requests, left int }
	bytes     struct{ total, left float64 }
	waits     []time.Duration
	direction map[[2]model.FailureDomain]int // requests by home and domain of the upstream
}

type domainCell struct {
	domain model.FailureDomain
	name   string
	m      *Manager
	demand *demand.Table
}

// playedUpstream has slots that become free at the given times, or for engines one time
// until which it reads prompts.
type playedUpstream struct {
	model.Upstream
	free []time.Time
}

type playedEvent struct {
	at  time.Time
	run func(now time.Time)
}

type playedEvents []playedEvent

func (e playedEvents) Len() int           { return len(e) }
func (e playedEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e playedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playedEvents) Push(x any)        { *e = append(*e, x.(playedEvent)) }
func (e *playedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	playedCells    = 3 // of each domain
	playedCallTime = 30 * time.Millisecond
	playedOneWay   = 1400 * time.Microsecond
	// playedDecodeTime is the time from the first event of a stream to its end.
	playedDecodeTime = 3750 * time.Millisecond
	// playedCallObjective is the time within which a call is due.
	playedCallObjective = 120 * time.Millisecond
)

func newDomainWorld(seed uint64, streams, planned bool) *domainWorld {
	w := &domainWorld{
		random: rand.New(rand.NewPCG(seed, 7)), streams: streams, planned: planned, start: time.Now(),
		upstreams: map[model.UpstreamID]*playedUpstream{}, direction: map[[2]model.FailureDomain]int{},
		exchange: func(int) bool { return true },
		down:     func(model.FailureDomain, float64) bool { return false },
	}
	service, perDomain, slots := "desk", 1, 6
	if streams {
		service, perDomain, slots = "engine", 12, 1
	}
	for _, domain := range domains {
		for i := range perDomain {
			up := fakeUpstream(service, domain, i)
			up.Slots = slots
			if streams {
				up.Slots = 64
			}
			w.all = append(w.all, up)
			w.upstreams[up.ID] = &playedUpstream{Upstream: up, free: slices.Repeat([]time.Time{w.start}, slots)}
		}
	}
	for _, domain := range domains {
		for i := range playedCells {
			w.cells = append(w.cells, w.newCell(domain, fmt.Sprintf("%s/%d", domain, i), service))
		}
	}
	return w
}

func (w *domainWorld) newCell(domain model.FailureDomain, name, service string) *domainCell {
	table, ruleTable := upstream.NewTable(), rules.NewTable()
	table.Configure(w.all)
	r := testRules()
	r.Services = slices.DeleteFunc(r.Services, func(s model.BackendService) bool { return s.Name != service })
	ruleTable.Apply(r)
	c := &domainCell{domain: domain, name: name, demand: demand.NewTable()}
	number := len(w.cells)
	c.m = New(Options{
		Rules: ruleTable, Upstreams: table, Commitments: commitment.NewTable(time.Hour), Locations: location.NewTable(),
		Outcomes: outcome.NewTable(), Moves: move.NewTable(), Suspects: suspect.NewTable("self"), FailureDomain: domain,
		FailureDomains: len(domains), Demand: c.demand, CellMembers: func() int { return 0 }, OtherCells: func() int { return playedCells*len(domains) - 1 },
		// Each cell prefers a part of the engines of all domains.
		PrefersEngine: func(address string) bool {
			return int(hashFraction("cell", model.UpstreamID(address))*playedCells*float64(len(domains))) == number
		},
		Policy: EarliestFinish, Log: &log.Logger{Handler: discard.Default},
	})
	return c
}

func (w *domainWorld) at(at time.Time, run func(now time.Time)) {
	heap.Push(&w.events, playedEvent{at, run})
}

// run plays so many seconds.
func (w *domainWorld) run(seconds int) {
	end := w.start.Add(time.Duration(seconds) * time.Second)
	for i, c := range w.cells {
		w.at(w.start.Add(time.Duration(i)*time.Millisecond), func(now time.Time) { w.arrive(c, now, end) })
	}
	w.at(w.start, func(now time.Time) { w.tick(now, end) })
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(playedEvent)
		time.Sleep(time.Until(e.at))
		e.run(time.Now())
	}
}

// tick exchanges the demand of the cells and plans the shares, once a second.
func (w *domainWorld) tick(now, end time.Time) {
	second := now.Sub(w.start).Seconds()
	for _, c := range w.cells {
		for _, up := range w.all {
			if w.down(up.FailureDomain, second) {
				c.m.opts.Upstreams.RecordFailure(up.ID, now, now.Add(1500*time.Millisecond))
			}
		}
	}
	if w.exchange(int(second)) {
		for _, from := range w.cells {
			summary := demand.Summary{Domain: from.domain, Cells: 1, Services: from.demand.Cell(now)}
			for _, to := range w.cells {
				if to != from {
					to.demand.SetCell(from.name, summary, now)
				}
			}
		}
	}
	if w.planned {
		for _, c := range w.cells {
			c.m.planLocality(now)
		}
	}
	if next := now.Add(time.Second); next.Before(end) {
		w.at(next, func(now time.Time) { w.tick(now, end) })
	}
}

// arrive places a request of the cell's callers and schedules the next one.
func (w *domainWorld) arrive(c *domainCell, now, end time.Time) {
	rate := w.rate(c.domain, now.Sub(w.start).Seconds()) / playedCells
	next := now.Add(time.Duration(w.random.ExpFloat64() / max(rate, 0.1) * float64(time.Second)))
	if next.Before(end) {
		w.at(next, func(now time.Time) { w.arrive(c, now, end) })
	}
	w.serial++
	prompt := 1000 + w.random.IntN(8000)
	r := &activeRequest{m: c.m, req: &Request{ID: model.RequestID(fmt.Sprint(w.serial)), Work: GenerationWork{PromptTokens: prompt, OutputTokens: 125}}}
	r.service = c.m.opts.Rules.Current().Services[0]
	service := r.service.Name
	c.demand.RecordArrival(service, now)
	var up model.Upstream
	work := commitment.Work{Requests: 1}
	size := 4096.0
	if w.streams {
		work.PrefillTokens, work.MemoryTokens = prompt, prompt+125
		size = 4*float64(prompt) + 200*125
		choice, _ := c.m.pickEngine(r, r.demand())
		up = choice.engine
	} else {
		up, _ = c.m.pickCallUpstream(r)
	}
	w.count(c.domain, up.FailureDomain, size)
	c.m.opts.Commitments.Add(up.ID, work)
	c.demand.RecordStart(service, work.MemoryTokens)
	ready, finish := w.upstreams[up.ID].serve(now, up.FailureDomain != c.domain, w.streams, prompt)
	w.waits = append(w.waits, ready.Sub(now))
	if w.streams {
		w.at(ready, func(time.Time) {
			c.m.opts.Commitments.Remove(up.ID, commitment.Work{PrefillTokens: prompt})
		})
		work.PrefillTokens = 0
	}
	w.at(finish, func(end time.Time) {
		c.m.opts.Commitments.Remove(up.ID, work)
		c.demand.RecordEnd(service, work.MemoryTokens, finish.Sub(now), end)
	})
}

// serve queues a request at the upstream and returns when its caller gets the answer or the
// first event, and when it ends.
func (u *playedUpstream) serve(now time.Time, remote, stream bool, prompt int) (ready, finish time.Time) {
	transit := time.Duration(0)
	if remote {
		transit = playedOneWay
	}
	slot := 0
	for i := range u.free {
		if u.free[i].Before(u.free[slot]) {
			slot = i
		}
	}
	begin := now.Add(transit)
	if u.free[slot].After(begin) {
		begin = u.free[slot]
	}
	service := playedCallTime
	if stream {
		service = time.Duration(float64(prompt) / assumedPrefillRate * float64(time.Second))
	}
	u.free[slot] = begin.Add(service)
	ready = begin.Add(service + transit)
	finish = ready
	if stream {
		finish = ready.Add(playedDecodeTime)
	}
	return ready, finish
}

func (w *domainWorld) count(home, domain model.FailureDomain, size float64) {
	w.work.requests++
	w.bytes.total += size
	w.direction[[2]model.FailureDomain{home, domain}]++
	if home != domain {
		w.work.left++
		w.bytes.left += size
	}
}

// domainResult is what a play measured.
type domainResult struct {
	work, bytes float64 // shares that left the domain
	mean, p99   time.Duration
	direction   map[[2]model.FailureDomain]int
}

func (w *domainWorld) result() domainResult {
	slices.Sort(w.waits)
	var sum time.Duration
	for _, wait := range w.waits {
		sum += wait
	}
	return domainResult{
		work:      float64(w.work.left) / float64(w.work.requests),
		bytes:     w.bytes.left / w.bytes.total,
		mean:      sum / time.Duration(len(w.waits)),
		p99:       w.waits[len(w.waits)*99/100],
		direction: w.direction,
	}
}

// String returns the result for logs.
func (r domainResult) String() string {
	return fmt.Sprintf("left: %.3f of the work, %.3f of the bytes; wait: mean %v, p99 %v", r.work, r.bytes, r.mean, r.p99)
}

// domainPlay is one load pattern over the failure domains.
type domainPlay struct {
	name     string
	streams  bool
	rate     func(domain model.FailureDomain, second float64) float64 // nil means the calm rate
	down     func(domain model.FailureDomain, second float64) bool
	exchange func(second int) bool

	stays      bool // less work must leave the domain than without shares
	overloaded bool
	seconds    int
}

func calmRate(streams bool) float64 {
	if streams {
		return 5
	}
	return 43
}

// playDomains plays the pattern and returns what was measured.
func playDomains(t *testing.T, p domainPlay, planned bool, seed uint64) (result domainResult) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newDomainWorld(seed, p.streams, planned)
		w.rate = func(domain model.FailureDomain, second float64) float64 {
			if p.rate != nil {
				return p.rate(domain, second) * calmRate(p.streams)
			}
			return calmRate(p.streams)
		}
		if p.down != nil {
			w.down = p.down
		}
		if p.exchange != nil {
			w.exchange = p.exchange
		}
		w.run(p.seconds)
		result = w.result()
	})
	return result
}

func domainPlays() (plays []domainPlay) {
	shift := func(domain model.FailureDomain, second float64) float64 {
		switch {
		case second < 8:
			return 1
		case (domain == "a") == (second < 19):
			return 4.5
		default:
			return 0.5
		}
	}
	loss := func(domain model.FailureDomain, second float64) bool {
		return domain == "a" && second >= 6 && second < 24 || domain == "b" && second >= 12 && second < 18
	}
	for _, streams := range []bool{false, true} {
		kind := "calls"
		if streams {
			kind = "streams"
		}
		overload := func(model.FailureDomain, float64) float64 {
			if streams {
				return 3
			}
			return 5
		}
		plays = append(plays,
			domainPlay{name: kind + "/calm", seconds: 20, streams: streams, stays: streams},
			domainPlay{name: kind + "/domains lost", seconds: 30, streams: streams, down: loss},
			domainPlay{name: kind + "/callers shift", seconds: 30, streams: streams, rate: shift},
			domainPlay{name: kind + "/overload", seconds: 10, streams: streams, rate: overload, stays: true, overloaded: true},
			domainPlay{name: kind + "/stale", seconds: 15, streams: streams, rate: shift, exchange: func(second int) bool { return second < 4 }},
		)
	}
	return plays
}

// Guards against work that leaves its failure domain without need, and against callers who
// wait longer because it stays. They may wait longer by what leaving was weighed at.
func TestWorkLeavesTheDomainOnlyOnNeed(t *testing.T) {
	for _, p := range domainPlays() {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(2) {
				before, after := playDomains(t, p, false, seed), playDomains(t, p, true, seed)
				t.Logf("seed %d before: %s", seed, before)
				t.Logf("seed %d after:  %s", seed, after)
				held := playedCallTime
				if p.streams {
					held = before.mean + playedDecodeTime
				}
				assert.Assert(t, after.mean <= before.mean+locality.LeaveTime(held), "callers wait longer")
				if p.stays {
					assert.Assert(t, after.work < before.work && after.bytes < before.bytes, "more work leaves")
				}
				if !p.streams && !p.overloaded {
					assert.Assert(t, after.p99 <= playedCallObjective, "calls are late")
				}
			}
		})
	}
}

// Guards against callers who wait at home beside idle domains, and against two domains that
// take each other's work.
func TestShortDomainSendsWorkOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDomainWorld(1, false, true)
		w.rate = func(domain model.FailureDomain, _ float64) float64 {
			if domain == "a" {
				return 2 * 6 / playedCallTime.Seconds()
			}
			return calmRate(false)
		}
		w.run(10)
		for _, c := range w.cells {
			shares := c.m.shares("desk", time.Now())
			assert.Equal(t, shares.Out() > 0.3, c.domain == "a", "%s: %+v", c.name, shares)
		}
	})
}

// Guards against a domain that sends out work although all are as short as it is.
func TestEqualOverloadPlansNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDomainWorld(1, false, true)
		w.rate = func(model.FailureDomain, float64) float64 { return 5 * calmRate(false) }
		w.run(10)
		for _, c := range w.cells {
			shares := c.m.shares("desk", time.Now())
			assert.Assert(t, shares.Active)
			assert.Equal(t, shares.Out(), 0.0, "%s: %+v", c.name, shares)
		}
	})
}

// Guards against placements that change where the inputs are missing or old, or where the
// settings name one failure domain.
func TestUnknownDemandChangesNothing(t *testing.T) {
	for _, p := range domainPlays() {
		if p.stays || p.exchange != nil {
			continue // the others have the same steps and more changes
		}
		p.exchange = func(int) bool { return false }
		t.Run(p.name, func(t *testing.T) {
			before, after := playDomains(t, p, false, 1), playDomains(t, p, true, 1)
			assert.DeepEqual(t, after.direction, before.direction)
			assert.Equal(t, after.mean, before.mean)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		w := newDomainWorld(1, false, true)
		w.rate = func(model.FailureDomain, float64) float64 { return 43 }
		w.exchange = func(second int) bool { return second < 3 }
		w.run(4)
		assert.Assert(t, w.cells[0].m.shares("desk", time.Now()).Active)
		time.Sleep(localityTTL + time.Second)
		assert.Assert(t, !w.cells[0].m.shares("desk", time.Now()).Active)
		w.cells[0].m.planLocality(time.Now())
		assert.Assert(t, !w.cells[0].m.shares("desk", time.Now()).Active)
	})
	synctest.Test(t, func(t *testing.T) {
		w := newDomainWorld(1, false, true)
		w.rate = func(model.FailureDomain, float64) float64 { return 43 }
		// An instance of the cell does not report, as one of an earlier build.
		w.cells[0].m.opts.CellMembers = func() int { return 1 }
		w.run(4)
		assert.Assert(t, !w.cells[0].m.shares("desk", time.Now()).Active)
		assert.Assert(t, w.cells[1].m.shares("desk", time.Now()).Active)
	})
	withHarness(t, func(b *harness) {
		b.m.opts.FailureDomains = 1
		b.m.StartLocality()
		b.advance(3 * localityInterval)
		assert.Assert(t, b.m.localities.current.Load() == nil)
	})
}
