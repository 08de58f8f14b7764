// Package rollout moves traffic step by step from one version of a model or
// service to another, and takes it back when the new version is worse.
//
// One instance, the holder of the move's lease, decides the steps and writes the
// move's record. It judges the new version by the evidence of all instances. In
// addition, each instance stops a version at once on hard evidence of its own; the
// holder then confirms or lifts that stop.
//
// Plan, Judge, HardEvidence and Decide are pure: they work on plain values and a time that
// is passed in. Manager runs them on the worker pool.
package rollout

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// State is the state of a move.
type State string

// States of a move. Moving and Late are open, the others are final.
const (
	Moving State = "moving"
	// Late means that the evidence for the remaining steps cannot arrive
	// before finish_by. The share stays until evidence suffices in time.
	Late      State = "late"
	Finished  State = "finished"
	TakenBack State = "taken_back"
	Replaced  State = "replaced" // by a newer document
)

// Open reports whether the move has not ended.
func (s State) Open() bool { return s == Moving || s == Late }

// Figures are the measurements of a move that its record keeps. All counts are of
// the target version.
type Figures struct {
	Requests       uint64
	Failures       uint64
	SlowFirstToken float64 // fraction above the old version's 90th percentile
	SlowPace       float64 // fraction above the old version's 90th percentile
	HighestShare   float64
	// FaultShownAt is the estimated start of the fault: the time of the batch
	// since which the evidence that led to the verdict grew. Zero means no fault.
	FaultShownAt   time.Time
	SentAfterFault uint64        // requests since FaultShownAt
	TimeToTakeBack time.Duration // from FaultShownAt to the stop
	OnTime         bool          // finished by finish_by
}

// Move is the record of one version move.
type Move struct {
	Environment string
	Serves      string // model or service
	Generation  uint64 // of the document that first asked for this plan
	Plan        model.VersionPlan
	State       State
	Reason      string
	Share       float64
	ShareSince  time.Time
	Raises      int    // raises on evidence; first exposures are not counted
	Epoch       uint64 // generation << epochBits, plus the number of lifted stops
	Revision    uint64 // of the share; increases with each change
	Holder      model.InstanceID
	Fencing     uint64 // of the lease under which the record was written
	Started     time.Time
	Ended       time.Time // zero while the move is open
	Figures     Figures
	// Seen holds for each route the number of the target's requests at the
	// present share, up to and including the minute CountedTo.
	Seen      map[string]uint64
	CountedTo int64 // Unix minute
}

const (
	// epochBits is the number of low bits of an epoch that count the lifted stops
	// of one move. The high bits are the document's generation, so that an
	// instance can order the epochs of two moves without their records.
	epochBits = 16
	// revisionBits is the number of low bits of a share's revision that count the
	// changes of share of one move. The high bits are the document's generation.
	revisionBits = 24
)

// liftedStops returns the number of lifted stops that an epoch counts.
func liftedStops(epoch uint64) int {
	return int(epoch & (1<<epochBits - 1))
}

// LeaseName returns the name of the lease for the moves of one model or
// service.
func LeaseName(serves string) string {
	return "moves/" + serves
}

// RowPrefix returns the prefix of the row keys of one model or service.
func RowPrefix(environment, serves string) string {
	return "moves/" + environment + "/" + serves + "/"
}

// RowKey returns the row key of a record. Keys sort by generation.
func RowKey(environment, serves string, generation uint64) string {
	return fmt.Sprintf("%s%020d", RowPrefix(environment, serves), generation)
}

// SamePlan reports whether two plans ask for the same move. A new document with
// the same plan continues the move; one with a changed plan starts a new move.
func SamePlan(a, b model.VersionPlan) bool {
	return a.Target == b.Target && a.Previous == b.Previous && a.FinishBy.Equal(b.FinishBy)
}

// IsMove reports whether the plan asks for a move.
func IsMove(p model.VersionPlan) bool {
	return p.Previous != "" && p.Previous != p.Target
}

// shareRow returns the record's share as the stop table keeps it. The share of a
// finished move has no previous version, see isFinalShare.
func (m *Move) shareRow() model.Share {
	share := model.Share{
		Serves:   m.Serves,
		Target:   m.Plan.Target,
		Previous: m.Plan.Previous,
		Epoch:    m.Epoch,
		Share:    m.Share,
		Revision: m.Revision,
	}
	if m.State == Finished {
		share.Previous = ""
	}
	return share
}

// target returns the key of the version that traffic moves to.
func (m *Move) target() model.VersionKey {
	return model.VersionKey{Serves: m.Serves, Version: m.Plan.Target}
}
