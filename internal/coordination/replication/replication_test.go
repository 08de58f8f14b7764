package replication

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const request = model.RequestID("entry-0-abc")

// caller is a client that reads a generation and reconnects.
type caller struct {
	at     model.InstanceID
	line   model.LineID
	tokens []string
	reader Reader
}

// simulation runs one generation with callers on a faulty network and checks
// each caller's tokens. streams holds the engine streams that still run; the
// tokens of a stream follow from its ID.
type simulation struct {
	t         *testing.T
	script    []uint64 // choices not yet used
	violation string   // first violation; rapid must report it outside of the synctest bubble
	net       *network
	streams   map[model.StreamID]bool
	owners    []model.InstanceID // instances that run a line, newest last
	callers   []*caller
}

func newSimulation(t *testing.T, seed uint64, script []uint64) *simulation {
	s := &simulation{t: t, script: script, net: newNetwork(seed, 6), streams: map[model.StreamID]bool{}}
	s.runRecord("entry-0", generation.Record{Spec: model.GenerationSpec{Request: request, Prompt: "p"}, Line: s.net.newLine("entry-0", request)})
	s.callers = []*caller{{at: "entry-0", line: "L1"}, {at: "entry-0", line: "L1"}}
	s.net.faults = true
	return s
}

// runRecord makes an instance own and run a record, as the relay does.
func (s *simulation) runRecord(id model.InstanceID, r generation.Record) {
	r.CopyAfter = time.Now().Add(time.Second)
	s.owners = append(s.owners, id)
	n := s.net.nodes[id]
	n.table.Insert(r)
	s.startAttempt(id)
	s.runOn(id, func() {
		r, _ := n.table.Get(request)
		n.manager.GenerationOpened(r)
	})
}

// choose takes the next choice below n from the script.
func (s *simulation) choose(n int) int {
	if len(s.script) == 0 {
		return 0
	}
	c := s.script[0]
	s.script = s.script[1:]
	return int(c % uint64(n))
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) runOn(id model.InstanceID, f func()) {
	n := s.net.nodes[id]
	n.pool.Post(worker.Key(request), worker.Func(f))
	synctest.Wait()
}

// startAttempt starts the next attempt of a record. Cancelling the previous
// attempt can fail; its stream then keeps running.
func (s *simulation) startAttempt(id model.InstanceID) {
	n := s.net.nodes[id]
	cancelled := s.choose(2) == 0
	s.runOn(id, func() {
		n.table.Update(request, func(r *generation.Record) {
			if cancelled {
				delete(s.streams, r.Attempt.Stream)
			}
			number := r.Attempt.Number + 1
			stream := model.StreamID(fmt.Sprintf("%s.%d", r.Line, number))
			r.Attempt = generation.Attempt{Number: number, Stream: stream, First: len(r.Tokens)}
			s.streams[stream] = true
		})
		n.manager.TokensAccepted(request)
	})
}

func (s *simulation) produce(id model.InstanceID, count int) {
	n := s.net.nodes[id]
	s.runOn(id, func() {
		n.table.Update(request, func(r *generation.Record) {
			for range count {
				r.Tokens = append(r.Tokens, token(r.Attempt.Stream, len(r.Tokens)))
			}
		})
		n.manager.TokensAccepted(request)
	})
}

func token(stream model.StreamID, position int) string {
	return fmt.Sprintf("%s#%d", stream, position)
}

// read reads the tokens that the caller's instance shows, without waiting for
// long.
func (s *simulation) read(c *caller) {
	if s.net.nodes[c.at].dead {
		c.reader = nil
	}
	if c.reader == nil && !s.reconnect(c) {
		return
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		batch, err := c.reader.Next(ctx)
		cancel()
		if err != nil || batch.Removed {
			return
		}
		if batch.First != len(c.tokens) {
			s.fail("caller at position %d got tokens from position %d", len(c.tokens), batch.First)
		}
		c.tokens = append(c.tokens, batch.Tokens...)
		c.line = batch.Line
	}
}

// reconnect moves the caller to a live instance and locates its log there.
func (s *simulation) reconnect(c *caller) bool {
	c.at = s.pickNode(s.liveNodes())
	n := s.net.nodes[c.at]
	source, err := n.manager.Locate(context.Background(), request, c.line, len(c.tokens))
	var missing *NotLocatedError
	if errors.As(err, &missing) {
		return false
	}
	assert.NilError(s.t, err)
	if source.Kind == SourceCopied {
		return s.takeOver(c, source)
	}
	c.reader = source.Reader
	if source.Kind == SourceRemote && s.net.nodes[source.Owner].dead {
		s.fail("followed the dead instance %s", source.Owner)
	}
	c.at = source.Owner
	return true
}

// takeOver continues a copied log as the relay does.
func (s *simulation) takeOver(c *caller, source Source) bool {
	r, n := source.Record, s.net.nodes[c.at]
	if _, taken := n.table.Get(request); taken {
		return false
	}
	if source.NeedsStream {
		if !s.streams[r.Attempt.Stream] {
			return false
		}
		r.Attempt.Attached, r.TakenOver = true, r.Attempt.Stream
		for len(r.Tokens) < len(c.tokens) {
			r.Append([]string{token(r.Attempt.Stream, len(r.Tokens))})
		}
	}
	if !r.Contains(c.line, len(c.tokens)) {
		s.fail("record %v does not hold position %d of line %s", r.Forks, len(c.tokens), c.line)
	}
	s.runRecord(c.at, r)
	c.reader = n.table.NewCursor(request, len(c.tokens))
	return true
}

