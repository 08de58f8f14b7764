// Package rollout moves traffic from one version of a model or service to
// another, and takes it back when the new version is worse.
//
// Plan, Judge, Hard and Decide are pure: they see plain values and a passed-in
// time. Manager runs them on the worker pool.
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

// Open reports whether the move still goes on.
func (s State) Open() bool { return s == Moving || s == Late }

// Figures are the measurements that a record keeps of its move. All counts
// are of the target version.
type Figures struct {
	Requests       uint64
	Failures       uint64
	SlowFirstToken float64 // fraction above the old version's 90th percentile
	SlowPace       float64 // fraction above the old version's 90th percentile
	HighestShare   float64
	// FaultShownAt is the estimated start of the fault: the batch from which
	// the evidence that crossed the bound accumulated. Zero means no fault.
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
	Raises      int    // raises that evidence allowed
	Epoch       uint64 // generation << epochBits, plus the number of lifted stops
	Revision    uint64 // of the share; rises with each change
	Holder      model.InstanceID
	Fencing     uint64 // of the lease under which the record was written
	Started     time.Time
	Ended       time.Time // zero while the move is open
	Figures     Figures
	// Seen counts for each route the target's requests at the present share;
	// it covers the minutes up to and including CountedTo.
	Seen      map[string]uint64
	CountedTo int64 // Unix minute
}

const (
	// epochBits of an epoch count the lifted stops of one move. The rest is
	// the document's generation, so that each instance can compare moves
	// without the record.
	epochBits = 16
	// revisionBits leave room for the changes of one move.
	revisionBits = 24
)

// lifts returns how many stops of the move were lifted.
func lifts(epoch uint64) int {
	return int(epoch & (1<<epochBits - 1))
}

// LeaseName returns the name of the lease for the moves of one model or
// service.
func LeaseName(serves string) string {
	return "moves/" + serves
}

// RowPrefix returns the prefix of the records of one model or service.
func RowPrefix(environment, serves string) string {
	return "moves/" + environment + "/" + serves + "/"
}

// RowKey returns the key of a record. Keys sort by generation.
func RowKey(environment, serves string, generation uint64) string {
	return fmt.Sprintf("%s%020d", RowPrefix(environment, serves), generation)
}

// SamePlan reports whether two plans ask for the same move. A document that
// changes only other things continues the move; a changed plan asks again.
func SamePlan(a, b model.VersionPlan) bool {
	return a.Target == b.Target && a.Previous == b.Previous && a.FinishBy.Equal(b.FinishBy)
}

// IsMove reports whether the plan asks for a move.
func IsMove(p model.VersionPlan) bool {
	return p.Previous != "" && p.Previous != p.Target
}

// shareRow returns the row of the stop table for the record. A finished move
// names no previous version, see settled.
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

// target returns the version that the move judges.
func (m *Move) target() model.VersionKey {
	return model.VersionKey{Serves: m.Serves, Version: m.Plan.Target}
}
