package prefix

import (
	"fmt"
	"testing"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against holders of the wrong block, duplicate holders, and holders that
// stay after an eviction. The oracle keeps a set of IDs for each block.
func TestHoldersMatchSets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, sets := NewTable(), map[Block]map[model.UpstreamID]bool{}
		ids := rapid.Custom(func(rt *rapid.T) model.UpstreamID {
			return model.UpstreamID(fmt.Sprintf("e%d", rapid.IntRange(0, 2*maxHolders).Draw(rt, "id")))
		})
		prompts := rapid.SampledFrom([][]Block{{1, 2, 3}, {1, 2, 4, 5}, {6}, nil})
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				id, blocks := ids.Draw(rt, "upstream"), prompts.Draw(rt, "prompt")
				table.Add(id, blocks)
				for _, b := range blocks {
					if sets[b] == nil {
						sets[b] = map[model.UpstreamID]bool{}
					}
					if len(sets[b]) < maxHolders {
						sets[b][id] = true
					}
				}
			},
			"evict": func(rt *rapid.T) {
				id, b := ids.Draw(rt, "upstream"), Block(rapid.IntRange(1, 7).Draw(rt, "block"))
				table.Evicted(id, b)
				delete(sets[b], id)
			},
			"": func(rt *rapid.T) {
				blocks, want := prompts.Draw(rt, "prompt"), map[model.UpstreamID]int{}
				for i, b := range blocks {
					for id := range sets[b] {
						want[id] = (i + 1) * BlockBytes
					}
				}
				assert.DeepEqual(rt, table.CachedBytes(blocks), want)
			},
		})
	})
}

// Guards against a table that grows with each upstream ID that was ever used, and
// against a number that stands for two upstreams after the table was cleared.
func TestNumbersAreBounded(t *testing.T) {
	table := NewTable()
	for i := range maxUpstreamNumbers + 1 {
		table.Add(model.UpstreamID(fmt.Sprintf("e%d", i)), []Block{1})
	}
	assert.Equal(t, len(table.ids), 1)
	last := model.UpstreamID(fmt.Sprintf("e%d", maxUpstreamNumbers))
	assert.DeepEqual(t, table.CachedBytes([]Block{1}), map[model.UpstreamID]int{last: BlockBytes})
}
