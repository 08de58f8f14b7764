package view

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Reporter makes the reports of an entry process. It is used by one goroutine.
type Reporter struct {
	Self      model.InstanceID
	Evidence  *evidence.Table
	Stops     *stop.Table
	Upstreams *upstream.Table
	Suspects  *suspect.Table

	sentEvidence map[evidence.Key]uint64 // requests in the row as it was sent
	sentStops    uint64
	sentSuspects uint64
	sentLeaves   map[model.UpstreamID]uint64 // incarnation
}

// Next returns what changed since the last call. failed tells that the last
// report was not received, so that everything is sent again.
func (r *Reporter) Next(now time.Time, failed bool) Report {
	if failed || r.sentEvidence == nil {
		r.sentEvidence = map[evidence.Key]uint64{}
		r.sentLeaves = map[model.UpstreamID]uint64{}
		r.sentStops, r.sentSuspects = 0, 0
	}
	report := Report{Evidence: r.changedEvidence(), Leaves: r.newLeaves(now)}
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

func (r *Reporter) changedEvidence() []gossip.EvidenceRow {
	var rows []gossip.EvidenceRow
	snapshot := r.Evidence.Snapshot()
	for key, counts := range snapshot {
		if key.Instance != r.Self || r.sentEvidence[key] == counts.Requests {
			continue
		}
		r.sentEvidence[key] = counts.Requests
		rows = append(rows, gossip.EvidenceRow{Key: key, Counts: counts})
	}
	for key := range r.sentEvidence {
		if _, ok := snapshot[key]; !ok {
			delete(r.sentEvidence, key)
		}
	}
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
