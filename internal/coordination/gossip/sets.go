package gossip

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// overrides reports whether state a of an instance replaces its state b.
func overrides(a, b InstanceStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return instance.StateRank(a.State) > instance.StateRank(b.State)
}

// applyLeave marks an upstream in the upstream table as leaving. If the table
// has only an older incarnation of the upstream, the row moves to the leaving
// one.
func (s *Store) applyLeave(l UpstreamLeave) {
	row, ok := s.tables.Upstreams.Get(l.Upstream)
	switch {
	case !ok || row.Report.Incarnation > l.Incarnation:
	case row.Report.Incarnation == l.Incarnation:
		s.tables.Upstreams.Leave(l.Upstream)
	default:
		s.tables.Upstreams.Apply(upstream.Report{
			Upstream:    l.Upstream,
			Incarnation: l.Incarnation,
			Health:      upstream.HealthLeaving,
		})
	}
}

// setHashes returns one hash for each set. A hash does not depend on the order
// of the set's items.
func (s *Store) setHashes() [setCount]uint64 {
	var sums [setCount]uint64
	for _, st := range s.states {
		sums[setStates] += hashItem(st.Instance, st.Incarnation, st.State)
	}
	for _, st := range s.tables.Stops.Stops() {
		sums[setStops] += hashItem(st.Key, st.Epoch)
	}
	for _, sh := range s.tables.Stops.Shares() {
		sums[setShares] += hashItem(sh.Serves, sh.Revision)
	}
	for _, l := range s.leaves {
		sums[setLeaves] += hashItem(l.Upstream, l.Incarnation)
	}
	if s.tables.Suspects == nil {
		return sums
	}
	sums[setSuspects] = suspectsHash(s.tables.Suspects.Snapshot(time.Now()))
	return sums
}

// suspectsHash covers the fields of rows that a merge can change.
func suspectsHash(rows suspect.Rows) uint64 {
	var sum uint64
	for _, d := range rows.Deaths {
		sum += hashItem("death", d.ID, d.Fingerprint, d.Position, d.At.UnixNano())
	}
	for _, c := range rows.Clears {
		sum += hashItem("clear", c.Fingerprint, c.At.UnixNano())
	}
	for _, p := range rows.Permits {
		sum += hashItem("permit", p.Fingerprint, p.Holder, p.At.UnixNano(), p.Released)
	}
	for _, h := range rows.Hosts {
		sum += hashItem("host", h.ID, h.Revision)
	}
	return sum
}

func hashItem(fields ...any) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%#v", fields)
	return d.Sum64()
}

// addSets adds the sets whose hashes differ from the peer's.
func (s *Store) addSets(delta *Delta, peer [setCount]uint64) {
	local := s.setHashes()
	if local[setStates] != peer[setStates] {
		for _, st := range s.states {
			delta.States = append(delta.States, st)
		}
	}
	if local[setStops] != peer[setStops] {
		delta.Stops = s.tables.Stops.Stops()
	}
	if local[setShares] != peer[setShares] {
		delta.Shares = s.tables.Stops.Shares()
	}
	if local[setLeaves] != peer[setLeaves] {
		for _, l := range s.leaves {
			delta.Leaves = append(delta.Leaves, l)
		}
	}
	if s.tables.Suspects == nil {
		return
	}
	if local[setSuspects] != peer[setSuspects] {
		delta.Suspects = s.tables.Suspects.Snapshot(time.Now())
	}
}
