package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

// Guards against an instance of another cell that receives late, through its
// readers, that a version was taken back.
func TestReadersPropagateVersionMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newStoreContent()
		c := startCells(t, w, 2, "a", "b", "c", "d")
		defer c.close()
		time.Sleep(5 * time.Second)
		m := model.VersionMove{VersionOrder: model.VersionOrder{Service: "s", Target: "v2", Revision: 7}, State: model.MoveOpen, Share: 0.1, Step: 2}
		for _, state := range []model.MoveState{model.MoveOpen, model.MoveTakenBack} {
			m.State, m.Step = state, m.Step+1
			assert.Assert(t, c["a"].opts.Moves.Apply(m, time.Now()))
			c["a"].MovesChanged()
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			got, _, known := c["d"].opts.Moves.Get("s")
			assert.Assert(t, known)
			assert.DeepEqual(t, got, m)
		}
	})
}
