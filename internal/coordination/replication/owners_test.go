package replication

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

const sharedStream model.StreamID = "s"

// takeoverScenario runs one generation as the relay does. Its owners are lost
// one after another while its engine stream keeps running.
type takeoverScenario struct {
	t      *testing.T
	id     model.RequestID
	net    *network
	caller caller
}

func newTakeoverScenario(t *testing.T, id model.RequestID) *takeoverScenario {
	s := &takeoverScenario{t: t, id: id, net: newNetwork(1, 12), caller: caller{at: "entry-0", line: "L0"}}
	r := generation.Record{Spec: model.GenerationSpec{Request: id, Prompt: "p"}, Line: "L0"}
	r.CopyAfter = time.Now().Add(time.Second)
	r.Attempt = generation.Attempt{Number: 1, Stream: sharedStream, Open: true}
	s.runRecord(r)
	return s
}

// runRecord inserts a record on the caller's instance, which then owns it.
func (s *takeoverScenario) runRecord(r generation.Record) {
	n := s.net.nodes[s.caller.at]
	assert.Assert(s.t, n.table.Insert(r))
	s.post(func() {
		n.manager.GenerationOpened(r)
		n.manager.TokensAccepted(s.id)
	})
	s.caller.reader = n.table.NewCursor(s.id, len(s.caller.tokens))
}

func (s *takeoverScenario) post(f func()) {
	s.net.nodes[s.caller.at].pool.Post(worker.Key(s.id), worker.Func(f))
	synctest.Wait()
}

// produce delivers tokens of the engine stream to the owner and from there to
// the caller.
func (s *takeoverScenario) produce(count int) {
	n := s.net.nodes[s.caller.at]
	for range count {
		s.post(func() {
			n.table.Update(s.id, func(r *generation.Record) {
				r.Append([]string{token(sharedStream, len(r.Tokens))})
			})
			n.manager.TokensAccepted(s.id)
		})
		s.read()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *takeoverScenario) read() {
	c := &s.caller
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Millisecond)
	defer cancel()
	batch, err := c.reader.Next(ctx)
	if err != nil {
		return
	}
	assert.Equal(s.t, batch.First, len(c.tokens))
	c.tokens = append(c.tokens, batch.Tokens...)
	c.line = batch.Line
}

// killOwner stops the owner without marking it as dead on other instances, and
// moves the caller to another instance.
func (s *takeoverScenario) killOwner(next model.InstanceID) error {
	s.net.mu.Lock()
	s.net.nodes[s.caller.at].dead = true
	s.net.mu.Unlock()
	c := &s.caller
	c.at = next
	source, err := s.net.nodes[next].manager.Locate(s.t.Context(), s.id, c.line, len(c.tokens))
	if err != nil {
		return fmt.Errorf("position %d of line %s: %w", len(c.tokens), c.line, err)
	}
	assert.Equal(s.t, source.Kind, SourceCopied)
	r := source.Record
	r.CopyAfter = time.Now()
	r.TakenOver = r.Attempt.Stream
	r.Attempt.Number++
	r.Attempt.First = len(r.Tokens)
	r.Attempt.Attached = true
	s.runRecord(r)
	return nil
}

// Guards against a generation that is lost with its second owner: the second
// owner's copy must be found wherever it is, and tokens that the second owner
// showed before it had a copy must come from the first owner's copy.
func TestSecondOwnerIsLost(t *testing.T) {
	for _, shown := range []int{0, 1, 10, 100} { // by the second owner, one every 20 ms
		for second := 1; second < 12; second++ {
			// The request ID decides which instances hold copies.
			id := model.RequestID(fmt.Sprintf("entry-0-request%d", second))
			t.Run(fmt.Sprintf("entry-%d after %d tokens", second, shown), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkTwoLostOwners(t, id, member(second).ID, shown) })
			})
		}
	}
}

func checkTwoLostOwners(t *testing.T, id model.RequestID, second model.InstanceID, shown int) {
	s := newTakeoverScenario(t, id)
	defer s.net.close()
	s.produce(100)
	p, _ := s.net.nodes["entry-0"].manager.progress.Get(s.id)
	if p.Holder == second && shown < 10 {
		return // the only copy is lost together with the second owner
	}
	assert.NilError(t, s.killOwner(second))
	s.produce(shown)
	for i := 1; i < 12; i++ {
		if third := member(i).ID; third != second {
			assert.NilError(t, s.killOwner(third))
			break
		}
	}
	s.produce(20)
	for i, got := range s.caller.tokens {
		assert.Equal(t, got, token(sharedStream, i))
	}
	assert.Assert(t, len(s.caller.tokens) >= 100+shown)
}
