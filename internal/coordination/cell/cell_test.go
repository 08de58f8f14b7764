package cell

import (
	"fmt"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

func instances(n, domains int) []model.Instance {
	var all []model.Instance
	for i := range n {
		all = append(all, model.Instance{
			ID:            model.InstanceID(fmt.Sprintf("i-%04d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%domains)),
		})
	}
	return all
}

// Guards against instances that disagree on the members of a cell, and against
// cells that grow with the deployment.
func TestCellsArePartitionsOfBoundedSize(t *testing.T) {
	for _, n := range []int{1, 12, 24, 25, 104, 144, 640} {
		all := instances(n, 4)
		seen := map[model.InstanceID]int{}
		for _, in := range all {
			c := ForInstance(all, in.ID)
			assert.Assert(t, len(c.Members) <= maxSingleCell)
			for _, member := range c.Members {
				seen[member.ID]++
				assert.DeepEqual(t, ForInstance(all, member.ID).Members, c.Members)
			}
		}
		for _, in := range all {
			assert.Equal(t, seen[in.ID], len(ForInstance(all, in.ID).Members))
		}
	}
}

// Guards against an engine that is preferred by no cell or by several.
func TestEachEngineHasOneCell(t *testing.T) {
	all := instances(144, 3)
	for e := range 50 {
		address := fmt.Sprintf("10.0.0.%d:80", e)
		owners := map[string]bool{}
		for _, in := range all {
			if c := ForInstance(all, in.ID); c.Prefers(address) {
				owners[c.name] = true
			}
		}
		assert.Equal(t, len(owners), 1)
	}
}
