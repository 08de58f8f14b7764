package model

import "time"

// VersionOrder is a request to move a service's traffic to the upstreams of a
// version.
type VersionOrder struct {
	Service  string
	Target   string        // version
	Revision uint64        // revision of the store when the move was ordered; a later order has a higher one
	Within   time.Duration // time limit of the whole move
}

// MoveState is the progress of a move.
type MoveState string

// States of moves. A move that was taken back or finished is never open again.
const (
	MoveOpen      MoveState = "open"
	MoveTakenBack MoveState = "taken back"
	MoveFinished  MoveState = "finished"
)

// VersionMove is the stored record of a move, which all instances apply.
type VersionMove struct {
	VersionOrder
	State   MoveState
	Share   float64 // fraction of the service's requests that the target gets while the move is open
	Step    uint64  // rises with each change of the record
	Started time.Duration
	// Since is the time at which the present share took effect, Started the
	// time at which the move started; both are on the store's clock.
	Since  time.Duration
	Reason string // reason for the last change
}
