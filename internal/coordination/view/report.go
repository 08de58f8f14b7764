package view

import (
	"maps"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// keptMinutes is the age up to which the evidence of an entry process is kept,
// for a control process that starts again. Version moves read no older
// evidence.
const keptMinutes = 60

// Reporter makes the reports of an entry process. It is used by one goroutine.
type Reporter struct {
	Self      model.InstanceID
	Evidence  *evidence.Table
	Stops     *stop.Table
	Upstreams *upstream.Table
	Suspects  *suspect.Table

	sentEvidence map[evidence.Key]uint64 // requests in the row as it was sent
	lookedAt     int64                   // minute of the last look at the evidence
	sentStops    uint64
	sentSuspects uint64
	sentLeaves   map[model.UpstreamID]uint64 // incarnation
}

// Next returns what changed since the last call. failed tells that the last
// report was not received, so that everything is sent again.
func (r *Reporter) Next(now time.Time, failed bool) Report {
	all := failed || r.sentEvidence == nil
	if all {
		r.sentEvidence = map[evidence.Key]uint64{}
		r.sentLeaves = map[model.UpstreamID]uint64{}
		r.sentStops, r.sentSuspects = 0, 0
	}
	report := Report{Evidence: r.changedEvidence(now, all), Leaves: r.newLeaves(now)}
	if n := r.Stops.Version(); n > r.sentStops {
		report.Stops = r.Stops.Stops()
		r.sentStops = n
	}
	if n := r.Suspects.Version(); n > r.sentSuspects {
		report.Suspects = r.Suspects.Snapshot(now)
		r.sentSuspects = n
	}
	return report
}

// changedEvidence returns the own rows that have new counts. Requests count
// for the minute in which they end, so minutes before the last look do not
// change; one more allows for a request that is just being counted.
func (r *Reporter) changedEvidence(now time.Time, all bool) []gossip.EvidenceRow {
	minute := now.Unix() / 60
	oldest := min(r.lookedAt, minute) - 1
	if all {
		oldest = minute - keptMinutes
	}
	r.lookedAt = minute
	r.Evidence.DropBefore(minute - keptMinutes)
	var rows []gossip.EvidenceRow
	for key, counts := range r.Evidence.Of(r.Self, oldest) {
		if r.sentEvidence[key] == counts.Requests {
			continue
		}
		r.sentEvidence[key] = counts.Requests
		rows = append(rows, gossip.EvidenceRow{Key: key, Counts: counts})
	}
	maps.DeleteFunc(r.sentEvidence, func(k evidence.Key, _ uint64) bool { return k.Minute < oldest })
	return rows
}

func (r *Reporter) newLeaves(now time.Time) []gossip.Leave {
	var leaves []gossip.Leave
	for _, row := range r.Upstreams.Serving("") {
		id, incarnation := row.Upstream.ID, row.Report.Incarnation
		sent, ok := r.sentLeaves[id]
		if row.Report.Health != upstream.HealthLeaving || (ok && sent == incarnation) {
			continue
		}
		r.sentLeaves[id] = incarnation
		leaves = append(leaves, gossip.Leave{Upstream: id, Incarnation: incarnation, At: now})
	}
	return leaves
}
