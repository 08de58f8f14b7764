package gossipcost

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a change that makes gossip exceed the control budget of 22 kB/s
// for each instance already with 20 instances.
func TestBudgetOfASmallFleet(t *testing.T) {
	r := Run(Options{Instances: 20, Regions: 2, Upstreams: 20, SettleTime: 4 * time.Second, MeasureTime: 3 * time.Second})
	t.Log(r)
	assert.Equal(t, r.InstancesSeen, 20)
	assert.Assert(t, r.WireBytes < 22_000)
}

var measureCost = flag.Bool("cost", false, "measure the cost of gossip at growing sizes")

// TestCost reports the cost for each instance. It runs in virtual time, so the load
// of the machine changes only the processor time, and that slightly.
func TestCost(t *testing.T) {
	if !*measureCost {
		t.Skip("measures only with -cost")
	}
	for _, o := range []Options{
		{Instances: 10, Regions: 4, Upstreams: 55},
		{Instances: 40, Regions: 4, Upstreams: 219},
		{Instances: 160, Regions: 4, Upstreams: 875},
		{Instances: 160, Regions: 4, Upstreams: 875, Moves: 2},
		{Instances: 160, Regions: 1, Upstreams: 875}, // one region of the target size
		{Instances: 320, Regions: 4, Upstreams: 1750},
		{Instances: 640, Regions: 4, Upstreams: 3500}, // takes minutes
	} {
		o.SettleTime, o.MeasureTime = 20*time.Second, 10*time.Second
		t.Run(fmt.Sprintf("instances=%d/regions=%d/moves=%d", o.Instances, o.Regions, o.Moves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { t.Log(Run(o)) })
		})
	}
}
