package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// randomSend is what a random engine has done with a send.
type randomSend struct {
	begun, over bool // the stream began; nothing follows
	ran         bool // the engine began to run the request
	position    Position
	due         time.Time // of the next step
}

// randomEngines answer the sends of a harness at random: with events, pauses, silence,
// refusals, failures and broken connections.
type randomEngines struct {
	b    *harness
	rand *rand.Rand
	runs map[*fakeSend]*randomSend
}

func (e *randomEngines) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); e.b.advance(20 * time.Millisecond) {
		e.b.probesFail.Store(e.rand.IntN(3) == 0)
		open := map[model.RequestID]int{}
		for _, s := range e.b.sent() {
			if e.runs[s] == nil {
				e.runs[s] = &randomSend{position: s.LastPosition, due: time.Now().Add(time.Duration(e.rand.IntN(300)) * time.Millisecond)}
			}
			if run := e.runs[s]; !run.over && !e.b.isCancelled(s) && !time.Now().Before(run.due) {
				e.step(s, run)
			}
			if s.Stream && !e.runs[s].over && !e.b.isCancelled(s) {
				open[s.Request.ID]++
				assert.Check(e.b.t, open[s.Request.ID] == 1, "two engines run stream %s", s.Request.ID)
			}
		}
	}
}

func (e *randomEngines) step(s *fakeSend, run *randomSend) {
	run.due = time.Now().Add(time.Duration(20+e.rand.IntN(60)) * time.Millisecond)
	if !run.begun {
		e.begin(s, run)
		return
	}
	switch n := e.rand.IntN(100); {
	case n < 82:
		run.position++
		s.event(run.position)
	case n < 90:
		run.due = time.Now().Add(time.Duration(e.rand.IntN(2500)) * time.Millisecond)
	case n < 92:
		run.due = time.Now().Add(time.Hour)
	case n < 94:
		run.over = true
		s.ConnectionClosed()
	case n < 97:
		run.over = true
		s.Lost(continuation.LossReset, "reset", true)
	default:
		run.over = true
		s.StreamEnded()
	}
}

func (e *randomEngines) begin(s *fakeSend, run *randomSend) {
	n := e.rand.IntN(100)
	if run.ran {
		n = 99 // it began to run the request at an earlier step
	}
	switch {
	case n < 15:
		run.over = true
		s.Answered(Answer{Status: 503, NotRun: true, Pause: time.Duration(e.rand.IntN(2)) * 300 * time.Millisecond})
	case n < 20:
		run.over = true
		s.Lost(continuation.LossDial, "refused", false)
	case n < 23:
		run.over = true
		s.Answered(Answer{Status: 421, NotRun: true, AddressReassigned: true})
	case n < 35:
		run.over, run.ran = true, true
		s.Lost(continuation.LossReset, "reset", true)
	case n < 42:
		run.over, run.ran = true, true
		s.Answered(Answer{Status: []int{200, 400, 500, 504}[e.rand.IntN(4)]})
	case n < 50:
		run.ran = true
		run.due = time.Now().Add(time.Duration(e.rand.IntN(20000)) * time.Millisecond)
	default:
		run.begun, run.ran = true, true
		s.StreamBegan(200, nil)
		if s.Upstream.Serves == "desk" {
			run.over = true
			s.Answered(Answer{Status: 200})
		}
	}
}

// Guards against requests that end twice or never, keep their place in a table, are sent
// more often than their route allows or to two engines at once, or are refused as not run
// after an engine ran them.
func TestRandomEngines(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { withHarness(t, func(b *harness) { runRandomEngines(t, b, seed) }) })
	}
}

