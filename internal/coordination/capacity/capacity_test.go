package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"gotest.tools/v3/assert"
)

// running returns upstreams with six slots each and so many running requests.
func running(requests ...int) (list []Upstream) {
	for _, n := range requests {
		list = append(list, Upstream{Slots: 6, Work: commitment.Work{Requests: n}})
	}
	return list
}

// Guards against free slots that are counted twice or not at all, and against a free slot
// that no instance or each instance takes.
func TestEstimate(t *testing.T) {
	hold := demand.Demand{HoldTime: 30 * time.Millisecond}
	for name, test := range map[string]struct {
		view View
		want Room
	}{
		"idle": {
			View{Upstreams: running(0, 0)},
			Room{Known: true, Slots: 12, Share: 1, Granted: 12},
		},
		"no upstream": {View{}, Room{Share: 1}},
		"one upstream without slots": {
			View{Upstreams: append(running(6), Upstream{})},
			Room{Share: 1},
		},
		"requests that queue at one upstream leave the others free": {
			View{Upstreams: running(20, 5)},
			Room{Known: true, Slots: 1, Share: 1, Granted: 1},
		},
		"full": {
			View{Upstreams: running(6, 6), Own: hold},
			Room{Known: true, Share: 1, NextFree: 2500 * time.Microsecond},
		},
		"full, hold time unknown": {
			View{Upstreams: running(6, 6)},
			Room{Known: true, Share: 1},
		},
		"over full": {
			View{Upstreams: running(9, 9), Own: hold},
			Room{Known: true, Slots: -6, Share: 1, NextFree: 17500 * time.Microsecond},
		},
		"work of other cells": {
			View{Upstreams: running(2, 2), Others: demand.Demand{InFlight: 6}, OthersKnown: true, OthersAge: time.Second},
			Room{Known: true, Slots: 2, Share: 1, Granted: 2},
		},
		"old work of other cells": {
			View{Upstreams: running(2, 2), Others: demand.Demand{InFlight: 60, Waiting: 9}, OthersKnown: true, OthersAge: 4 * time.Second},
			Room{Known: true, Slots: 8, Share: 1, Granted: 8},
		},
		"unknown work of other cells": {
			View{Upstreams: running(2, 2), Others: demand.Demand{InFlight: 60, Waiting: 9}},
			Room{Known: true, Slots: 8, Share: 1, Granted: 8},
		},
		"slots are divided by what waits": {
			View{
				Upstreams: running(2, 2), Own: demand.Demand{Waiting: 3}, Cell: demand.Demand{Waiting: 4},
				Others: demand.Demand{Waiting: 8}, OthersKnown: true,
			},
			Room{Known: true, Slots: 8, Share: 0.25, Granted: 2},
		},
		"slots beyond what waits are open to all": {
			View{Upstreams: running(1, 1), Own: demand.Demand{Waiting: 2}, Cell: demand.Demand{Waiting: 4}},
			Room{Known: true, Slots: 10, Share: 0.5, Granted: 8},
		},
		"a fraction goes to the instance with the greater dither": {
			View{Upstreams: running(6, 5), Cell: demand.Demand{Waiting: 3}, Dither: 0.9},
			Room{Known: true, Slots: 1, Share: 0.25, Granted: 1},
		},
		"and not to the others": {
			View{Upstreams: running(6, 5), Cell: demand.Demand{Waiting: 3}, Dither: 0.6, Own: hold},
			Room{Known: true, Slots: 1, Share: 0.25, NextFree: 90 * time.Millisecond / 11},
		},
	} {
		t.Run(name, func(t *testing.T) {
			test.want.MemoryTokens = math.Inf(1)
			assert.Equal(t, Estimate(test.view), test.want)
		})
	}
}

// Guards against engines whose memory is filled beyond the limit, and against a full
// engine that hides the free memory of others.
func TestMemory(t *testing.T) {
	v := View{Upstreams: []Upstream{
		{Slots: 64, MemoryTokens: 10000, Work: commitment.Work{MemoryTokens: 3000, CopyTokens: 1000}},
		{Slots: 64, MemoryTokens: 10000, Work: commitment.Work{MemoryTokens: 12000}},
	}}
	assert.Equal(t, Estimate(v).MemoryTokens, 5000.0)
	v.Others, v.OthersKnown = demand.Demand{MemoryTokens: 2000}, true
	assert.Equal(t, Estimate(v).MemoryTokens, 3000.0)
	v.OthersAge = MaxSummaryAge + 1
	assert.Equal(t, Estimate(v).MemoryTokens, 5000.0)
}

