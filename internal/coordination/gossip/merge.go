package gossip

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// merge merges a delta into the store and the tables. New urgent changes are
// returned by the next TakeUrgent.
func (s *Store) merge(d *Delta, now time.Time) {
	s.mergeDocument(d)
	for _, u := range d.Updates {
		s.mergeUpdate(u, now)
	}
	s.mergeAdvance(d.ResultingVersions, now)
	for _, st := range d.States {
		s.addState(st, now)
	}
	for _, st := range d.Stops {
		s.AddStop(st)
	}
	for _, share := range d.Shares {
		s.tables.Stops.SetShare(share)
	}
	for _, l := range d.Leaves {
		s.AddLeave(l, now)
	}
	s.AddSuspects(d.Suspects, now)
}

// mergeDocument puts the document of a delta in force if it is later than the
// current one. The table rejects any other.
func (s *Store) mergeDocument(d *Delta) {
	next := d.Document
	if len(d.Steps) > 0 {
		next = applySteps(s.tables.Documents.Current(), d.Steps)
	}
	if next == nil || !s.tables.Documents.Apply(next) {
		return
	}
	s.tables.Upstreams.Configure(next.Upstreams)
	s.applyReports()
}

// applyReports applies all known reports and leaving upstreams to the upstream
// table again. They can arrive before the document that names their upstream.
func (s *Store) applyReports() {
	for _, o := range s.origins {
		for _, r := range o.reports {
			s.tables.Upstreams.Apply(r.Report)
		}
	}
	for _, l := range s.leaves {
		s.applyLeave(l)
	}
}

// mergeUpdate merges the entries of one origin. An update that would leave a
// gap between versions is dropped; a later exchange sends its entries again.
func (s *Store) mergeUpdate(u Update, now time.Time) {
	if u.Origin.ID == s.self.id.ID {
		s.raiseIncarnation(u.Origin, now)
		return
	}
	old, known := s.origins[u.Origin.ID]
	if !known && u.Instance == nil {
		return
	}
	var region string
	if u.Instance != nil {
		region = u.Instance.Region
	} else {
		region = old.region
	}
	o, ok := s.addOrigin(u.Origin, region)
	if ok && u.To == 0 && o.record == nil {
		s.applyEntries(o, u)
	}
	if !ok || u.From > o.version || u.To <= o.version {
		return
	}
	s.tracker.RecordHeartbeat(o.id.ID, o.id.Incarnation, u.To, o.region, now)
	s.applyEntries(o, u)
	o.version = u.To
}

func (s *Store) applyEntries(o *origin, u Update) {
	if u.Instance != nil && u.Instance.ID == o.id.ID {
		s.mergeRecord(o, *u.Instance, min(u.Changed, u.To))
	}
	for _, r := range u.Reports {
		r.Changed = min(r.Changed, u.To)
		o.reports[reportKey{r.Upstream, r.CrossRegion}] = r
		s.tables.Upstreams.Apply(r.Report)
	}
	for _, row := range u.Evidence {
		if row.Key.Instance != o.id.ID {
			continue
		}
		o.evidence[row.Key] = evidenceMark{changed: min(row.Changed, u.To)}
		s.tables.Evidence.Merge(row.Key, row.Counts)
	}
}

// mergeRecord stores an instance's own record, unless a higher incarnation of
// the instance is known.
func (s *Store) mergeRecord(o *origin, in model.Instance, version uint64) {
	in.State = model.InstanceLive
	if in.Incarnation < o.id.Incarnation || (o.record != nil && in.Incarnation < o.record.Incarnation) {
		return
	}
	if in.Region != o.region {
		delete(s.rosters, o.region)
		delete(s.rosters, in.Region)
		o.region = in.Region
	}
	o.record, o.recordVersion = &in, version
	s.tables.Instances.Merge(in)
	s.dropOlderState(in.ID, in.Incarnation)
	if state, ok := s.states[in.ID]; ok {
		s.applyState(state)
	}
}

// addState stores a state that is not live, unless a newer one is known. This
// instance refutes a suspected or dead state of itself.
func (s *Store) addState(st InstanceStatus, now time.Time) {
	id := st.Instance
	if id == s.self.id.ID && st.State != model.InstanceLeaving {
		if st.Incarnation >= s.self.record.Incarnation {
			s.refute(st.Incarnation+1, now)
		}
		return
	}
	o, ok := s.origins[id]
	if !ok || st.Incarnation < o.id.Incarnation || (o.record != nil && st.Incarnation < o.record.Incarnation) {
		return
	}
	if old, ok := s.states[id]; ok && !overrides(st, old) {
		return
	}
	s.states[id] = st
	if st.State == model.InstanceDead {
		s.deadSince[id] = now
	}
	if st.State == model.InstanceLeaving {
		s.urgent.States = append(s.urgent.States, st)
	}
	s.applyState(st)
}

