package replication

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// countingCounters implements Counters.
type countingCounters struct{ unprotected, copied, takenOver atomic.Int64 }

func (c *countingCounters) Unprotected(tokens int) { c.unprotected.Add(int64(tokens)) }
func (c *countingCounters) Copied(tokens int)      { c.copied.Add(int64(tokens)) }
func (c *countingCounters) TakenOver()             { c.takenOver.Add(1) }

// Guards against tokens that are shown without a copy and are not counted or
// counted twice: the token that is held back when the holder fails, and the
// tokens that follow while no holder is left.
func TestUnprotectedTokensAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1, 3)
		defer net.close()
		n := net.nodes["entry-0"]
		counts := &countingCounters{}
		n.manager.opts.Counters = counts
		r := generation.Record{Spec: model.GenerationSpec{Request: request}, Line: "L", CopyAfter: time.Now()}
		r.Attempt.Number = 1
		n.table.Insert(r)
		post := func(f func()) { n.pool.Post(worker.Key(request), worker.Func(f)); synctest.Wait() }
		produce := func() {
			post(func() {
				n.table.Update(request, func(r *generation.Record) { r.Tokens = append(r.Tokens, "x") })
				n.manager.TokensAccepted(request)
			})
		}
		post(func() { n.manager.GenerationOpened(r) })
		time.Sleep(10 * time.Millisecond)
		for range 5 {
			produce()
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, counts.copied.Load(), int64(5))
		assert.Equal(t, counts.unprotected.Load(), int64(0))

		net.nodes["entry-1"].dead, net.nodes["entry-2"].dead = true, true
		produce()
		time.Sleep(AckTimeout + time.Millisecond)
		assert.Equal(t, counts.unprotected.Load(), int64(1))
		for range 3 {
			produce()
			time.Sleep(time.Second)
		}
		assert.Equal(t, counts.unprotected.Load(), int64(4))
	})
}
