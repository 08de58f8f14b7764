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
	Suspects  *suspect.Table // nil if engine deaths are not tracked
}

// Intervals and retention times of the store.
const (
	// RoundInterval is the time between two rounds.
	RoundInterval = 500 * time.Millisecond
	// deadRetention is the time after which a dead instance is dropped. Until
	// then exchanges with it are tried now and then, so that the fleet recovers
	// from a partition by itself.
	deadRetention = 10 * time.Minute
	// tombstoneLifetime is the time for which a dropped instance is not added
	// again under the same incarnation. Peers that drop it later still send it.
	tombstoneLifetime = 30 * time.Minute
	// silentRegionLimit is the silence after which all instances of another
	// region are dropped. It is long because regions lose contact for minutes.
	silentRegionLimit = time.Hour
	// maxEvidenceAge is the age up to which evidence rows are sent to peers that
	// are missing them.
	maxEvidenceAge = 3 * time.Minute
	// maxReplacedReportVersions is the age in versions, equal to 10 minutes, from
	// which a report is dropped if another watcher has a newer one.
	maxReplacedReportVersions = 1200
	reportSweepInterval       = time.Minute
	// evidenceIntervalPerInstance times the number of instances, within the two
	// bounds below, is the time between two publications of evidence. It grows
	// with the fleet because each row is sent to every instance.
	evidenceIntervalPerInstance = 100 * time.Millisecond
	minEvidenceInterval         = 2 * time.Second
	maxEvidenceInterval         = time.Minute
)

// origin holds the entries of one instance that are known here.
type origin struct {
	id            Origin
	region        string
	version       uint64 // all entries up to it are known; of another region, all wide entries
	record        *model.Instance
	recordVersion uint64 // at which record last changed
	reports       map[reportKey]Report
	evidence      map[evidence.Key]evidenceMark
}

// evidenceMark says when an evidence row last changed. The counts are in the
// evidence table.
type evidenceMark struct {
	changed  uint64 // version of the origin
	requests uint64 // as last published; only for this instance's rows
}

// reportKey identifies a report of an origin. The last wide report on an
// upstream is kept apart from a later one that stays in the region: other
// regions, which can be cut off for minutes, may still be missing the wide
// one.
type reportKey struct {
	upstream model.UpstreamID
	wide     bool
}

func newOrigin(id Origin, region string) *origin {
	return &origin{
		id:       id,
		region:   region,
		reports:  map[reportKey]Report{},
		evidence: map[evidence.Key]evidenceMark{},
	}
}

// tombstone marks an instance that was dropped, so that it is not added again.
type tombstone struct {
	incarnation uint64
	expires     time.Time
}

// Store holds the entries of all origins. It is used under one worker key and
// has no lock; the tables that it merges into have their own locks.
type Store struct {
	self                *origin
	tables              Tables
	tracker             *membership.Tracker
	origins             map[model.InstanceID]*origin
	rosters             map[string]*roster // by region; removed when an origin of the region changes
	states              map[model.InstanceID]InstanceStatus
	leaves              map[model.UpstreamID]UpstreamLeave
	deadSince           map[model.InstanceID]time.Time
	tombstones          map[model.InstanceID]tombstone
	history             history
	urgent              Delta
	evidencePublishedAt time.Time // last publication of evidence
	reportsSweptAt      time.Time // last removal of replaced reports
}

// NewStore returns a store that knows only its own instance.
func NewStore(self model.Instance, tables Tables) *Store {
	self.State = model.InstanceLive
	s := &Store{
		tables:     tables,
		tracker:    membership.NewTracker(self.ID, self.Region),
		origins:    map[model.InstanceID]*origin{},
		rosters:    map[string]*roster{},
		states:     map[model.InstanceID]InstanceStatus{},
		leaves:     map[model.UpstreamID]UpstreamLeave{},
		deadSince:  map[model.InstanceID]time.Time{},
		tombstones: map[model.InstanceID]tombstone{},
	}
	s.self = newOrigin(Origin{self.ID, self.Incarnation}, self.Region)
	s.self.record, s.self.recordVersion = &self, 1
	s.origins[self.ID] = s.self
	tables.Instances.Merge(self)
	s.history.record(tables.Documents.Current())
	return s
}

