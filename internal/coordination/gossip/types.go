package gossip

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Origin identifies an instance as a source of entries. Incarnation is the one
// that the instance started with: a restart replaces all entries, while a
// refuted suspicion only raises the incarnation in the instance's record.
type Origin struct {
	ID          model.InstanceID
	Incarnation uint64
}

// VersionVector holds, for each origin of one region, the version up to which the
// sender has all entries. Versions are in the order of the roster, which is
// sorted by ID. A named vector lists the roster in Origins; a vector without
// names is for a receiver that is expected to have the same roster.
type VersionVector struct {
	Region   string
	Roster   uint64 // hash of the roster's IDs and incarnations
	Versions []uint64
	Named    bool
	Origins  []Origin
}

// Indices of Digest.Sets, whose sets are sent as a whole.
const (
	setStates = iota
	setStops
	setShares
	setLeaves
	setSuspects
	setCount
)

// DocumentHead identifies one generation of the document.
type DocumentHead struct {
	Generation uint64
	Hash       string
}

// Digest summarises the state that its sender has.
type Digest struct {
	Region     string // of the sender
	AllRegions bool   // Vectors holds all regions that the sender knows
	Vectors    []VersionVector
	Sets       [setCount]uint64 // one hash for each set
	Document   DocumentHead
}

// Delta holds the state that its receiver is missing.
type Delta struct {
	Updates           []Update
	ResultingVersions *VersionVector // versions that the receiver has once Updates are merged; may be nil
	States            []InstanceStatus
	Stops             []model.Stop
	Shares            []model.Share
	Leaves            []UpstreamLeave
	Suspects          suspect.Rows
	Steps             []DocumentStep  // in order, from the receiver's document to the sender's
	Document          *model.Document // the whole document, if the sender has no steps from the receiver's
}

// Empty reports whether the delta holds nothing.
func (d *Delta) Empty() bool {
	return len(d.Updates) == 0 && d.ResultingVersions == nil && len(d.States) == 0 && len(d.Stops) == 0 && len(d.Shares) == 0 &&
		len(d.Leaves) == 0 && d.Suspects.Empty() && len(d.Steps) == 0 && d.Document == nil
}

// Exchange is a message between two control processes: a request with a
// digest, its reply with a digest and a delta, or a delta alone.
type Exchange struct {
	Digest *Digest
	Delta  *Delta
}

// Update holds the entries of one origin with versions above From, up to To. A
// receiver that has all entries up to From then has all entries up to To. An
// update with To 0 only introduces the instance.
type Update struct {
	Origin   Origin
	From     uint64
	To       uint64
	Instance *model.Instance // nil when unchanged
	Changed  uint64          // version of Instance
	Reports  []Report
	Evidence []EvidenceRow
}

// Report is a report on an upstream. A report that is not wide stays in the
// region.
type Report struct {
	upstream.Report
	CrossRegion bool
	Changed     uint64 // version of the origin at which it changed
}

// EvidenceRow is one row of an instance's counters.
type EvidenceRow struct {
	Key     evidence.Key
	Counts  evidence.Counts
	Changed uint64 // version of the origin at which it changed
}

// InstanceStatus is a state of an instance that is not live.
type InstanceStatus struct {
	Instance    model.InstanceID
	Incarnation uint64 // of the instance's record
	State       model.InstanceState
}

// UpstreamLeave says that an upstream is leaving for the rest of its incarnation.
type UpstreamLeave struct {
	Upstream    model.UpstreamID
	Incarnation uint64
	At          time.Time // when the leaving was detected
}

// Splice replaces Delete rows of a list, starting at row At, by Insert.
type Splice[T any] struct {
	At     int
	Delete int
	Insert []T
}

// DocumentStep turns one document into a later one. A document of 3,500
// upstreams is about 700 kB, while a usual edit changes a few rows, so only
// the changed rows are sent.
type DocumentStep struct {
	From              DocumentHead
	To                DocumentHead
	RequireCredential bool
	Organisations     []Splice[model.Organisation]
	Models            []Splice[model.Model]
	Services          []Splice[model.Service]
	Upstreams         []Splice[model.Upstream]
}
