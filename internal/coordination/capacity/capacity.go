// Package capacity estimates how much further work a service can take, as one instance
// sees it. It knows the work of its own cell and summaries of the other cells. It must
// not choose upstreams, and it does not decide which request runs.
package capacity

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// MaxSummaryAge is the age from which on the summaries of other cells count as
	// unknown.
	MaxSummaryAge = demand.TTL
	// MemoryFillLimit is the fraction of an engine's memory that placements may fill.
	// Engines preempt streams when their memory is fuller.
	MemoryFillLimit = 0.9
	// roundingError covers the rounding of a share that is multiplied out again.
	roundingError = 1e-9
)

// Upstream is one upstream that may take requests.
type Upstream struct {
	ID            model.UpstreamID
	FailureDomain model.FailureDomain
	Slots         int             // requests that run at once; zero means unknown
	MemoryTokens  int             // tokens of memory; zero means that memory does not limit it
	Work          commitment.Work // of this instance and its cell
}

// View is what an instance knows of one service.
type View struct {
	Upstreams []Upstream
	Own       demand.Demand // of this instance
	Cell      demand.Demand // of this instance's cell, this instance included
	Others    demand.Demand // of all other cells
	// OthersAge is the age of the oldest summary in Others. OthersKnown is false while no
	// summary has arrived or all are too old; the estimate then counts the cell alone.
	OthersAge   time.Duration
	OthersKnown bool
	// Dither is from 0 to 1, exclusive, and should differ among instances and change with
	// time. It decides which instances use a slot of which each may use a fraction;
	// otherwise either all or none of them would.
	Dither float64
}

// Room is what a service can take further.
type Room struct {
	// Known is false if the upstreams do not report their slots. Nothing is then known to
	// be full, and requests run.
	Known        bool
	Slots        float64 // free slots, after all known and estimated work; may be negative
	MemoryTokens float64 // free memory of engines; infinite where memory does not limit
	// Share is the part of the free room that falls to this instance, from what waits here
	// and what waits elsewhere, in the range 0 to 1.
	Share float64
	// Granted is the number of requests that this instance may start now: its share of the
	// slots for which requests wait, and all slots beyond those.
	Granted int
	// NextFree is the expected time until a slot becomes free for this instance. It is zero
	// if one is free, and while the time that requests hold their slots is unknown.
	NextFree time.Duration
}

// Estimate returns the room of a service. Load pattern: a burst, or a loss of upstreams,
// that many instances see at the same moment with unequal queues.
func Estimate(v View) Room {
	if !v.OthersKnown || v.OthersAge > MaxSummaryAge {
		v.Others = demand.Demand{}
	}
	total, free, surplus, known := slots(v.Upstreams)
	room := Room{
		Known:        known,
		MemoryTokens: freeMemory(v.Upstreams) - float64(max(v.Others.MemoryTokens, 0)),
	}
	own := float64(max(v.Own.Waiting, 1)) // the request that asks counts as waiting
	elsewhere := float64(max(v.Cell.Waiting-v.Own.Waiting, 0) + max(v.Others.Waiting, 0))
	room.Share = own / (own + elsewhere)
	if !known {
		return room
	}
	// Free slots of one upstream are not used up by requests that queue at another one.
	if free == 0 {
		free = surplus
	}
	room.Slots = float64(free - max(v.Others.InFlight, 0))
	room.Granted = granted(room, own+elsewhere, v.Dither)
	if room.Granted == 0 {
		busy := min(max(float64(total)-room.Slots, 1), float64(total))
		needed := max(1/room.Share-room.Slots, 0)
		room.NextFree = time.Duration(float64(holdTime(v)) * needed / busy)
	}
	return room
}

// slots returns the slots of the upstreams, the free ones, and the slots less the running
// requests. known is false if an upstream does not report its slots, or if there is none.
func slots(upstreams []Upstream) (total, free, surplus int, known bool) {
	for i := range upstreams {
		up := &upstreams[i]
		if up.Slots <= 0 {
			return 0, 0, 0, false
		}
		total += up.Slots
		free += max(up.Slots-up.Work.Requests, 0)
		surplus += up.Slots - up.Work.Requests
	}
	return total, free, surplus, len(upstreams) > 0
}

// freeMemory returns the memory that placements may still fill.
func freeMemory(upstreams []Upstream) (free float64) {
	if len(upstreams) == 0 {
		return math.Inf(1)
	}
	for i := range upstreams {
		up := &upstreams[i]
		if up.MemoryTokens <= 0 {
			return math.Inf(1)
		}
		free += max(MemoryFillLimit*float64(up.MemoryTokens)-float64(up.Work.MemoryTokens+up.Work.CopyTokens), 0)
	}
	return free
}

// granted returns the requests that this instance may start, of so many that wait.
func granted(room Room, waiting, dither float64) int {
	if room.Slots <= 0 {
		return 0
	}
	contested := min(room.Slots, waiting)
	share := contested * room.Share
	whole := math.Floor(share + roundingError)
	if share-whole > 1-min(max(dither, 0), 1) {
		whole++
	}
	return int(whole + room.Slots - contested)
}

// holdTime returns the time that a request holds its slot, from the nearest source that
// knows it.
func holdTime(v View) time.Duration {
	for _, d := range []demand.Demand{v.Own, v.Cell, v.Others} {
		if d.HoldTime > 0 {
			return d.HoldTime
		}
	}
	return 0
}
