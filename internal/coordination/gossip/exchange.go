package gossip

import (
	"time"
)

// maxDeltaEntries bounds the entries of one delta to about 64 kB. The
// remaining entries are sent in later exchanges.
const maxDeltaEntries = 2000

// Digest returns a digest of this instance's state for a peer of the given
// region, which is empty if unknown. For a peer of this instance's region it
// covers other regions only with allRegions.
func (s *Store) Digest(region string, allRegions bool) *Digest {
	s.history.record(s.tables.Documents.Current())
	d := &Digest{Region: s.self.region, Sets: s.setHashes(), Document: documentHead(s.history.current)}
	d.AllRegions = allRegions || region != s.self.region
	if !d.AllRegions {
		d.Vectors = []VersionVector{s.vector(s.self.region, false)}
		return d
	}
	for _, r := range s.regions() {
		d.Vectors = append(d.Vectors, s.vector(r, false))
	}
	return d
}

// Handle merges the delta of a peer's request and answers its digest.
func (s *Store) Handle(e Exchange, now time.Time) Exchange {
	s.tracker.RecordContact(now)
	if e.Delta != nil {
		s.merge(e.Delta, now)
	}
	if e.Digest == nil {
		return Exchange{}
	}
	return s.reply(e.Digest, now)
}

// reply returns the state that the sender of a digest is missing, and this
// instance's digest of the same regions.
func (s *Store) reply(d *Digest, now time.Time) Exchange {
	s.history.record(s.tables.Documents.Current())
	c := &collector{store: s, peerRegion: d.Region}
	reply := &Digest{Region: s.self.region, AllRegions: d.AllRegions, Sets: s.setHashes(), Document: documentHead(s.history.current)}
	answered := map[string]bool{}
	for _, v := range d.Vectors {
		answered[v.Region] = true
		reply.Vectors = append(reply.Vectors, s.replyVector(v, c, now))
	}
	if d.AllRegions {
		for _, region := range s.regions() {
			if !answered[region] {
				reply.Vectors = append(reply.Vectors, s.vector(region, true))
			}
		}
	}
	delta := &Delta{Updates: c.updates}
	s.addSets(delta, d.Sets)
	delta.Steps, delta.Document = s.history.since(d.Document)
	return Exchange{Digest: reply, Delta: delta}
}

// replyVector collects the updates for one vector of a peer and returns this
// instance's vector of the region. For an origin whose entries did not fit
// into the delta it returns the peer's version.
func (s *Store) replyVector(v VersionVector, c *collector, now time.Time) VersionVector {
	versions, ok := s.resolve(v)
	if !ok {
		return s.vector(v.Region, true)
	}
	s.recordHeartbeats(versions, v.Region, now)
	r := s.roster(v.Region)
	local := s.vector(v.Region, r.hash != v.Roster)
	for i, o := range r.origins {
		peerVersion := versions[o.id]
		if o.version > peerVersion && !c.collect(o, peerVersion) {
			local.Versions[i] = peerVersion
		}
	}
	return local
}

// recordHeartbeats records a peer's versions as heartbeats and adds origins
// that are new.
func (s *Store) recordHeartbeats(versions peerVersions, region string, now time.Time) {
	for id, version := range versions {
		if id.ID == s.self.id.ID {
			s.raiseIncarnation(id, now)
			continue
		}
		if _, ok := s.addOrigin(id, region); ok {
			s.tracker.RecordHeartbeat(id.ID, id.Incarnation, version, region, now)
		}
	}
}

// MergeReply merges the reply to a digest and returns the state that the peer
// is missing, or nil if it is missing nothing.
func (s *Store) MergeReply(sent *Digest, e Exchange, now time.Time) *Delta {
	s.tracker.RecordContact(now)
	if e.Delta != nil {
		s.merge(e.Delta, now)
	}
	if e.Digest == nil {
		return nil
	}
	updated := map[Origin]bool{}
	if e.Delta != nil {
		for _, u := range e.Delta.Updates {
			updated[u.Origin] = true
		}
	}
	c := &collector{store: s, peerRegion: e.Digest.Region}
	ownRegionMerged := false
	for _, v := range e.Digest.Vectors {
		merged := s.mergeVector(sent, v, updated, c, now)
		ownRegionMerged = ownRegionMerged || merged && v.Region == s.self.region
	}
	return s.push(e.Digest, c, ownRegionMerged)
}

// advanceVector returns the versions that a peer of the same region has after
// a push. With them heartbeats spread in both directions of an exchange:
// without them, one in 6,000 pairs of 160 instances was silent for 3 s. merged says
// that the peer's vector was merged, so that the push has what the peer is missing. A
// vector without names is not if this instance's roster has changed since its digest.
func (s *Store) advanceVector(d *Digest, c *collector, merged bool) *VersionVector {
	if !merged || c.peerRegion != s.self.region || c.entries >= maxDeltaEntries {
		return nil
	}
	for _, v := range d.Vectors {
		if v.Region == c.peerRegion {
			local := s.vector(v.Region, v.Roster != s.roster(v.Region).hash)
			return &local
		}
	}
	return nil
}

