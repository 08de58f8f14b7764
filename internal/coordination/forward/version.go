package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// targetFallbackShare is the traffic share from which on the target version also
	// takes requests for which there is no upstream of another version.
	targetFallbackShare = 0.5
	// previousStopTime is how long the target version is preferred after its move
	// ended. The upstreams of other versions stop as soon as the move ends, but their
	// entries remain for some intervals.
	previousStopTime = 15 * time.Second
)

// filterByVersion returns the upstreams of the version that the request goes to while
// its service moves to another version. The choice depends on the request ID alone, so
// that all attempts of a request use the same version.
func (m *Manager) filterByVersion(r *activeRequest, rows []upstream.Row, now time.Time) []upstream.Row {
	move, at, known := m.opts.Moves.Get(r.service.Name)
	if !known || (move.State == model.MoveFinished && now.Sub(at) > previousStopTime) {
		return rows
	}
	var target, others []upstream.Row
	for _, row := range rows {
		if row.Upstream.Version == move.Target {
			target = append(target, row)
		} else {
			others = append(others, row)
		}
	}
	switch {
	case move.State == model.MoveTakenBack:
		return others
	case move.State == model.MoveFinished && len(target) > 0:
		return target
	case move.State == model.MoveFinished:
		return others
	case len(target) > 0 && hashFraction(string(r.req.ID), model.UpstreamID(move.Target)) < move.Share:
		return target
	case len(others) == 0 && move.Share >= targetFallbackShare:
		return target
	default:
		return others
	}
}
