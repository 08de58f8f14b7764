package watch

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Times of watching.
const (
	// ProbeInterval is the time between two probes of an upstream.
	ProbeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// maxProbesPerSecond bounds the probes of an instance that finds few others,
	// for example one that is cut off: it then probes each upstream less often.
	// At the target size 11 fall to each instance.
	maxProbesPerSecond = 100
	// changeAfter is the number of probes in a row that make an upstream down, or
	// up again. One failure can be a lost packet. Where only one of the two
	// watchers reaches the upstream, it also bounds how often they overrule each
	// other.
	changeAfter = 2
)

// Times of publishing load figures. A region with n upstreams publishes one
// report each loadPerUpstream on average. At 875 upstreams that is one report
// of about 25 bytes for each upstream each 14 s, 1.6 kB/s for each copy.
// Other regions get load figures half as often for all upstreams together, and
// none from a fleet of more than wideLoadLimit, where each would be older than
// a quarter of a minute and no longer helps routing.
const (
	loadPerUpstream = 16 * time.Millisecond
	minLoadInterval = time.Second
	maxLoadInterval = 30 * time.Second
	wideLoadLimit   = 500
	// settleTime is the time after the start before an instance watches.
	settleTime = 5 * time.Second
)

// target is the state of one watched upstream.
type target struct {
	rank      int             // place among the watchers
	seen      upstream.Health // of the table at the last probe
	failures  int             // failed probes in a row since seen changed
	successes int             // good probes in a row since seen changed
	busy      bool
	published time.Time
	sequence  uint64    // of the table at the last probe
	heard     time.Time // when sequence changed
	// publishedWide is the last publication to all regions.
	publishedWide time.Time
}

// nextSequence returns a sequence number above the stored one. It follows the
// clock, so that the reports of the second watcher are not behind those of
// the first; the last bit keeps the two from using the same number.
func nextSequence(stored uint64, rank int, now time.Time) uint64 {
	next := max(uint64(now.UnixMilli())<<1, stored+2)
	return next&^1 | uint64(rank&1)
}

// loadInterval returns the time between two publications of a load figure.
func loadInterval(upstreams int) time.Duration {
	return min(max(time.Duration(upstreams)*loadPerUpstream, minLoadInterval), maxLoadInterval)
}

// note takes what the table says before a probe's result is judged.
func (t *target) note(known upstream.Report, now time.Time) {
	if known.Health != t.seen {
		t.seen, t.failures, t.successes = known.Health, 0, 0
	}
	if known.Sequence != t.sequence {
		t.sequence, t.heard = known.Sequence, now
	}
}

// succeeded reports whether a good probe counts: an upstream that was down
// comes up after two of them, and a restarted one at once.
func (t *target) succeeded(known, r upstream.Report) bool {
	t.failures = 0
	t.successes++
	restarted := r.Incarnation > known.Incarnation
	return known.Health != upstream.HealthDown || restarted || t.successes >= changeAfter
}

// failed reports whether the upstream is down after a failed probe.
func (t *target) failed(known upstream.Report) bool {
	t.successes = 0
	t.failures++
	return t.failures >= changeAfter && known.Health != upstream.HealthDown && known.Health != upstream.HealthLeaving
}

// publishes decides whether a report is published, and how far. A change of
// health goes everywhere at once. Load figures are published by the first
// watcher, or by the second when the figure is overdue.
func (t *target) publishes(changed bool, regional, all int, now time.Time) (publish, wide bool) {
	if changed {
		return true, true
	}
	interval := loadInterval(regional)
	if t.rank > 0 && now.Sub(t.heard) < 2*interval {
		return false, false
	}
	if now.Sub(t.published) < interval {
		return false, false
	}
	return true, all <= wideLoadLimit && now.Sub(t.publishedWide) >= loadInterval(2*all)
}
