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

// adoption runs one generation whose owners are lost one after another while
// its engine stream runs on, as the relay runs it.
type adoption struct {
	t      *testing.T
	id     model.RequestID
	net    *network
	caller caller
}

func newAdoption(t *testing.T, id model.RequestID) *adoption {
	a := &adoption{t: t, id: id, net: newNetwork(1, 12), caller: caller{at: "entry-0", line: "L0"}}
	r := generation.Record{Spec: model.GenerationSpec{Request: id, Prompt: "p"}, Line: "L0"}
	r.CopyAfter = time.Now().Add(time.Second)
	r.Attempt = generation.Attempt{Number: 1, Stream: sharedStream, Open: true}
	a.insert(r)
	return a
}

// insert makes the caller's instance own a record.
func (a *adoption) insert(r generation.Record) {
	n := a.net.nodes[a.caller.at]
	assert.Assert(a.t, n.table.Insert(r))
	a.post(func() {
		n.manager.Opened(r)
		n.manager.Accepted(a.id)
	})
	a.caller.reader = n.table.Read(a.id, len(a.caller.tokens))
}

func (a *adoption) post(f func()) {
	a.net.nodes[a.caller.at].pool.Post(worker.Key(a.id), worker.Func(f))
	synctest.Wait()
}

// produce brings tokens of the engine stream to the owner and from there to
// the caller.
func (a *adoption) produce(count int) {
	n := a.net.nodes[a.caller.at]
	for range count {
		a.post(func() {
			n.table.Update(a.id, func(r *generation.Record) {
				r.Append([]string{token(sharedStream, len(r.Tokens))})
			})
			n.manager.Accepted(a.id)
		})
		a.read()
		time.Sleep(20 * time.Millisecond)
	}
}

func (a *adoption) read() {
	c := &a.caller
	ctx, cancel := context.WithTimeout(a.t.Context(), time.Millisecond)
	defer cancel()
	batch, err := c.reader.Next(ctx)
	if err != nil {
		return
	}
	assert.Equal(a.t, batch.First, len(c.tokens))
	c.tokens = append(c.tokens, batch.Tokens...)
	c.line = batch.Line
}

// lose kills the owner, which no other instance knows to be dead, and moves
// the caller to another instance.
func (a *adoption) lose(next model.InstanceID) error {
	a.net.mu.Lock()
	a.net.nodes[a.caller.at].dead = true
	a.net.mu.Unlock()
	c := &a.caller
	c.at = next
	source, err := a.net.nodes[next].manager.Locate(a.t.Context(), a.id, c.line, len(c.tokens))
	if err != nil {
		return fmt.Errorf("position %d of line %s: %w", len(c.tokens), c.line, err)
	}
	assert.Equal(a.t, source.Kind, SourceCopied)
	r := source.Record
	r.CopyAfter = time.Now()
	r.TakenOver = r.Attempt.Stream
	r.Attempt.Number++
	r.Attempt.First = len(r.Tokens)
	r.Attempt.Attached = true
	a.insert(r)
	return nil
}

// Guards against a generation that is lost with its second owner: the second
// owner's copy must be found wherever it is, and tokens that the second owner
// showed before it had a copy must come from the first owner's.
func TestSecondOwnerIsLost(t *testing.T) {
	for _, shown := range []int{0, 1, 10, 100} { // by the second owner, one every 20 ms
		for second := 1; second < 12; second++ {
			// The request ID decides which instances hold copies.
			id := model.RequestID(fmt.Sprintf("entry-0-request%d", second))
			t.Run(fmt.Sprintf("entry-%d after %d tokens", second, shown), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { loseTwoOwners(t, id, member(second).ID, shown) })
			})
		}
	}
}

func loseTwoOwners(t *testing.T, id model.RequestID, second model.InstanceID, shown int) {
	a := newAdoption(t, id)
	defer a.net.close()
	a.produce(100)
	p, _ := a.net.nodes["entry-0"].manager.progress.Get(a.id)
	if p.Holder == second && shown < 10 {
		return // the only copy is lost together with the second owner
	}
	assert.NilError(t, a.lose(second))
	a.produce(shown)
	for i := 1; i < 12; i++ {
		if third := member(i).ID; third != second {
			assert.NilError(t, a.lose(third))
			break
		}
	}
	a.produce(20)
	for i, got := range a.caller.tokens {
		assert.Equal(t, got, token(sharedStream, i))
	}
	assert.Assert(t, len(a.caller.tokens) >= 100+shown)
}
