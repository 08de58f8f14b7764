// Package outlier estimates, from the outcomes of requests, the risk of upstreams
// that are alive but fail some of their requests or answer them late.
//
// Such an upstream passes its health checks. It is not ejected: the risk is one of
// several costs when a request is placed, so that the upstream still serves what
// the other upstreams have no room for. As old outcomes lose weight the risk falls,
// and a few requests then show whether the upstream has recovered. The package must
// not compare upstreams; that is up to the placement.
package outlier

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
)

const (
	// baselineRisk is the fraction of requests that are late at a healthy upstream.
	baselineRisk = 0.02
	// baselineWeight is the number of outcomes for which baselineRisk counts in the
	// estimate. With two, a single failure makes a risk of one third.
	baselineWeight = 2
	// MinLoggedRisk is the risk from which on a bad outcome is logged.
	MinLoggedRisk = 0.2
	// LateFraction is the fraction of the latency objective after which an unanswered
	// request counts as a bad outcome.
	LateFraction = 0.5
)

// Risk estimates the fraction of an upstream's requests that fail or are late, minus
// baselineRisk. The risk of an upstream that is no worse than the baseline is zero,
// whatever the number of its outcomes.
func Risk(t outcome.Tally) float64 {
	return max((t.Bad+baselineRisk*baselineWeight)/(t.Requests+baselineWeight)-baselineRisk, 0)
}

// LateAfter returns the time after which an unanswered request is a bad outcome;
// zero means never.
func LateAfter(objective time.Duration) time.Duration {
	return time.Duration(LateFraction * float64(objective))
}
