package gossip

import (
	"maps"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Tables are the shared tables that gossip reads and merges into.
type Tables struct {
	Documents *document.Table
	Instances *instance.Table
	Upstreams *upstream.Table
	Stops     *stop.Table
	Evidence  *evidence.Table
	Suspects  *suspect.Table // nil while nothing tracks engine deaths
}

// Times of the store.
const (
	// RoundInterval is the time between two rounds.
	RoundInterval = 500 * time.Millisecond
	// forgetAfter is the time after which a dead instance is dropped. Until
	// then it is asked now and then, so that a partition heals by itself.
	forgetAfter = 10 * time.Minute
	// forgottenFor is the time for which a dropped instance is not learned
	// again under the same incarnation, from peers that drop it later.
	forgottenFor = 30 * time.Minute
	// silentRegionLimit is the silence after which all instances of another
	// region are dropped. Regions lose contact for minutes.
	silentRegionLimit = time.Hour
	// evidenceLife is the age up to which evidence rows are sent to peers that
	// lack them.
	evidenceLife = 3 * time.Minute
	// replacedAfter is the age in versions, 10 minutes, from which a report that
	// another watcher replaced is dropped.
	replacedAfter       = 1200
	reportSweepInterval = time.Minute
	// evidencePerInstance and its bounds set the time between two publications
	// of evidence: it grows with the fleet, since each row reaches everyone.
	evidencePerInstance = 100 * time.Millisecond
	minEvidenceInterval = 2 * time.Second
	maxEvidenceInterval = time.Minute
)

// origin is what is known of one instance as a source of entries.
type origin struct {
	id       Origin
	region   string
	version  uint64 // all entries up to here are known, or all wide ones in other regions
	record   *model.Instance
	recordAt uint64
	reports  map[reportKey]Report
	evidence map[evidence.Key]mark
}

// mark says when an evidence row last changed. The counts are in the evidence
// table.
type mark struct {
	changed  uint64 // version of the origin
	requests uint64 // as published; only of own rows
}

// reportKey keeps the last wide report of an upstream apart from a later one
// that stays in the region: other regions, which can be cut off for minutes,
// still lack the wide one.
type reportKey struct {
	upstream model.UpstreamID
	wide     bool
}

func newOrigin(id Origin, region string) *origin {
	return &origin{
		id:       id,
		region:   region,
		reports:  map[reportKey]Report{},
		evidence: map[evidence.Key]mark{},
	}
}

// forgotten marks an instance that was dropped.
type forgotten struct {
	incarnation uint64
	until       time.Time
}

// Store holds the entries of all origins. It is used under one worker key and
// has no lock; the tables that it merges into have theirs.
type Store struct {
	self      *origin
	tables    Tables
	tracker   *membership.Tracker
	origins   map[model.InstanceID]*origin
	rosters   map[string]*roster // by region; missing after a change
	states    map[model.InstanceID]Status
	leaves    map[model.UpstreamID]Leave
	deadSince map[model.InstanceID]time.Time
	forgotten map[model.InstanceID]forgotten
	history   history
	urgent    Delta
	published time.Time // last publication of evidence
	swept     time.Time // last removal of replaced reports
}

// NewStore returns a store that knows only its own instance.
func NewStore(self model.Instance, tables Tables) *Store {
	self.State = model.InstanceLive
	s := &Store{
		tables:    tables,
		tracker:   membership.NewTracker(self.ID, self.Region),
		origins:   map[model.InstanceID]*origin{},
		rosters:   map[string]*roster{},
		states:    map[model.InstanceID]Status{},
		leaves:    map[model.UpstreamID]Leave{},
		deadSince: map[model.InstanceID]time.Time{},
		forgotten: map[model.InstanceID]forgotten{},
	}
	s.self = newOrigin(Origin{self.ID, self.Incarnation}, self.Region)
	s.self.record, s.self.recordAt = &self, 1
	s.origins[self.ID] = s.self
	tables.Instances.Merge(self)
	s.history.record(tables.Documents.Current())
	return s
}

// Tick starts a round: it publishes own changes under a new version and
// judges silent instances.
func (s *Store) Tick(now time.Time) {
	s.publishEvidence(now)
	// Versions follow the clock, so that those of all origins are close
	// together and a vector of them is short.
	s.self.version = max(s.self.version+1, uint64(now.UnixMilli()/RoundInterval.Milliseconds()))
	for _, v := range s.tracker.Tick(now) {
		if o, ok := s.origins[v.Instance]; ok && o.record != nil {
			s.addState(Status{v.Instance, o.record.Incarnation, v.State}, now)
		}
	}
	s.forget(now)
	s.dropStale(now)
	s.dropReplacedReports(now)
}

// PublishReport publishes a report on an upstream that this instance watches,
// or learned of first. A report that is not wide stays in the region.
func (s *Store) PublishReport(r Report) {
	r.Changed = s.self.version + 1
	s.self.reports[reportKey{r.Upstream, r.Wide}] = r
}

// WithdrawReport drops own reports on an upstream that others watch now. Peers
// drop their copies once others have newer ones.
func (s *Store) WithdrawReport(id model.UpstreamID) {
	delete(s.self.reports, reportKey{id, false})
	delete(s.self.reports, reportKey{id, true})
}

// publishEvidence publishes this instance's counters of the versions that
// take part in a move.
func (s *Store) publishEvidence(now time.Time) {
	interval := time.Duration(len(s.origins)) * evidencePerInstance
	if now.Sub(s.published) < min(max(interval, minEvidenceInterval), maxEvidenceInterval) {
		return
	}
	s.published = now
	moving := s.movingVersions()
	if len(moving) == 0 {
		return
	}
	oldest := now.Add(-evidenceLife).Unix() / 60
	for key, counts := range s.tables.Evidence.Of(s.self.id.ID, oldest) {
		if !moving[key.Version] {
			continue
		}
		if old, ok := s.self.evidence[key]; ok && old.requests == counts.Requests {
			continue
		}
		s.self.evidence[key] = mark{s.self.version + 1, counts.Requests}
	}
}

func (s *Store) movingVersions() map[model.VersionKey]bool {
	moving := map[model.VersionKey]bool{}
	for _, share := range s.tables.Stops.Shares() {
		if share.Previous == "" {
			continue
		}
		moving[model.VersionKey{Serves: share.Serves, Version: share.Target}] = true
		moving[model.VersionKey{Serves: share.Serves, Version: share.Previous}] = true
	}
	return moving
}

// dropStale removes old evidence rows and leaving marks that no longer matter.
func (s *Store) dropStale(now time.Time) {
	oldest := now.Add(-evidenceLife).Unix() / 60
	for _, o := range s.origins {
		maps.DeleteFunc(o.evidence, func(k evidence.Key, _ mark) bool { return k.Minute < oldest })
	}
	for id, leave := range s.leaves {
		row, ok := s.tables.Upstreams.Get(id)
		if now.Sub(leave.At) >= leaveLife || (ok && row.Report.Incarnation > leave.Incarnation) {
			delete(s.leaves, id)
		}
	}
}

// dropReplacedReports removes reports of former watchers: another origin has a
// newer one, and this one was not renewed for long.
func (s *Store) dropReplacedReports(now time.Time) {
	if now.Sub(s.swept) < reportSweepInterval {
		return
	}
	s.swept = now
	newest := map[reportKey]uint64{}
	for _, o := range s.origins {
		for key, r := range o.reports {
			newest[key] = max(newest[key], r.Sequence)
		}
	}
	for _, o := range s.origins {
		maps.DeleteFunc(o.reports, func(key reportKey, r Report) bool {
			return o != s.self && r.Sequence < newest[key] && r.Changed+replacedAfter < o.version
		})
	}
}

// forget drops instances that have been dead, or whose region has been
// silent, for long.
func (s *Store) forget(now time.Time) {
	maps.DeleteFunc(s.forgotten, func(_ model.InstanceID, f forgotten) bool { return now.After(f.until) })
	for id, o := range s.origins {
		dead, isDead := s.deadSince[id]
		lost := o.region != s.self.region && s.tracker.RegionSilence(o.region, now) >= silentRegionLimit
		if (isDead && now.Sub(dead) >= forgetAfter) || lost {
			s.drop(o, now)
		}
	}
}

func (s *Store) drop(o *origin, now time.Time) {
	id := o.id.ID
	s.forgotten[id] = forgotten{o.id.Incarnation, now.Add(forgottenFor)}
	delete(s.origins, id)
	delete(s.rosters, o.region)
	delete(s.states, id)
	delete(s.deadSince, id)
	s.tracker.Forget(id)
	if in, ok := s.tables.Instances.Get(id); ok {
		in.State = model.InstanceDead
		s.tables.Instances.Merge(in)
		s.tables.Instances.Forget(id, in.Incarnation)
	}
}

// Ages returns for each other instance the time since it was last heard of.
func (s *Store) Ages(now time.Time) map[model.InstanceID]time.Duration { return s.tracker.Ages(now) }

// SilentRegions returns the regions to leave out of endpoint answers.
func (s *Store) SilentRegions(now time.Time) []string { return s.tracker.SilentRegions(now) }

// Self returns this instance's record with its current incarnation.
func (s *Store) Self() model.Instance { return *s.self.record }
