package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Streams of the replay. Engines read one prompt at a time and generate while they read.
// They queue streams up to their places and turn away more; a stream is read when there is
// memory for all of it. The instances know each other's work at once, as those of a cell
// do after 5 ms. With present set, a stream goes to the engine with the least work however
// full it is.
const (
	simStreamSeeds = 12 // a replay has few streams: with 3 seeds, chance decides the sign of small differences
	simEngines     = 12
	simPlaces      = 16
	simMemory      = 55_000
	simPrompt      = 5_200
	simEvents      = 130
	simTokens      = simPrompt + simEvents // memory of a stream
	simReadRate    = 5_000                 // tokens/s
	simInterval    = 50 * time.Millisecond
	simStreamRate  = simEngines * simReadRate / float64(simPrompt) // streams/s, by the reading of prompts
	simPerEngine   = simMemory / simTokens
	simUsable      = simMemory * 9 / 10 // capacity.MemoryFillLimit
	simReplace     = 50 * time.Millisecond
	simRecheck     = 20 * time.Millisecond
	simLossPoll    = 10 * time.Millisecond
	simReturnFixed = 200 * time.Millisecond
	simPatience    = 4 // callers without an event leave after so many objectives
)

var streamTimes = loadTimes{length: 60 * time.Second, objective: 4500 * time.Millisecond, limit: 25 * time.Second}

// simStream is the progress of a stream.
type simStream struct {
	attempt    int
	delivered  int       // events
	read       int       // prompt tokens that engines read to the end
	firstEvent time.Time // zero means that there was none
	reading    time.Time // begin of this attempt's reading; zero means none
	generating time.Time // begin of this attempt's events; zero means none
	lostAt     time.Time
}

// simEngine is the state of an engine, beside its queue and the number that runs.
type simEngine struct {
	reader  *simCall
	started []*simCall
}

func (up *simUpstream) streams() int { return len(up.queue) + len(up.started) }

// startStream has the caller leave if it gets no event.
func (s *sim) startStream(c *simCall) {
	s.after(simPatience*s.objective, func() {
		if c.firstEvent.IsZero() && !c.done {
			s.timedOut++
			s.end(c, false)
		}
	})
}

func (s *sim) streamRequest(c *simCall) Request {
	req := Request{
		ID: c.id, Serves: "s", Organisation: c.org, Priority: c.priority, CallerDeadline: c.first.Add(s.limit),
		Deadline:     c.first.Add(min(2*s.objective, s.limit/2)),
		Objective:    c.first.Add(s.objective - simPrompt*time.Second/simReadRate),
		MemoryTokens: simTokens,
	}
	if c.delivered > 0 {
		req.Priority, req.Deadline, req.Objective = model.PriorityResume, c.first.Add(s.limit), time.Time{}
	}
	return req
}

// engineSupply is the rule of forward for streams. Each instance may use all free places:
// memory is the bound here.
func (s *sim) engineSupply() Supply {
	p := Supply{Engines: Engines{Limited: true}}
	for i, up := range s.upstreams {
		if slots := s.slots(s.elapsed(), i); slots > 0 {
			p.Slots += slots
			p.Engines.Free = append(p.Engines.Free, simUsable-up.streams()*simTokens)
			p.Engines.Running += up.streams()
		}
	}
	if len(p.Engines.Free) == 0 { // no engine is known: nothing is full
		return Supply{Slots: Unlimited}
	}
	return p
}

// checkEngines loses the streams of lost engines and looks for room for waiting streams.
func (s *sim) checkEngines() {
	if s.engines == 0 || s.elapsed() > s.length+s.limit {
		return
	}
	for i, up := range s.upstreams {
		for s.slots(s.elapsed(), i) == 0 && up.streams() > 0 {
			c := append(slices.Clone(up.started), up.queue...)[0]
			s.removeStream(c)
			c.lostAt = s.now
			s.place(c)
		}
	}
	for _, in := range s.instances {
		if !s.present && in.state.Queue("s").Len() > 0 {
			s.apply(admitWaiting(in.state, "s", s.supply(), s.now))
		}
	}
	s.after(min(simLossPoll, simRecheck), s.checkEngines)
}

// place places a stream, which is admitted unless the replay is of the code before.
func (s *sim) place(c *simCall) {
	var best *simUpstream
	for _, i := range s.rand.Perm(len(s.upstreams)) {
		up := s.upstreams[i]
		if s.slots(s.elapsed(), i) > up.streams() && (best == nil || up.streams() < best.streams()) {
			best = up
		}
	}
	if best == nil || (!s.present && simUsable < (best.streams()+1)*simTokens) {
		s.leave(c, false)
		s.after(simReplace, func() { s.placeAgain(c) })
		return
	}
	s.sends++
	c.on = best
	best.queue = append(best.queue, c)
	s.work(best)
}

