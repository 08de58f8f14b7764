package suspect

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// CommonFailureTime is the time within which failures may have one cause.
const CommonFailureTime = 500 * time.Millisecond

// Dispute records a death at whose moment other upstreams failed too, so that its cause
// may be another than the fingerprint. An instance knows which upstreams failed, but only
// of its own requests which of them they ran on. The death therefore counts only once the
// rows of all instances show that the fingerprint ran on the other upstreams as well.
type Dispute struct {
	Death
	Beside    []model.UpstreamID // the other upstreams that failed, sorted
	Tolerated int                // number of them that may have failed for a reason of their own
	// Shared says that sound requests have the fingerprint too. An outage of all upstreams
	// looks the same for it, so the deaths of one moment count as one.
	Shared bool
}

// addDispute adds a dispute. Of one death that several instances dispute, the earliest
// time, all failures and the smallest tolerance are kept.
func (t *Table) addDispute(d Dispute, now time.Time) bool {
	if !isCurrent(d.At, now, expiry) {
		return false
	}
	key := deathKey{fingerprint: d.Fingerprint, id: d.ID}
	if old, ok := t.disputes[key]; ok {
		d.Beside = union(old.Beside, d.Beside)
		d.Tolerated = min(d.Tolerated, old.Tolerated)
		d.Shared = d.Shared || old.Shared
		if old.At.Before(d.At) {
			d.At = old.At
		}
		if d.At.Equal(old.At) && d.Tolerated == old.Tolerated && d.Shared == old.Shared && len(d.Beside) == len(old.Beside) {
			return false
		}
	}
	t.disputes[key] = d
	return true
}

// union returns the IDs of both lists, sorted.
func union(a, b []model.UpstreamID) []model.UpstreamID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// countedDeaths returns the deaths that count against the fingerprint, by time. The caller
// holds mu.
func (t *Table) countedDeaths(fp Fingerprint, now time.Time) []Death {
	counted, disputes := t.uncleared(fp, now)
	ranOn := map[model.UpstreamID]bool{}
	for _, d := range counted {
		ranOn[d.ID.Upstream] = true
	}
	for _, d := range disputes {
		ranOn[d.ID.Upstream] = true
	}
	var lastShared time.Time
	for _, d := range disputes {
		if !d.isExplained(ranOn) {
			continue
		}
		if d.Shared {
			if !lastShared.IsZero() && d.At.Sub(lastShared) <= CommonFailureTime {
				continue
			}
			lastShared = d.At
		}
		counted = append(counted, d.Death)
	}
	slices.SortFunc(counted, compareDeaths)
	return counted
}

// isExplained reports whether the fingerprint ran on the upstreams that failed beside the
// death, but for the tolerated number.
func (d Dispute) isExplained(ranOn map[model.UpstreamID]bool) bool {
	others := 0
	for _, id := range d.Beside {
		if !ranOn[id] {
			others++
		}
	}
	return others <= d.Tolerated
}

// uncleared returns the deaths and the disputes of the fingerprint, by time, that have
// neither expired nor been cleared. A death that one instance has no reason to dispute is
// not disputed. The caller holds mu.
func (t *Table) uncleared(fp Fingerprint, now time.Time) (deaths []Death, disputes []Dispute) {
	cleared := t.clears[fp].At
	isOpen := func(at time.Time) bool { return at.After(cleared) && now.Sub(at) < expiry }
	for _, id := range t.deathIDs[fp] {
		key := deathKey{fingerprint: fp, id: id}
		if d, undisputed := t.deaths[key]; undisputed {
			if isOpen(d.At) {
				deaths = append(deaths, d)
			}
			continue
		}
		if d := t.disputes[key]; isOpen(d.At) {
			disputes = append(disputes, d)
		}
	}
	slices.SortFunc(deaths, compareDeaths)
	slices.SortFunc(disputes, func(a, b Dispute) int { return compareDeaths(a.Death, b.Death) })
	return deaths, disputes
}

// Deaths returns the deaths that count against the fingerprint, by time, and the number of
// disputed ones among them.
func (t *Table) Deaths(fp Fingerprint, now time.Time) (deaths []Death, disputed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths = t.countedDeaths(fp, now)
	for _, d := range deaths {
		if _, undisputed := t.deaths[deathKey{fingerprint: fp, id: d.ID}]; !undisputed {
			disputed++
		}
	}
	return deaths, disputed
}

// Evidence returns the rows of the fingerprint that have neither expired nor been cleared,
// whether they count or not, and its clear row if it has one.
func (t *Table) Evidence(fp Fingerprint, now time.Time) Rows {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows Rows
	rows.Deaths, rows.Disputes = t.uncleared(fp, now)
	if c, cleared := t.clears[fp]; cleared {
		rows.Clears = []Clear{c}
	}
	return rows
}

// BeginTrial reports whether this instance may run the fingerprint once although its
// deaths say that it should be refused. It may if no trial has begun here within the
// interval, or since the last clear row.
func (t *Table) BeginTrial(fp Fingerprint, interval time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, tried := t.trials[fp]
	if tried && now.Sub(last) < interval && last.After(t.clears[fp].At) {
		return false
	}
	t.trials[fp] = now
	return true
}

// CancelTrial ends a trial that no upstream has run.
func (t *Table) CancelTrial(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.trials, fp)
}