// mergeAdvance raises the versions of origins to those that a push ends with. An origin
// without a record has entries to come: a push of an earlier build may leave them out.
func (s *Store) mergeAdvance(v *VersionVector, now time.Time) {
	if v == nil || v.Region != s.self.region {
		return
	}
	versions, ok := s.resolve(*v)
	if !ok {
		return
	}
	s.recordHeartbeats(versions, v.Region, now)
	for _, o := range s.roster(v.Region).origins {
		if o != s.self && o.record != nil {
			o.version = max(o.version, versions[o.id])
		}
	}
}

// mergeVector merges one vector of a reply: it raises the versions of origins
// for which the peer had no entries, and collects the entries that the peer is
// missing. It reports false if it cannot tell the origins of the vector.
func (s *Store) mergeVector(sent *Digest, v VersionVector, updated map[Origin]bool, c *collector, now time.Time) bool {
	versions, ok := s.resolve(v)
	if !ok {
		return false
	}
	sameRoster := !v.Named && sentRoster(sent, v.Region) == v.Roster
	s.recordHeartbeats(versions, v.Region, now)
	// A peer of another region does not have the entries that stay in this
	// region, so having no entries to send does not mean that none exist.
	hasAllEntries := v.Region != s.self.region || c.peerRegion == s.self.region
	for _, o := range s.roster(v.Region).origins {
		version, listed := versions[o.id]
		switch {
		case o.version > version:
			if listed || v.Named {
				c.collectEntries(o, version)
			}
		case sameRoster && hasAllEntries && !updated[o.id] && o != s.self:
			o.version = version
		}
	}
	return true
}

func sentRoster(sent *Digest, region string) uint64 {
	for _, v := range sent.Vectors {
		if v.Region == region {
			return v.Roster
		}
	}
	return 0
}

// push returns the delta that answers the digest of a peer's reply, or nil if
// the peer is missing nothing. ownRegionMerged says that the peer's vector of this
// region was merged.
func (s *Store) push(d *Digest, c *collector, ownRegionMerged bool) *Delta {
	delta := &Delta{Updates: c.updates, ResultingVersions: s.advanceVector(d, c, ownRegionMerged)}
	s.addSets(delta, d.Sets)
	delta.Steps, delta.Document = s.history.since(d.Document)
	if delta.Empty() {
		return nil
	}
	return delta
}

// collector gathers updates for one peer.
type collector struct {
	store      *Store
	peerRegion string // region of the peer
	updates    []Update
	entries    int // in updates
}

// collect adds the origin's entries above a version. It reports false when the
// delta is full; the peer must then not raise its version of the origin.
func (c *collector) collect(o *origin, from uint64) bool {
	if c.entries >= maxDeltaEntries {
		return false
	}
	c.collectEntries(o, from)
	return true
}

// collectEntries adds an update if the origin has any entry above the version.
// Of an origin in the peer's own region, an instance of another region has
// only the wide entries; the peer then gets just the record, and only if it
// does not know the origin.
func (c *collector) collectEntries(o *origin, from uint64) {
	if c.entries >= maxDeltaEntries {
		return
	}
	if o.region == c.peerRegion && c.peerRegion != c.store.self.region {
		if from == 0 && o.record != nil {
			c.updates = append(c.updates, Update{Origin: o.id, Instance: o.record})
			c.entries++
		}
		return
	}
	u := c.store.updateSince(o, from, o.region != c.peerRegion)
	if u.Instance == nil && len(u.Reports) == 0 && len(u.Evidence) == 0 {
		return
	}
	c.entries += 1 + len(u.Reports) + len(u.Evidence)
	c.updates = append(c.updates, u)
}

// updateSince returns an origin's entries above a version, only the wide ones
// for a peer of another region than the origin's. The counts of evidence rows
// come from the evidence table and can be higher than they were at that
// version.
func (s *Store) updateSince(o *origin, from uint64, wideOnly bool) Update {
	u := Update{Origin: o.id, From: from, To: o.version}
	if o.record != nil && o.recordVersion > from && o.recordVersion <= o.version {
		u.Instance, u.Changed = o.record, o.recordVersion
	}
	for _, r := range o.reports {
		if r.Changed > from && r.Changed <= o.version && (r.CrossRegion || !wideOnly) {
			u.Reports = append(u.Reports, r)
		}
	}
	for key, m := range o.evidence {
		if m.changed <= from || m.changed > o.version {
			continue
		}
		if counts, ok := s.tables.Evidence.Get(key); ok {
			u.Evidence = append(u.Evidence, EvidenceRow{key, counts, m.changed})
		}
	}
	return u
}
