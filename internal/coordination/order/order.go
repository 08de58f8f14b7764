// Package order orders the engines of a region to serve the model, version,
// adapters and role that the environment document gives them.
//
// An order contains the whole desired state, so that it is idempotent. Orders
// are sent by the holder of the lease orders/<region> and carry the fencing
// number of the lease.
package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// State is the current or desired state of an engine.
type State struct {
	Model    string
	Version  string
	Adapters []string // sorted
	Role     string
}

// Equal reports whether both states are the same.
func (s State) Equal(o State) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// Engines sends orders to engines and reads their states. Calls block on the
// network and must not run on a pool worker. Order sends nothing after its
// context has ended.
type Engines interface {
	// State reads what the engine serves or is about to serve.
	State(ctx context.Context, u model.Upstream) (State, error)
	// Order asks the engine to serve the desired state.
	Order(ctx context.Context, u model.Upstream, fencing uint64, desired State) error
}

// ErrStaleFencing means that the engine refused an order because it has seen a
// higher fencing number.
var ErrStaleFencing = errors.New("engine has seen a higher fencing number")

// RetryAfterError means that the weight store, from which engines load model
// weights, refused a load for the time of After.
type RetryAfterError struct {
	After time.Duration
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("weight store asks to wait %v", e.After)
}

const (
	// maxOrderLifetime is the time after which an order that was sent can no
	// longer take effect. It is also the upper bound of the timeout of a call.
	maxOrderLifetime = 10 * time.Second
	tickInterval     = time.Second
	// verifyInterval is the time between state reads of an engine that serves
	// the desired state. The reads go on because an engine may restart with
	// another version.
	verifyInterval = 30 * time.Second
	// retryInterval is the wait after a failed call to one engine.
	retryInterval = 5 * time.Second
	stateTimeout  = 2 * time.Second
	// maxInFlight is the maximum number of concurrent calls of one lease holder.
	maxInFlight = 16
)

// desired returns the state that the document demands of an engine in the current
// state. Adapters and a role that the document does not name stay as they are.
func desired(u model.Upstream, current State) State {
	want := State{Model: u.Serves, Version: u.Version, Adapters: u.Adapters, Role: u.Role}
	if len(want.Adapters) == 0 {
		want.Adapters = current.Adapters
	}
	if want.Role == "" {
		want.Role = current.Role
	}
	return want
}

// engine is the state that the lease holder keeps about one engine. All fields
// except upstream and callInFlight are reset when a term of the lease begins.
type engine struct {
	upstream     model.Upstream
	fencing      uint64    // fencing number of the term to which the fields below belong
	oldOrdersEnd time.Time // from then on, no order of a former holder can take effect
	nextCall     time.Time // time of the next call
	callInFlight bool
	stateRead    bool  // the state was read in this term
	lastState    State // as last read
}

// beginTerm resets the engine for a new term. An engine that ignores fencing
// numbers may still run an order of the former holder, so the first call waits
// for maxOrderLifetime.
func (e *engine) beginTerm(fencing uint64, now time.Time) {
	*e = engine{upstream: e.upstream, callInFlight: e.callInFlight, fencing: fencing, oldOrdersEnd: now}
	if e.upstream.Fencing != model.FencingHonoured {
		e.oldOrdersEnd = now.Add(maxOrderLifetime)
	}
	e.nextCall = e.oldOrdersEnd
}

// update stores the engine's entry of the current document. If it has changed,
// the state is read again at once, but not before the former holder's orders
// have expired.
func (e *engine) update(u model.Upstream, now time.Time) {
	if e.upstream.Equal(u) {
		return
	}
	e.upstream = u
	e.stateRead = false
	e.nextCall = now
	if now.Before(e.oldOrdersEnd) {
		e.nextCall = e.oldOrdersEnd
	}
}
