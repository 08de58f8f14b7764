package stop

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Guards against a previous version that a lifted stop of its own earlier move
// still keeps from new work, and against a stopped version outside of the move
// that gets new work.
func TestStoppedByEpochForBothVersionsOfAMove(t *testing.T) {
	key := func(version string) model.VersionKey { return model.VersionKey{Serves: "m", Version: version} }
	table := NewTable()
	table.Add(model.Stop{Key: key("v2"), Epoch: 10})
	assert.Assert(t, table.Stopped(key("v2")), "no share is known")
	table.SetShare(model.Share{Serves: "m", Target: "v2", Previous: "v1", Epoch: 10, Revision: 1})
	assert.Assert(t, table.Stopped(key("v2")))
	table.SetShare(model.Share{Serves: "m", Target: "v2", Previous: "v1", Epoch: 11, Revision: 2})
	assert.Assert(t, !table.Stopped(key("v2")), "lifted")
	table.SetShare(model.Share{Serves: "m", Target: "v3", Previous: "v2", Epoch: 20, Revision: 3})
	assert.Assert(t, !table.Stopped(key("v2")), "previous version of the next move")
	table.SetShare(model.Share{Serves: "m", Target: "v4", Previous: "v3", Epoch: 30, Revision: 4})
	assert.Assert(t, table.Stopped(key("v2")), "outside of the move")
}
