package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// failedUpstreamTimeout is how long a failed upstream is avoided unless it shows
	// a sign of life. The entry of a lost upstream expires after three intervals of
	// 1.2 s.
	failedUpstreamTimeout = 4 * time.Second
	// maxReportAge bounds by how much a report's content can be older than its time
	// stamp: the interval between two readings plus the delivery time of one.
	maxReportAge = 1200 * time.Millisecond
	// outageMinFailed and outageMinShare are the number and the share of failed
	// upstreams in a failure domain from which on the domain's other upstreams are
	// assumed to be lost too.
	outageMinFailed = 2
	outageMinShare  = 0.3
)

// outages holds, for each failure domain that is considered lost, the time of the
// last failure there.
type outages map[model.FailureDomain]time.Time

// detectOutages finds the lost failure domains of a service from its upstreams that
// failed lately and the number of its upstreams in each failure domain.
func detectOutages(failed []upstream.Row, sizes map[model.FailureDomain]int, now time.Time) outages {
	if len(failed) < outageMinFailed {
		return nil
	}
	type count struct {
		failed int
		last   time.Time
	}
	domains := map[model.FailureDomain]count{}
	for _, row := range failed {
		if !recentlyFailed(row, now) {
			continue
		}
		c := domains[row.Upstream.FailureDomain]
		c.failed++
		if row.FailedAt.After(c.last) {
			c.last = row.FailedAt
		}
		domains[row.Upstream.FailureDomain] = c
	}
	lost := outages{}
	for domain, c := range domains {
		if c.failed >= outageMinFailed && float64(c.failed) >= outageMinShare*float64(sizes[domain]) {
			lost[domain] = c.last
		}
	}
	return lost
}

// outagesOf returns the lost failure domains of the service.
func (m *Manager) outagesOf(service string, now time.Time) outages {
	failed, sizes := m.opts.Upstreams.Failed(service, now.Add(-failedUpstreamTimeout))
	return detectOutages(failed, sizes, now)
}

// mayBeLost reports whether the upstream may be lost: the upstream or its failure
// domain failed, and the upstream has shown no sign of life since.
func (o outages) mayBeLost(row upstream.Row, now time.Time) bool {
	if recentlyFailed(row, now) {
		return true
	}
	last, lost := o[row.Upstream.FailureDomain]
	return lost && !aliveSince(row, last)
}

// recentlyFailed reports whether the upstream failed within failedUpstreamTimeout
// and has shown no sign of life since.
func recentlyFailed(row upstream.Row, now time.Time) bool {
	return now.Sub(row.FailedAt) < failedUpstreamTimeout && !aliveSince(row, row.FailedAt)
}

// aliveSince reports whether output or a report shows that the upstream was alive
// after the given time.
func aliveSince(row upstream.Row, at time.Time) bool {
	return row.LastOutputAt.After(at) || row.Report.At.After(at.Add(maxReportAge))
}
