package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// doubtTime is how long a failed upstream is avoided without a sign of
	// life. Entries of lost upstreams go after three intervals of 1.2 s.
	doubtTime = 4 * time.Second
	// reportAge is the most that a report is older than its reading: the
	// interval between two readings and the way of one.
	reportAge = 1200 * time.Millisecond
	// outageCount and outageShare are the failed upstreams of one failure
	// domain, and their part of its upstreams, from which on the others of the
	// domain are taken as lost too.
	outageCount = 2
	outageShare = 0.3
)

// outages holds the time of the last failure in each failure domain whose
// upstreams fail together.
type outages map[model.FailureDomain]time.Time

// outagesOf finds the failure domains that are lost, from all upstreams of one
// service.
func outagesOf(rows []upstream.Row, now time.Time) outages {
	type count struct {
		failed, all int
		last        time.Time
	}
	domains := map[model.FailureDomain]count{}
	for _, row := range rows {
		c := domains[row.Upstream.FailureDomain]
		c.all++
		if failedLately(row, now) {
			c.failed++
			if row.FailedAt.After(c.last) {
				c.last = row.FailedAt
			}
		}
		domains[row.Upstream.FailureDomain] = c
	}
	lost := outages{}
	for domain, c := range domains {
		if c.failed >= outageCount && float64(c.failed) >= outageShare*float64(c.all) {
			lost[domain] = c.last
		}
	}
	return lost
}

// doubts reports whether the upstream may be lost: it or its failure domain
// failed, and it gave no sign of life since.
func (o outages) doubts(row upstream.Row, now time.Time) bool {
	if failedLately(row, now) {
		return true
	}
	last, lost := o[row.Upstream.FailureDomain]
	return lost && !aliveSince(row, last)
}

func failedLately(row upstream.Row, now time.Time) bool {
	return now.Sub(row.FailedAt) < doubtTime && !aliveSince(row, row.FailedAt)
}

// aliveSince reports whether output or a report shows that the upstream lived
// after the given time.
func aliveSince(row upstream.Row, at time.Time) bool {
	return row.SeenAt.After(at) || row.Report.At.After(at.Add(reportAge))
}
