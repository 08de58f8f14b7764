package gossip

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// merge takes a delta. What is new is passed on by TakeUrgent.
func (s *Store) merge(d *Delta, now time.Time) {
	s.mergeDocument(d)
	for _, u := range d.Updates {
		s.mergeUpdate(u, now)
	}
	s.mergeAdvance(d.Advance, now)
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

// mergeDocument puts a later document in force. The table refuses others.
func (s *Store) mergeDocument(d *Delta) {
	next := d.Document
	if len(d.Steps) > 0 {
		next = follow(s.tables.Documents.Current(), d.Steps)
	}
	if next == nil || !s.tables.Documents.Apply(next) {
		return
	}
	s.tables.Upstreams.Configure(next.Upstreams)
	s.applyReports()
}

// applyReports offers all known reports to the upstream table again. A report
// can arrive before the document that names its upstream.
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

// mergeUpdate takes the entries of one origin. One that leaves a gap is
// dropped; a later exchange brings it again.
func (s *Store) mergeUpdate(u Update, now time.Time) {
	if u.Origin.ID == s.self.id.ID {
		s.seenSelf(u.Origin, now)
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
	o, ok := s.learn(u.Origin, region)
	if ok && u.To == 0 && o.record == nil {
		s.applyEntries(o, u)
	}
	if !ok || u.From > o.version || u.To <= o.version {
		return
	}
	s.tracker.Heard(o.id.ID, o.id.Incarnation, u.To, o.region, now)
	s.applyEntries(o, u)
	o.version = u.To
}

func (s *Store) applyEntries(o *origin, u Update) {
	if u.Instance != nil && u.Instance.ID == o.id.ID {
		s.mergeRecord(o, *u.Instance, min(u.Changed, u.To))
	}
	for _, r := range u.Reports {
		r.Changed = min(r.Changed, u.To)
		o.reports[reportKey{r.Upstream, r.Wide}] = r
		s.tables.Upstreams.Apply(r.Report)
	}
	for _, row := range u.Evidence {
		if row.Key.Instance != o.id.ID {
			continue
		}
		o.evidence[row.Key] = mark{changed: min(row.Changed, u.To)}
		s.tables.Evidence.Merge(row.Key, row.Counts)
	}
}

// mergeRecord takes an instance's own record, unless it is older than the
// known one.
func (s *Store) mergeRecord(o *origin, in model.Instance, at uint64) {
	in.State = model.InstanceLive
	if in.Incarnation < o.id.Incarnation || (o.record != nil && in.Incarnation < o.record.Incarnation) {
		return
	}
	if in.Region != o.region {
		delete(s.rosters, o.region)
		delete(s.rosters, in.Region)
		o.region = in.Region
	}
	o.record, o.recordAt = &in, at
	s.tables.Instances.Merge(in)
	s.replaceState(in.ID, in.Incarnation)
	if state, ok := s.states[in.ID]; ok {
		s.applyState(state)
	}
}

// addState stores a state that is not live, unless a newer one is known. An
// instance that learns a false state of itself refutes it.
func (s *Store) addState(st Status, now time.Time) {
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

// applyState changes the instance table if it has the same incarnation.
func (s *Store) applyState(st Status) {
	in, ok := s.tables.Instances.Get(st.Instance)
	if !ok || in.Incarnation != st.Incarnation {
		return
	}
	in.State = st.State
	s.tables.Instances.Merge(in)
}

// refute publishes this instance's record with a higher incarnation.
func (s *Store) refute(incarnation uint64, now time.Time) {
	_, leaving := s.states[s.self.id.ID]
	record := *s.self.record
	record.Incarnation = incarnation
	s.self.record, s.self.recordAt = &record, s.self.version+1
	s.tables.Instances.Merge(record)
	s.replaceState(record.ID, incarnation)
	if leaving {
		s.LeaveSelf(now)
	}
}

// seenSelf takes a higher incarnation than one that peers remember, which can
// come from a clock that was ahead when this instance ran before. All entries
// are published again under it.
func (s *Store) seenSelf(id Origin, now time.Time) {
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

// LeaveSelf says that this instance leaves.
func (s *Store) LeaveSelf(now time.Time) {
	s.addState(Status{s.self.id.ID, s.self.record.Incarnation, model.InstanceLeaving}, now)
}

// AddStop stores a stop.
func (s *Store) AddStop(st model.Stop) {
	if s.tables.Stops.Add(st) {
		s.urgent.Stops = append(s.urgent.Stops, st)
	}
}

// leaveLife is the age at which all instances drop the mark of a leaving
// upstream. By then its watchers report it as leaving, or it is gone.
const leaveLife = time.Hour

// AddLeave stores that an upstream leaves.
func (s *Store) AddLeave(l Leave, now time.Time) {
	if now.Sub(l.At) >= leaveLife {
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

// AddSuspects merges rows on requests that kill engines.
func (s *Store) AddSuspects(rows suspect.Rows, now time.Time) {
	if s.tables.Suspects != nil && !rows.Empty() && s.tables.Suspects.Merge(rows, now) {
		s.urgent.Suspects = s.tables.Suspects.Snapshot(now)
	}
}

// Announce merges what this instance found out itself, and passes it on even
// if the tables have it already.
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

// TakeUrgent returns what was learned since the last call and is passed on at
// once.
func (s *Store) TakeUrgent() *Delta {
	d := s.urgent
	s.urgent = Delta{}
	return &d
}

// DocumentChanged reports whether another document is in force since the last
// call.
func (s *Store) DocumentChanged() bool {
	s.history.record(s.tables.Documents.Current())
	changed := s.history.changed
	s.history.changed = false
	return changed
}