// Tick starts a round: it publishes this instance's changes under a new
// version, stores the states of silent instances, and drops expired entries.
func (s *Store) Tick(now time.Time) {
	s.publishEvidence(now)
	// Versions follow the clock, so that the versions of all origins are close
	// together and a vector is short when encoded.
	s.self.version = max(s.self.version+1, uint64(now.UnixMilli()/RoundInterval.Milliseconds()))
	for _, v := range s.tracker.Tick(now) {
		if o, ok := s.origins[v.Instance]; ok && o.record != nil {
			s.addState(InstanceStatus{v.Instance, o.record.Incarnation, v.State}, now)
		}
	}
	s.expireOrigins(now)
	s.dropStale(now)
	s.dropReplacedReports(now)
}

// PublishReport publishes a report on an upstream that this instance watches
// or was the first to learn of. A report that is not wide stays in the region.
func (s *Store) PublishReport(r Report) {
	r.Changed = s.self.version + 1
	s.self.reports[reportKey{r.Upstream, r.CrossRegion}] = r
}

// WithdrawReport drops this instance's reports on an upstream that other
// instances watch now. Peers drop their copies once another origin has newer
// reports.
func (s *Store) WithdrawReport(id model.UpstreamID) {
	delete(s.self.reports, reportKey{id, false})
	delete(s.self.reports, reportKey{id, true})
}

// publishEvidence publishes this instance's counters of the versions that take
// part in a version move.
func (s *Store) publishEvidence(now time.Time) {
	interval := time.Duration(len(s.origins)) * evidenceIntervalPerInstance
	if now.Sub(s.evidencePublishedAt) < min(max(interval, minEvidenceInterval), maxEvidenceInterval) {
		return
	}
	s.evidencePublishedAt = now
	moving := s.movingVersions()
	if len(moving) == 0 {
		return
	}
	oldest := now.Add(-maxEvidenceAge).Unix() / 60
	for key, counts := range s.tables.Evidence.InstanceRows(s.self.id.ID, oldest) {
		if !moving[key.Version] {
			continue
		}
		if old, ok := s.self.evidence[key]; ok && old.requests == counts.Requests {
			continue
		}
		s.self.evidence[key] = evidenceMark{s.self.version + 1, counts.Requests}
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

// dropStale removes evidence rows and Leaves that are too old, and Leaves of
// upstreams that are known with a higher incarnation.
func (s *Store) dropStale(now time.Time) {
	oldest := now.Add(-maxEvidenceAge).Unix() / 60
	for _, o := range s.origins {
		maps.DeleteFunc(o.evidence, func(k evidence.Key, _ evidenceMark) bool { return k.Minute < oldest })
	}
	for id, leave := range s.leaves {
		row, ok := s.tables.Upstreams.Get(id)
		if now.Sub(leave.At) >= maxLeaveAge || (ok && row.Report.Incarnation > leave.Incarnation) {
			delete(s.leaves, id)
		}
	}
}

// dropReplacedReports removes reports of former watchers: reports that another
// origin has replaced by newer ones and that were not renewed for long.
func (s *Store) dropReplacedReports(now time.Time) {
	if now.Sub(s.reportsSweptAt) < reportSweepInterval {
		return
	}
	s.reportsSweptAt = now
	newest := map[reportKey]uint64{}
	for _, o := range s.origins {
		for key, r := range o.reports {
			newest[key] = max(newest[key], r.Sequence)
		}
	}
	for _, o := range s.origins {
		maps.DeleteFunc(o.reports, func(key reportKey, r Report) bool {
			return o != s.self && r.Sequence < newest[key] && r.Changed+maxReplacedReportVersions < o.version
		})
	}
}

// expireOrigins drops instances that have been dead for deadRetention, or
// whose region has been silent for silentRegionLimit.
func (s *Store) expireOrigins(now time.Time) {
	maps.DeleteFunc(s.tombstones, func(_ model.InstanceID, f tombstone) bool { return now.After(f.expires) })
	for id, o := range s.origins {
		dead, isDead := s.deadSince[id]
		lost := o.region != s.self.region && s.tracker.RegionSilence(o.region, now) >= silentRegionLimit
		if (isDead && now.Sub(dead) >= deadRetention) || lost {
			s.dropOrigin(o, now)
		}
	}
}

func (s *Store) dropOrigin(o *origin, now time.Time) {
	id := o.id.ID
	s.tombstones[id] = tombstone{o.id.Incarnation, now.Add(tombstoneLifetime)}
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

// Ages returns for each other instance the time since its last heartbeat.
func (s *Store) Ages(now time.Time) map[model.InstanceID]time.Duration { return s.tracker.Ages(now) }

// SilentRegions returns the regions to leave out of endpoint answers.
func (s *Store) SilentRegions(now time.Time) []string { return s.tracker.SilentRegions(now) }

// Self returns this instance's record with its current incarnation.
func (s *Store) Self() model.Instance { return *s.self.record }