// placeAgain tries again to place a stream that no engine took.
func (s *sim) placeAgain(c *simCall) {
	switch {
	case c.done:
	case !s.present:
		s.enter(c)
	case c.delivered == 0 && s.now.Sub(c.first) > min(2*s.objective, s.limit/2):
		s.refused(c, simReturnFixed)
	default:
		s.place(c)
	}
}

// work has the engine read the next prompt.
func (s *sim) work(up *simUpstream) {
	if up.reader != nil || len(up.queue) == 0 || len(up.started) >= simPerEngine {
		return
	}
	c := up.queue[0]
	up.queue, up.started, up.reader = up.queue[1:], append(up.started, c), c
	c.reading = s.now
	attempt := c.attempt
	s.after(time.Duration(simPrompt+c.delivered)*time.Second/simReadRate, func() {
		if c.attempt != attempt {
			return
		}
		up.reader, c.generating = nil, s.now
		c.read += simPrompt + c.delivered
		if c.firstEvent.IsZero() {
			c.firstEvent = s.now
		}
		s.after(time.Duration(simEvents-c.delivered)*simInterval, func() {
			if c.attempt == attempt {
				s.end(c, true)
			}
		})
		s.work(up)
	})
}

// removeStream takes a stream off its engine, before its end or at it.
func (s *sim) removeStream(c *simCall) {
	up := c.on
	if up == nil {
		return
	}
	isStream := func(o *simCall) bool { return o == c }
	up.queue, up.started = slices.DeleteFunc(up.queue, isStream), slices.DeleteFunc(up.started, isStream)
	if up.reader == c {
		s.wasted += int(s.now.Sub(c.reading).Seconds() * simReadRate)
		up.reader = nil
	}
	if !c.generating.IsZero() {
		c.delivered = min(c.delivered+1+int(s.now.Sub(c.generating)/simInterval), simEvents)
	}
	c.reading, c.generating, c.on = time.Time{}, time.Time{}, nil
	c.attempt++
	s.work(up)
}

// countStream counts a stream that ended, by the time of its first event.
func (s *sim) countStream(c *simCall, whole bool) {
	switch {
	case !c.firstEvent.IsZero() && c.firstEvent.Sub(c.first) <= s.objective:
		s.served[c.callKind]++
	case !c.firstEvent.IsZero():
		s.late++
	}
	if !whole {
		s.wasted += c.read
	}
	if !whole && c.delivered > 0 {
		s.cut++
	}
}

// Guards against streams that are served worse with admission than when all are sent at
// once: fewer first events in time, more prompt tokens read for nothing, and an organisation
// or a class that starves. In calm load nothing may differ.
func TestReplayOfStreams(t *testing.T) {
	steady := func(time.Duration) float64 { return 0.6 * simStreamRate }
	all := func(time.Duration, int) int { return simPlaces }
	lost := func(first, next, back time.Duration) func(time.Duration, int) int {
		return func(at time.Duration, up int) int {
			if domain := up % 3; at < back && ((domain == 0 && at > first) || (domain == 1 && at > next)) {
				return 0
			}
			return simPlaces
		}
	}
	base := load{rate: steady, caller: anyCaller, slots: all, perCell: simInstances, engines: simEngines, loadTimes: streamTimes}
	for _, c := range []struct {
		name   string
		change func(*load)
	}{
		{nameCalm, func(l *load) { l.rate = func(time.Duration) float64 { return 0.3 * simStreamRate } }},
		{"a failure domain lost, then the next", func(l *load) { l.slots = lost(15*time.Second, 22*time.Second, 45*time.Second) }},
		{"all back at once", func(l *load) {
			l.slots = func(at time.Duration, _ int) int {
				if at > 20*time.Second && at < 25*time.Second {
					return 0
				}
				return simPlaces
			}
		}},
		{"burst x3", func(l *load) {
			l.rate = func(at time.Duration) float64 {
				if at > 15*time.Second && at < 35*time.Second {
					return 1.8 * simStreamRate
				}
				return 0.6 * simStreamRate
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := base
			c.change(&l)
			before, after := replay(l, true, 1), replay(l, false, 1)
			for seed := uint64(2); seed <= simStreamSeeds; seed++ {
				before.add(replay(l, true, seed))
				after.add(replay(l, false, seed))
			}
			show := func(s *sim) string {
				return fmt.Sprintf("first event in time %d, late %d, no event in time %d, of %d; cut %d; tokens read for nothing %d; sends %d",
					total(s.served), s.late, s.timedOut, total(s.asked), s.cut, s.wasted, s.sends)
			}
			t.Logf("present:   %s", show(before))
			t.Logf("admission: %s", show(after))
			if c.name == nameCalm {
				assert.Equal(t, total(after.served), total(before.served))
				assert.Equal(t, after.sends, before.sends)
				return
			}
			assert.Check(t, total(after.served) >= total(before.served), "first events in time")
			assert.Check(t, after.wasted <= before.wasted, "tokens read for nothing")
			for kind := range after.asked {
				assert.Check(t, after.served[kind] > 0, "%v starves", kind)
			}
		})
	}
}