func (s *simulation) pickNode(from []model.InstanceID) model.InstanceID {
	return from[s.choose(len(from))]
}

func (s *simulation) liveNodes() []model.InstanceID {
	var live []model.InstanceID
	for i := range len(s.net.nodes) {
		if id := member(i).ID; !s.net.nodes[id].dead {
			live = append(live, id)
		}
	}
	return live
}

// check compares each caller's tokens with the log that the caller reads.
func (s *simulation) check() {
	for _, c := range s.callers {
		r, ok := s.net.nodes[c.at].table.Get(request)
		if !ok || c.reader == nil {
			continue
		}
		if len(c.tokens) > len(r.Tokens) || !slices.Equal(c.tokens, r.Tokens[:len(c.tokens)]) {
			s.fail("caller holds %v, line %s is %v", c.tokens, r.Line, r.Tokens)
		}
	}
}

func (s *simulation) step() {
	var owners []model.InstanceID
	for _, id := range s.owners {
		if !s.net.nodes[id].dead {
			owners = append(owners, id)
		}
	}
	c := s.callers[s.choose(len(s.callers))]
	switch action := s.choose(16); {
	case action == 0 && len(owners) > 0 && len(s.liveNodes()) > 2:
		s.net.kill(owners[len(owners)-1])
	case action == 1 && len(s.liveNodes()) > 3:
		s.net.kill(s.pickNode(s.liveNodes()))
	case action <= 3 && len(owners) > 0:
		s.startAttempt(s.pickNode(owners))
	case action == 4:
		c.reader = nil
	case action <= 6:
		time.Sleep([]time.Duration{1, 20, 160, 700}[s.choose(4)] * time.Millisecond)
	case action <= 10 && len(owners) > 0:
		s.produce(s.pickNode(owners), 1+s.choose(5))
	default:
		s.read(c)
	}
	s.check()
}

// Guards against missing, repeated or mixed tokens after the loss of owners
// and holders, with lost, late and repeated messages.
func TestTakeoverNeverMixesLines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "network")
		script := rapid.SliceOfN(rapid.Uint64Max(1<<16), 20, 200).Draw(rt, "script")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, script)
			for len(s.script) > 0 && s.violation == "" {
				s.step()
			}
			s.net.close()
			failure = s.violation
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against a token that is shown before it is copied, and against a
// token that is held back for longer than AckTimeout.
func TestHoldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1, 3)
		defer net.close()
		n := net.nodes["entry-0"]
		r := generation.Record{Spec: model.GenerationSpec{Request: request}, Line: "L", CopyAfter: time.Now().Add(time.Second)}
		r.Attempt.Number = 1
		n.table.Insert(r)
		post := func(f func()) { n.pool.Post(worker.Key(request), worker.Func(f)); synctest.Wait() }
		produce := func() {
			post(func() {
				n.table.Update(request, func(r *generation.Record) { r.Tokens = append(r.Tokens, "x") })
				n.manager.TokensAccepted(request)
			})
		}
		visible := func() int { r, _ := n.table.Get(request); return r.VisibleTokens() }
		post(func() { n.manager.GenerationOpened(r) })
		produce()
		assert.Equal(t, visible(), 1, "a young generation shows tokens at once")
		time.Sleep(1100 * time.Millisecond)
		produce()
		assert.Equal(t, visible(), 1, "an uncopied token is held back")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, visible(), 2, "a copied token is shown")

		p, _ := n.manager.progress.Get(request)
		net.nodes[p.Holder].dead = true
		produce()
		time.Sleep(AckTimeout - time.Millisecond)
		assert.Equal(t, visible(), 2, "held back until the limit")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, visible(), 3, "shown after the limit")
		time.Sleep(10 * time.Millisecond)
		next, _ := n.manager.progress.Get(request)
		assert.Assert(t, next.Holder != p.Holder)
		assert.Equal(t, next.AckedTokens, 3, "the next holder gets the whole log")
	})
}

// Guards against copies that are never dropped or that exceed the memory
// bound.
func TestHolderExpiryAndBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := worker.NewPool(worker.Options{Workers: 1})
		defer pool.Close()
		h := NewHolder(HolderOptions{Pool: pool, MaxBytes: 1000})
		open := func(id string) Ack {
			spec := model.GenerationSpec{Request: model.RequestID(id), Prompt: string(make([]byte, 400))}
			ack, err := h.HandleOpen(t.Context(), Open{Header: Header{Spec: spec, Line: "L"}})
			assert.NilError(t, err)
			return ack
		}
		assert.Assert(t, open("a-1").Exists && open("a-2").Exists)
		assert.Assert(t, open("a-3").Refused, "no room")
		_, err := h.HandleClose(t.Context(), Close{Request: "a-1", Line: "L", End: &generation.End{}})
		assert.NilError(t, err)
		assert.Assert(t, open("a-3").Exists, "a closed copy makes room")
		time.Sleep(openCopyLifetime + 2*sweepInterval)
		assert.Equal(t, h.Bytes(), 0)
	})
}

// Guards against an owner that is not found because its name has dashes.
func TestOwner(t *testing.T) {
	owner, ok := Owner("zone-a-entry-7-mfrgg")
	assert.Assert(t, ok)
	assert.Equal(t, owner, model.InstanceID("zone-a-entry-7"))
	_, ok = Owner("nodash")
	assert.Assert(t, !ok)
}

// TestMain sets a fixed seed. Flags of the command line override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
