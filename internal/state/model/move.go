package model

import "time"

// VersionOrder is a request to move a service's traffic to the upstreams of a
// version.
type VersionOrder struct {
	Service  string
	Target   string        // version
	Era      Era           // of Revision
	Revision uint64        // revision of the store when the move was ordered; a later order of the era has a higher one
	Within   time.Duration // time limit of the whole move
}

// After reports whether the order was given later than the other one. One without an era, of
// an earlier build, counts as one of the other's era.
func (o VersionOrder) After(other VersionOrder) bool {
	if !o.inEraOf(other) {
		return o.Era > other.Era
	}
	return o.Revision > other.Revision
}

// Is reports whether both are the same order as the store has it in one era.
func (o VersionOrder) Is(other VersionOrder) bool {
	return o.inEraOf(other) && o.Revision == other.Revision
}

// AfterOnceRestored is After once a restore of the store is known. Revisions without an era may
// be from before the restore then, so that an order without one is earlier than each order of a
// known era.
func (o VersionOrder) AfterOnceRestored(other VersionOrder) bool {
	if o.Era != other.Era {
		return o.Era > other.Era
	}
	return o.Revision > other.Revision
}

// IsOnceRestored is Is once a restore of the store is known: revisions are given out again then.
func (o VersionOrder) IsOnceRestored(other VersionOrder) bool {
	return o.Is(other) && (o.Era == other.Era || o.Target == other.Target)
}

func (o VersionOrder) inEraOf(other VersionOrder) bool {
	return o.Era == other.Era || o.Era == 0 || other.Era == 0
}

// Demands reports whether both orders demand the same.
func (o VersionOrder) Demands(other VersionOrder) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Within == other.Within
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