func runRandomEngines(t *testing.T, b *harness, seed uint64) {
	e := &randomEngines{b: b, rand: rand.New(rand.NewPCG(seed, 0)), runs: map[*fakeSend]*randomSend{}}
	routes := b.m.opts.Rules.Current().Routes
	type request struct {
		id    model.RequestID
		reply *countedReply
		route model.HostRoute
		leave bool
	}
	var all []request
	for i := range 12 {
		route := routes[e.rand.IntN(len(routes))]
		req := b.request(route.Prefix + fmt.Sprint(i))
		if route.Stream && e.rand.IntN(4) == 0 {
			req.LastPosition = 3
		}
		r := request{req.ID, &countedReply{}, route, e.rand.IntN(6) == 0}
		left := b.m.Submit(req, r.reply)
		if r.leave {
			b.pool.After(time.Duration(e.rand.IntN(5000))*time.Millisecond, "test", worker.Func(left))
		}
		all = append(all, r)
		e.run(time.Duration(e.rand.IntN(400)) * time.Millisecond)
		if e.rand.IntN(5) == 0 {
			b.budget.usedUp.Store(!b.budget.usedUp.Load())
		}
	}
	if e.rand.IntN(3) == 0 {
		for _, up := range engines(b) {
			b.upstreams.Leave(up.ID)
		}
	}
	if e.rand.IntN(3) == 0 {
		e.run(2 * time.Second)
		b.m.EndAll()
	}
	e.run(26 * time.Second)
	assert.Equal(t, b.m.Running(), 0)
	assert.Equal(t, b.m.heldCount.Load(), int64(0))
	for id, work := range b.m.opts.Commitments.Totals(time.Now()) {
		assert.Check(t, work.Requests == 0 && work.PrefillTokens == 0 && work.MemoryTokens == 0 && work.CopyTokens == 0, "%s %+v", id, work)
	}
	for _, row := range b.upstreams.Serving("") {
		assert.Check(t, row.InFlight == 0, "%s", row.Upstream.ID)
	}
	for _, r := range all {
		ran, open := 0, 0
		for _, s := range b.sent() {
			if s.Request.ID != r.id {
				continue
			}
			if e.runs[s] != nil && e.runs[s].ran && s.ResumeFrom == nil { // a copy continues the same run
				ran++
			}
			if e.runs[s] == nil || (!e.runs[s].over && !b.isCancelled(s)) {
				open++
			}
		}
		what := fmt.Sprintf("%s on %s: %+v", r.id, r.route.Name, r.reply)
		assert.Check(t, ran <= r.route.MaxAttempts, "ran %d times: %s", ran, what)
		assert.Check(t, open == 0, what)
		assert.Check(t, r.reply.ends == 1 || (r.leave && r.reply.ends == 0), what)
		assert.Check(t, !r.reply.late, what)
		if r.reply.refused != nil && r.reply.refused.Outcome == model.OutcomeNotRun {
			assert.Check(t, ran == 0, "%+v %s", *r.reply.refused, what)
		}
	}
}

// countedReply counts the ends of a response.
type countedReply struct {
	fakeReply
	ends int
	late bool // a part followed the end, or had the wrong place
}

func (c *countedReply) end(ok bool) {
	c.late = c.late || !ok
	c.ends++
}

func (c *countedReply) Answer(a Answer) {
	c.end(len(c.heads) == 0 && c.ends == 0)
	c.fakeReply.Answer(a)
}

func (c *countedReply) Refuse(r *model.Refusal) {
	c.end(len(c.heads) == 0 && c.ends == 0)
	c.fakeReply.Refuse(r)
}

func (c *countedReply) Begin(status int, h Header) {
	c.late = c.late || c.ends > 0 || len(c.heads) > 0
	c.fakeReply.Begin(status, h)
}

func (c *countedReply) Events(raw []byte) {
	c.late = c.late || c.ends > 0 || len(c.heads) != 1
	c.fakeReply.Events(raw)
}

func (c *countedReply) End() {
	c.end(len(c.heads) == 1 && c.ends == 0)
	c.fakeReply.End()
}

func (c *countedReply) Abort() {
	c.end(len(c.heads) == 1 && c.ends == 0)
	c.fakeReply.Abort()
}