func randomView(r *rand.Rand) View {
	randomDemand := func() demand.Demand {
		return demand.Demand{InFlight: r.IntN(40), Waiting: r.IntN(20), MemoryTokens: r.IntN(50000), Rate: 100 * r.Float64(), HoldTime: time.Duration(r.IntN(3)) * 20 * time.Millisecond}
	}
	v := View{
		Own: randomDemand(), Others: randomDemand(), OthersKnown: r.IntN(4) > 0,
		OthersAge: time.Duration(r.Float64() * float64(5*time.Second)), Dither: r.Float64(),
	}
	v.Cell = v.Own.Plus(randomDemand())
	for range 1 + r.IntN(9) {
		v.Upstreams = append(v.Upstreams, Upstream{
			Slots: 1 + r.IntN(16), MemoryTokens: 10000,
			Work: commitment.Work{Requests: r.IntN(20), MemoryTokens: r.IntN(12000)},
		})
	}
	return v
}

// Guards against an input that is missing or old and makes a service look full, and
// against estimates outside of their range.
func TestEstimateProperties(t *testing.T) {
	for seed := range uint64(5000) {
		r := rand.New(rand.NewPCG(seed, 1))
		v := randomView(r)
		room := Estimate(v)
		assert.Assert(t, room.Known && room.Share > 0 && room.Share <= 1 && room.NextFree >= 0 && room.Granted >= 0, "seed %d: %+v", seed, room)
		assert.Assert(t, float64(room.Granted) <= max(room.Slots, 0)+roundingError, "seed %d: %+v", seed, room)
		assert.Assert(t, room.Slots <= 0 || room.Granted > 0 || room.Share*room.Slots < 1, "seed %d: %+v", seed, room)

		alone := v
		alone.Others = demand.Demand{}
		want := Estimate(alone)
		for _, unknown := range []func(*View){
			func(v *View) { v.OthersKnown = false },
			func(v *View) { v.OthersAge = MaxSummaryAge + 1 },
		} {
			changed := v
			unknown(&changed)
			got := Estimate(changed)
			assert.Equal(t, got, want, "seed %d", seed)
			assert.Assert(t, got.Slots >= room.Slots && got.MemoryTokens >= room.MemoryTokens && got.Granted >= room.Granted, "seed %d: %+v %+v", seed, got, room)
		}

		more := v
		more.Upstreams = append([]Upstream(nil), v.Upstreams...)
		more.Upstreams[r.IntN(len(more.Upstreams))].Work.Requests += 1 + r.IntN(5)
		assert.Assert(t, Estimate(more).Slots <= room.Slots, "seed %d: more work gave more room", seed)
		more = v
		more.Upstreams = append([]Upstream{{Slots: 4, MemoryTokens: 10000}}, v.Upstreams...)
		assert.Assert(t, Estimate(more).Slots >= room.Slots, "seed %d: an idle upstream took room away", seed)
	}
}

// Guards against slots that several instances see free and that all of them fill, and
// against slots that stay free while requests wait.
func TestInstancesShareSlots(t *testing.T) {
	const rounds = 400
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 2))
		waiting, all := make([]int, 2+r.IntN(30)), 0
		for i := range waiting {
			waiting[i] = 1 + r.IntN(8)
			all += waiting[i]
		}
		free := 1 + r.IntN(all)
		started := 0
		for range rounds {
			for _, n := range waiting {
				started += Estimate(View{
					Upstreams: []Upstream{{Slots: 64 + free, Work: commitment.Work{Requests: 64}}},
					Own:       demand.Demand{Waiting: n}, Cell: demand.Demand{Waiting: all}, Dither: r.Float64(),
				}).Granted
			}
		}
		mean := float64(started) / rounds
		assert.Assert(t, math.Abs(mean-float64(free)) < 0.5, "seed %d: %d slots, %.2f requests started", seed, free, mean)
	}
}

// BenchmarkEstimate measures the estimate for one service.
func BenchmarkEstimate(b *testing.B) {
	for _, n := range []int{16, 128, 512, 3500} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			v := View{Upstreams: make([]Upstream, n), Own: demand.Demand{Waiting: 2, HoldTime: time.Second}, Cell: demand.Demand{Waiting: 9}}
			for i := range v.Upstreams {
				v.Upstreams[i] = Upstream{Slots: 16, MemoryTokens: 55000, Work: commitment.Work{Requests: i % 17, MemoryTokens: 5800 * (i % 9)}}
			}
			b.ReportAllocs()
			for b.Loop() {
				if !Estimate(v).Known {
					b.Fatal("the room is unknown")
				}
			}
		})
	}
}
