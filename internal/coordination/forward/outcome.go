package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/outlier"
)

// recordOutcome records the outcome of an attempt for its upstream, once for each
// attempt. Connection failures are not recorded here: they show that the upstream is
// down, not that it fails some of its requests.
func (r *activeRequest) recordOutcome(a *attempt, bad bool, cause string) {
	if a.outcomeRecorded {
		return
	}
	a.outcomeRecorded = true
	r.endReturnSlot(a, !bad)
	tally := r.m.opts.Outcomes.Record(a.upstream.ID, bad, time.Now())
	r.m.opts.Moves.Record(r.service.Name, a.upstream.Version, r.route.Name, bad)
	if !bad {
		return
	}
	r.m.opts.StateChanged()
	r.m.metrics.countBadOutcome(r.service.Name, cause)
	if risk := outlier.Risk(tally); risk >= outlier.MinLoggedRisk {
		r.m.opts.Log.WithFields(log.Fields{
			"request_id": string(r.req.ID),
			"upstream":   string(a.upstream.ID),
			"attempt":    a.number,
			"cause":      cause,
			"risk":       risk,
			"outcomes":   tally.Requests,
			"bad":        tally.Bad,
		}).Info("upstream at risk")
	}
}

// recordConnectionFailure records a connection failure against the upstream's version.
func (r *activeRequest) recordConnectionFailure(a *attempt) {
	if !a.outcomeRecorded {
		a.outcomeRecorded = true
		r.m.opts.Moves.Record(r.service.Name, a.upstream.Version, r.route.Name, true)
	}
}
