package engine

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// control holds the engine's actual and desired state. mu has standin.RankControl and
// guards the other fields.
//
// Invariant: a load is in progress exactly while desired differs from actual.
type control struct {
	mu      lock.Mutex
	mode    model.FencingMode
	actual  engineapi.State
	desired engineapi.State
	fencing uint64 // highest fencing number received
	loadID  uint64 // ID of the latest load
}

func newControl(state engineapi.State, mode model.FencingMode) *control {
	return &control{mu: lock.New(standin.RankControl), mode: mode, actual: state, desired: state}
}

// orderResult is the result of an order.
type orderResult struct {
	stale   bool   // the fencing number is lower than an earlier one
	applied bool   // the order was accepted, possibly although it is stale
	loadID  uint64 // ID of the load to start; zero means none
	reply   engineapi.StateReply
}

// order applies an order unless it is stale and fencing is honoured. An order that
// repeats the desired state starts no second load.
func (c *control) order(order engineapi.Order) orderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := orderResult{stale: order.Fencing < c.fencing}
	if result.stale && c.mode == model.FencingHonoured {
		result.reply = c.replyLocked()
		return result
	}
	result.applied = true
	c.fencing = max(c.fencing, order.Fencing)
	if !sameState(c.desired, order.Desired) {
		c.desired = order.Desired
		c.loadID++ // invalidates a load in progress
		if !sameState(c.actual, order.Desired) {
			result.loadID = c.loadID
		}
	}
	result.reply = c.replyLocked()
	return result
}

// finishLoad ends a load, unless a newer order or a reset has invalidated it. It
// reports whether the model or version changed.
func (c *control) finishLoad(loadID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadID != loadID {
		return false
	}
	changed := c.actual.Model != c.desired.Model || c.actual.Version != c.desired.Version
	c.actual = c.desired
	return changed
}

// abandonLoad ends a failed load, so that the next order can start it again.
func (c *control) abandonLoad(loadID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadID == loadID {
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
	c.loadID++
}

func (c *control) reply() engineapi.StateReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replyLocked()
}

func (c *control) replyLocked() engineapi.StateReply {
	return engineapi.StateReply{Actual: c.actual, Desired: c.desired, Fencing: c.fencing}
}

// resolveVersion returns the version that serves a request, or an apiError.
func (c *control) resolveVersion(request engineapi.CompletionRequest) (string, error) {
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
