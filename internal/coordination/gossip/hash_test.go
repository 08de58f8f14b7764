package gossip

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/tests/filler"
)

// Guards against a renamed type or field that changes the hash of a set. The
// names of packages, types and fields are part of what is hashed, so instances
// of two builds would send such a set in each exchange.
func TestHashesMatchEarlierBuilds(t *testing.T) {
	key := model.VersionKey{Serves: "writer", Version: "v2"}
	assert.Equal(t, hashItem(key, uint64(3)), uint64(11266693049857138741))
	assert.Equal(t, hashItem(model.InstanceID("i1"), uint64(2), model.InstanceLive), uint64(192015389028928064))
	assert.Equal(t, hashItem("writer", uint64(4)), uint64(811032011562161713))
	assert.Equal(t, hashItem(model.UpstreamID("u1"), uint64(5)), uint64(15457637693418225924))
	var rows suspect.Rows
	filler.Fill(&rows)
	assert.Equal(t, suspectsHash(rows), uint64(7347986838487021349))
}
