package watch

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Intervals and limits of probes.
const (
	// ProbeInterval is the time between two probes of an upstream.
	ProbeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// maxProbesPerSecond limits the probes of an instance that sees few others and
	// so watches many upstreams, for example an instance that is cut off: it then
	// probes each upstream less often. At the target size an instance makes 11
	// probes per second.
	maxProbesPerSecond = 100
	// probesToChangeHealth is the number of consecutive probes with the same result
	// that mark an upstream as down, or as up again. A single failure can be a lost
	// packet. If only one of the two watchers reaches the upstream, this number also
	// limits how often the two overrule each other.
	probesToChangeHealth = 2
)

// Intervals of publishing load figures. A region publishes one report every
// loadPerUpstream on average, whatever its number of upstreams. At 875 upstreams
// each is reported every 14 s in about 25 bytes, which is 1.6 kB/s for each copy.
// Reports to other regions are half as frequent, counted over all upstreams of the
// fleet. With more than maxWideLoadUpstreams there are none: each figure would be
// older than 15 s and no longer help routing.
const (
	loadPerUpstream      = 16 * time.Millisecond
	minLoadInterval      = time.Second
	maxLoadInterval      = 30 * time.Second
	maxWideLoadUpstreams = 500
	// startDelay is the time between the start of an instance and its first probes.
	startDelay = 5 * time.Second
)

// target is the state of one watched upstream.
type target struct {
	rank              int             // this instance's index among the watchers, from 0
	tableHealth       upstream.Health // health in the upstream table at the last probe
	failures          int             // consecutive failed probes since tableHealth changed
	successes         int             // consecutive good probes since tableHealth changed
	probing           bool
	lastPublished     time.Time
	tableSequence     uint64    // sequence number in the upstream table at the last probe
	sequenceChangedAt time.Time // when tableSequence last changed
	// lastPublishedWide is the time of the last publication to all regions.
	lastPublishedWide time.Time
}

// nextSequence returns a sequence number above the stored one. It is derived from
// the clock, so that the numbers of the second watcher are not behind those of the
// first. The lowest bit is the watcher's rank, so that the two never use the same
// number.
func nextSequence(stored uint64, rank int, now time.Time) uint64 {
	next := max(uint64(now.UnixMilli())<<1, stored+2)
	return next&^1 | uint64(rank&1)
}

// loadInterval returns the time between two publications of a load figure.
func loadInterval(upstreams int) time.Duration {
	return min(max(time.Duration(upstreams)*loadPerUpstream, minLoadInterval), maxLoadInterval)
}

// observeTable compares the report in the upstream table with that at the last
// probe. It is called before the result of a probe is recorded.
func (t *target) observeTable(known upstream.Report, now time.Time) {
	if known.Health != t.tableHealth {
		t.tableHealth, t.failures, t.successes = known.Health, 0, 0
	}
	if known.Sequence != t.tableSequence {
		t.tableSequence, t.sequenceChangedAt = known.Sequence, now
	}
}

// recordSuccess records a good probe and reports whether its report is to be used.
// An upstream that was down needs probesToChangeHealth good probes in a row, unless
// it has restarted.
func (t *target) recordSuccess(known, r upstream.Report) bool {
	t.failures = 0
	t.successes++
	restarted := r.Incarnation > known.Incarnation
	return known.Health != upstream.HealthDown || restarted || t.successes >= probesToChangeHealth
}

// recordFailure records a failed probe and reports whether the upstream is now to
// be marked as down.
func (t *target) recordFailure(known upstream.Report) bool {
	t.successes = 0
	t.failures++
	return t.failures >= probesToChangeHealth && known.Health != upstream.HealthDown && known.Health != upstream.HealthLeaving
}

// shouldPublish decides whether a report is published, and whether to all regions
// (wide). A change of health is published to all regions at once. Load figures are
// published by the first watcher, or by the second if the figure is overdue.
func (t *target) shouldPublish(healthChanged bool, regionalUpstreams, allUpstreams int, now time.Time) (publish, wide bool) {
	if healthChanged {
		return true, true
	}
	interval := loadInterval(regionalUpstreams)
	if t.rank > 0 && now.Sub(t.sequenceChangedAt) < 2*interval {
		return false, false
	}
	if now.Sub(t.lastPublished) < interval {
		return false, false
	}
	return true, allUpstreams <= maxWideLoadUpstreams && now.Sub(t.lastPublishedWide) >= loadInterval(2*allUpstreams)
}
