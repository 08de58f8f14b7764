package engine

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// control holds the engine's state and orders. mu has standin.RankControl and
// guards the other fields.
//
// Invariant: a load is under way exactly while desired differs from actual.
type control struct {
	mu      lock.Mutex
	mode    model.FencingMode
	actual  engineapi.State
	desired engineapi.State
	fencing uint64 // highest number seen
	load    uint64 // number of the load under way
}

func newControl(state engineapi.State, mode model.FencingMode) *control {
	return &control{mu: lock.New(standin.RankControl), mode: mode, actual: state, desired: state}
}

// accepted is the result of an order.
type accepted struct {
	stale bool   // the fencing number is old
	done  bool   // the order is in force, although it may be stale
	load  uint64 // number of the load to start; zero means none
	reply engineapi.StateReply
}

// order takes an order. A repeat of the desired state starts no second load.
func (c *control) order(order engineapi.Order) accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := accepted{stale: order.Fencing < c.fencing}
	if result.stale && c.mode == model.FencingHonoured {
		result.reply = c.replyLocked()
		return result
	}
	result.done = true
	c.fencing = max(c.fencing, order.Fencing)
	if !sameState(c.desired, order.Desired) {
		c.desired = order.Desired
		c.load++ // a load under way no longer counts
		if !sameState(c.actual, order.Desired) {
			result.load = c.load
		}
	}
	result.reply = c.replyLocked()
	return result
}

// loaded ends a load. It reports whether the model or version changed.
func (c *control) loaded(load uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.load != load {
		return false
	}
	changed := c.actual.Model != c.desired.Model || c.actual.Version != c.desired.Version
	c.actual = c.desired
	return changed
}

// loadFailed gives up a load, so that the next order can start it again.
func (c *control) loadFailed(load uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.load == load {
		c.desired = c.actual
	}
}

// reset returns to the state with which the engine starts.
func (c *control) reset(state engineapi.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actual = state
	c.desired = state
	c.fencing = 0
	c.load++
}

func (c *control) reply() engineapi.StateReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replyLocked()
}

func (c *control) replyLocked() engineapi.StateReply {
	return engineapi.StateReply{Actual: c.actual, Desired: c.desired, Fencing: c.fencing}
}

// check returns the version that serves a request, or an apiError.
func (c *control) check(request engineapi.CompletionRequest) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case request.Model != c.actual.Model:
		return "", errNoModel
	case request.Version != "" && request.Version != c.actual.Version:
		return "", errWrongVersion
	case request.Adapter != "" && !slices.Contains(c.actual.Adapters, request.Adapter):
		return "", errNoAdapter
	}
	return c.actual.Version, nil
}

func sameState(a, b engineapi.State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}
