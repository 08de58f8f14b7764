package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// BenchmarkPick places requests among up to 3,500 upstreams, the target scale. In
// "distinct" there are 64 different prompts. In "shared" all requests have the same
// prompt, so that the table remembers as many upstreams for each block as it can.
func BenchmarkPick(b *testing.B) {
	const models = 11
	for _, prompts := range []int{64, 1} {
		for _, n := range []int{20, 500, 3500} {
			name := map[int]string{64: "distinct", 1: "shared"}[prompts]
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				var all []model.Upstream
				for i := range n {
					all = append(all, model.Upstream{
						ID:     model.UpstreamID(fmt.Sprintf("engine-%04d", i)),
						Kind:   model.KindEngine,
						Serves: fmt.Sprintf("model-%02d", i%models), Version: "1.0",
					})
				}
				docs, ups := document.NewTable(), upstream.NewTable()
				docs.Apply(&model.Document{Generation: 1, Upstreams: all})
				ups.Configure(all)
				for _, u := range all {
					ups.Apply(upstream.Report{
						Upstream: u.ID, Incarnation: 1, Sequence: 1, Health: upstream.HealthUp,
						Running: 12, TokenTime: 20 * time.Millisecond, PrefillRate: 100_000,
					})
				}
				router := New(Options{Documents: docs, Upstreams: ups, Stops: stop.NewTable(), Prefixes: prefix.NewTable()})
				blocks := make([][]prefix.Block, prompts)
				for i := range blocks {
					blocks[i] = prefix.Blocks(strings.Repeat(fmt.Sprintf("%7d ", i), 1<<10))
				}
				p := Placement{Serves: "model-00", Version: "1.0", Work: Work{PromptBytes: 8 << 10, Tokens: 280}, Now: time.Now()}
				pick := func(i int) {
					p.Blocks = blocks[i%prompts]
					up, _, ok := router.Pick(p)
					if !ok {
						b.Fatal("no upstream was picked")
					}
					ups.Release(up.ID)
				}
				for i := range 100 * prompts {
					pick(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					pick(i)
				}
			})
		}
	}
}
