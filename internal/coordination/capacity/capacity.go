// Package capacity estimates how much further work a service can take, as one instance
// sees it. It knows the work of its own cell and summaries of the other cells. It must
// not choose upstreams, and it does not decide which request runs.
package capacity

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
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
	// NextFree is the expected time until a slot becomes free for this instance, and zero
	// if one is free.
	NextFree time.Duration
}
