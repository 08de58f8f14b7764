// Package outcome counts the good and bad outcomes of recent requests at each
// upstream, as counted by this instance and as reported by others.
package outcome

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// HalfLife is the time in which an outcome loses half of its weight. Partial
	// failures of an upstream last seconds. With a shorter time, a failure would
	// lose its weight before the next request in a small deployment, where an
	// upstream gets a few requests per second.
	HalfLife = 4 * time.Second
	// minWeight is the weight below which outcomes are no longer reported or kept.
	minWeight = 0.05
	// MaxReported bounds the upstreams that one instance reports to the others. The
	// state message is one datagram of about 1,200 bytes; eight upstreams take
	// 160 bytes of it.
	MaxReported = 8
	// minReportedBad is the lowest weight of bad outcomes at an upstream, over all
	// instances, with which an instance reports its own outcomes there. Those of
	// other upstreams would not change a choice.
	minReportedBad = 0.25
)

// Tally counts outcomes by weight. The weight of an outcome is 1 when it is
// recorded and decays with HalfLife.
type Tally struct {
	Requests float64 // requests that ended, well or badly
	Bad      float64 // requests that failed or were late
}

func (t Tally) plus(o Tally) Tally { return Tally{t.Requests + o.Requests, t.Bad + o.Bad} }

// decayingTally is a tally whose weights are those at asOf.
type decayingTally struct {
	Tally
	asOf time.Time
}

// decayed returns the tally with the weights at the given time.
func (a decayingTally) decayed(now time.Time) Tally {
	factor := math.Exp2(-max(now.Sub(a.asOf), 0).Seconds() / HalfLife.Seconds())
	return Tally{a.Requests * factor, a.Bad * factor}
}

// Table sums outcomes over all instances. mu has lock.RankOutcome and guards the
// other fields.
//
// Invariant: local and remote drop an upstream at the next sweep after the weight
// of its outcomes fell below minWeight.
type Table struct {
	mu        lock.Mutex
	local     map[model.UpstreamID]decayingTally
	remote    map[model.InstanceID]map[model.UpstreamID]decayingTally
	lastSweep time.Time // time of the last sweep
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:     lock.New(lock.RankOutcome),
		local:  map[model.UpstreamID]decayingTally{},
		remote: map[model.InstanceID]map[model.UpstreamID]decayingTally{},
	}
}

// Record counts one request that ended at an upstream, and returns the upstream's
// tally over all instances.
func (t *Table) Record(id model.UpstreamID, bad bool, now time.Time) Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := Tally{Requests: 1}
	if bad {
		one.Bad = 1
	}
	t.local[id] = decayingTally{t.local[id].decayed(now).plus(one), now}
	t.sweep(now)
	return t.total(id, now)
}

// SetRemote replaces the tallies of another instance.
func (t *Table) SetRemote(from model.InstanceID, tallies map[model.UpstreamID]Tally, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make(map[model.UpstreamID]decayingTally, len(tallies))
	for id, tally := range tallies {
		reported[id] = decayingTally{tally, now}
	}
	t.remote[from] = reported
	t.sweep(now)
}

// Totals returns the tally of each upstream over all instances.
func (t *Table) Totals(now time.Time) map[model.UpstreamID]Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[model.UpstreamID]Tally, len(t.local))
	for id, a := range t.local {
		totals[id] = a.decayed(now)
	}
	for _, reported := range t.remote {
		for id, a := range reported {
			totals[id] = totals[id].plus(a.decayed(now))
		}
	}
	return totals
}

// LocalReport returns the tallies that this instance reports to others: its own, of
// the upstreams that had bad outcomes here or elsewhere. After a failure at one
// instance, the good outcomes of the others count too. If there are too many
// upstreams, those with the most bad outcomes here are returned.
func (t *Table) LocalReport(now time.Time) map[model.UpstreamID]Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []model.UpstreamID
	for id, a := range t.local {
		if a.decayed(now).Requests >= minWeight && t.total(id, now).Bad >= minReportedBad {
			ids = append(ids, id)
		}
	}
	if len(ids) > MaxReported {
		slices.SortFunc(ids, func(a, b model.UpstreamID) int {
			return cmp.Compare(t.local[b].decayed(now).Bad, t.local[a].decayed(now).Bad)
		})
		ids = ids[:MaxReported]
	}
	reported := make(map[model.UpstreamID]Tally, len(ids))
	for _, id := range ids {
		reported[id] = t.local[id].decayed(now)
	}
	return reported
}

// total sums the tallies of an upstream over all instances. The caller holds mu.
func (t *Table) total(id model.UpstreamID, now time.Time) Tally {
	sum := t.local[id].decayed(now)
	for _, reported := range t.remote {
		if a, ok := reported[id]; ok {
			sum = sum.plus(a.decayed(now))
		}
	}
	return sum
}

// sweep removes tallies whose weight is below minWeight, at most once in a
// half-life. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < HalfLife {
		return
	}
	t.lastSweep = now
	drop := func(tallies map[model.UpstreamID]decayingTally) {
		for id, a := range tallies {
			if a.decayed(now).Requests < minWeight {
				delete(tallies, id)
			}
		}
	}
	drop(t.local)
	for from, reported := range t.remote {
		drop(reported)
		if len(reported) == 0 {
			delete(t.remote, from)
		}
	}
}
