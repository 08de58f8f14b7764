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

// evidenceRetentionMinutes is how long the entry process keeps its evidence, so
// that it can send all of it again to a restarted control process. Version moves
// read no older evidence.
const evidenceRetentionMinutes = 60

// Reporter makes the reports of an entry process. It is used by one goroutine.
type Reporter struct {
	Self      model.InstanceID
	Evidence  *evidence.Table
	Stops     *stop.Table
	Upstreams *upstream.Table
	Suspects  *suspect.Table

	sentEvidence       map[evidence.Key]uint64     // number of requests in each row when it was last sent
	lastEvidenceMinute int64                       // Unix minute in which the evidence was last read
	sentStops          uint64                      // version of the table
	sentSuspects       uint64                      // version of the table
	sentLeaves         map[model.UpstreamID]uint64 // incarnation of each leaving upstream that was sent
}

// Next returns what changed since the last call. failed means that the last
// report was not received, so that everything is sent again.
func (r *Reporter) Next(now time.Time, failed bool) Report {
	resend := failed || r.sentEvidence == nil
	if resend {
		r.sentEvidence = map[evidence.Key]uint64{}
		r.sentLeaves = map[model.UpstreamID]uint64{}
		r.sentStops, r.sentSuspects = 0, 0
	}
	report := Report{Evidence: r.changedEvidence(now, resend), Leaves: r.newLeaves(now)}
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

// changedEvidence returns the rows of this instance that have new counts. A request
// counts for the minute in which it ends, so minutes before the last read do not
// change. One more minute is read for a request that was being counted at that
// time.
func (r *Reporter) changedEvidence(now time.Time, resend bool) []gossip.EvidenceRow {
	minute := now.Unix() / 60
	oldest := min(r.lastEvidenceMinute, minute) - 1
	if resend {
		oldest = minute - evidenceRetentionMinutes
	}
	r.lastEvidenceMinute = minute
	r.Evidence.DropBefore(minute - evidenceRetentionMinutes)
	var rows []gossip.EvidenceRow
	for key, counts := range r.Evidence.InstanceRows(r.Self, oldest) {
		if r.sentEvidence[key] == counts.Requests {
			continue
		}
		r.sentEvidence[key] = counts.Requests
		rows = append(rows, gossip.EvidenceRow{Key: key, Counts: counts})
	}
	maps.DeleteFunc(r.sentEvidence, func(k evidence.Key, _ uint64) bool { return k.Minute < oldest })
	return rows
}

func (r *Reporter) newLeaves(now time.Time) []gossip.UpstreamLeave {
	var leaves []gossip.UpstreamLeave
	for _, row := range r.Upstreams.Serving("") {
		id, incarnation := row.Upstream.ID, row.Report.Incarnation
		sent, ok := r.sentLeaves[id]
		if row.Report.Health != upstream.HealthLeaving || (ok && sent == incarnation) {
			continue
		}
		r.sentLeaves[id] = incarnation
		leaves = append(leaves, gossip.UpstreamLeave{Upstream: id, Incarnation: incarnation, At: now})
	}
	return leaves
}
