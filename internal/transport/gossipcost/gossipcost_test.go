package gossipcost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a change that makes gossip exceed the control budget of
// 22 kB/s long before the target size.
func TestBudgetOfASmallFleet(t *testing.T) {
	r := Run(Options{Instances: 20, Regions: 2, Upstreams: 20, Settle: 4 * time.Second, Measure: 3 * time.Second})
	t.Log(r)
	assert.Equal(t, r.Known, 20)
	assert.Assert(t, r.WireBytes < 22_000)
}

// BenchmarkGossip reports the cost for each instance at growing sizes. Run it
// with -benchtime=1x.
func BenchmarkGossip(b *testing.B) {
	for _, o := range []Options{
		{Instances: 10, Regions: 4, Upstreams: 55},
		{Instances: 40, Regions: 4, Upstreams: 219},
		{Instances: 160, Regions: 4, Upstreams: 875},
		{Instances: 160, Regions: 1, Upstreams: 875}, // one region of the target size
		{Instances: 160, Regions: 4, Upstreams: 875, Moves: 2},
		{Instances: 640, Regions: 4, Upstreams: 3500}, // the target size
		{Instances: 640, Regions: 4, Upstreams: 3500, Moves: 2},
	} {
		o.Settle, o.Measure = 15*time.Second, 20*time.Second
		b.Run(fmt.Sprintf("instances=%d/regions=%d/moves=%d", o.Instances, o.Regions, o.Moves), func(b *testing.B) {
			for range b.N {
				r := Run(o)
				b.Log(r)
				b.ReportMetric(r.MessageBytes, "message_B/s")
				b.ReportMetric(r.WireBytes, "wire_B/s")
				b.ReportMetric(100*r.CPU, "cpu_%")
				b.ReportMetric(r.Memory/1e6, "MB")
			}
		})
	}
}