// applyState writes a state to the instance table if the table's row has the
// same incarnation.
func (s *Store) applyState(st InstanceStatus) {
	in, ok := s.tables.Instances.Get(st.Instance)
	if !ok || in.Incarnation != st.Incarnation {
		return
	}
	in.State = st.State
	s.tables.Instances.Merge(in)
}

// refute publishes this instance's record with a higher incarnation, which
// overrides a false state.
func (s *Store) refute(incarnation uint64, now time.Time) {
	_, leaving := s.states[s.self.id.ID]
	record := *s.self.record
	record.Incarnation = incarnation
	s.self.record, s.self.recordVersion = &record, s.self.version+1
	s.tables.Instances.Merge(record)
	s.dropOlderState(record.ID, incarnation)
	if leaving {
		s.LeaveSelf(now)
	}
}

// raiseIncarnation moves this instance to the incarnation above the one that
// peers remember, if theirs is higher, which can come from an earlier run with
// a clock that was ahead. All entries are published again under the new
// incarnation.
func (s *Store) raiseIncarnation(id Origin, now time.Time) {
	if id.Incarnation <= s.self.id.Incarnation {
		return
	}
	s.self.id.Incarnation = id.Incarnation + 1
	delete(s.rosters, s.self.region)
	next := s.self.version + 1
	for key, r := range s.self.reports {
		r.Changed = next
		s.self.reports[key] = r
	}
	for key, r := range s.self.evidence {
		r.changed = next
		s.self.evidence[key] = r
	}
	s.refute(max(s.self.id.Incarnation, s.self.record.Incarnation+1), now)
}

// LeaveSelf stores that this instance is leaving.
func (s *Store) LeaveSelf(now time.Time) {
	s.addState(InstanceStatus{s.self.id.ID, s.self.record.Incarnation, model.InstanceLeaving}, now)
}

// AddStop stores a stop. A new stop is urgent.
func (s *Store) AddStop(st model.Stop) {
	if s.tables.Stops.Add(st) {
		s.urgent.Stops = append(s.urgent.Stops, st)
	}
}

// maxLeaveAge is the age at which all instances drop the Leave of an upstream.
// By then the watchers of the upstream report it as leaving, or it is gone.
const maxLeaveAge = time.Hour

// AddLeave stores that an upstream is leaving. A new Leave is urgent.
func (s *Store) AddLeave(l UpstreamLeave, now time.Time) {
	if now.Sub(l.At) >= maxLeaveAge {
		return
	}
	if old, ok := s.leaves[l.Upstream]; ok && old.Incarnation >= l.Incarnation {
		return
	}
	if row, ok := s.tables.Upstreams.Get(l.Upstream); ok && row.Report.Incarnation > l.Incarnation {
		return
	}
	s.leaves[l.Upstream] = l
	s.urgent.Leaves = append(s.urgent.Leaves, l)
	s.applyLeave(l)
}

// AddSuspects merges rows on requests that kill engines. Rows that change the
// table are urgent.
func (s *Store) AddSuspects(rows suspect.Rows, now time.Time) {
	if s.tables.Suspects != nil && !rows.Empty() && s.tables.Suspects.Merge(rows, now) {
		s.urgent.Suspects = s.tables.Suspects.Snapshot(now)
	}
}

// Announce merges changes that this instance detected, and makes them urgent
// even if the tables have them already.
func (s *Store) Announce(d Delta, now time.Time) {
	s.merge(&d, now)
	s.urgent.Stops = union(s.urgent.Stops, d.Stops)
	s.urgent.Leaves = union(s.urgent.Leaves, d.Leaves)
	if s.tables.Suspects != nil && !d.Suspects.Empty() {
		s.urgent.Suspects = s.tables.Suspects.Snapshot(now)
	}
	s.urgent.Shares = union(s.urgent.Shares, d.Shares)
}

func union[T comparable](all, more []T) []T {
	for _, item := range more {
		if !slices.Contains(all, item) {
			all = append(all, item)
		}
	}
	return all
}

// TakeUrgent returns and clears the urgent changes since the last call. They
// are sent to partners without waiting for a round.
func (s *Store) TakeUrgent() *Delta {
	d := s.urgent
	s.urgent = Delta{}
	return &d
}

// DocumentChanged reports whether the document in force changed since the last
// call.
func (s *Store) DocumentChanged() bool {
	s.history.record(s.tables.Documents.Current())
	changed := s.history.changed
	s.history.changed = false
	return changed
}
