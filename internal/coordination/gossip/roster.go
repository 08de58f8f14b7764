package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// roster is the list of the origins of one region, sorted by ID.
type roster struct {
	origins []*origin
	hash    uint64
}

// roster returns the region's roster. It is cached until an origin of the
// region changes.
func (s *Store) roster(region string) *roster {
	if r, ok := s.rosters[region]; ok {
		return r
	}
	r := &roster{}
	for _, o := range s.origins {
		if o.region == region {
			r.origins = append(r.origins, o)
		}
	}
	slices.SortFunc(r.origins, func(a, b *origin) int { return cmp.Compare(a.id.ID, b.id.ID) })
	r.hash = hashOrigins(r.origins)
	s.rosters[region] = r
	return r
}

func hashOrigins(list []*origin) uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, o := range list {
		_, _ = d.WriteString(string(o.id.ID))
		binary.BigEndian.PutUint64(number[:], o.id.Incarnation)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

// regions returns all regions with a known instance, this instance's region
// first.
func (s *Store) regions() []string {
	seen := map[string]bool{s.self.region: true}
	var others []string
	for _, o := range s.origins {
		if !seen[o.region] {
			seen[o.region] = true
			others = append(others, o.region)
		}
	}
	slices.Sort(others)
	return append([]string{s.self.region}, others...)
}

// vector returns the versions of a region's origins. A named vector lists the
// origins too, for a receiver that has a different roster.
func (s *Store) vector(region string, named bool) VersionVector {
	r := s.roster(region)
	v := VersionVector{Region: region, Roster: r.hash, Named: named, Versions: make([]uint64, 0, len(r.origins))}
	for _, o := range r.origins {
		v.Versions = append(v.Versions, o.version)
		if named {
			v.Origins = append(v.Origins, o.id)
		}
	}
	return v
}

// peerVersions maps the origins of a peer's vector to their versions.
type peerVersions map[Origin]uint64

// resolve assigns the versions of a peer's vector to origins. It fails if the
// peer has a different roster and the vector is not named.
func (s *Store) resolve(v VersionVector) (peerVersions, bool) {
	versions := make(peerVersions, len(v.Versions))
	if v.Named {
		if len(v.Origins) != len(v.Versions) {
			return nil, false
		}
		for i, o := range v.Origins {
			versions[o] = v.Versions[i]
		}
		return versions, true
	}
	r := s.roster(v.Region)
	if r.hash != v.Roster || len(r.origins) != len(v.Versions) {
		return nil, false
	}
	for i, o := range r.origins {
		versions[o.id] = v.Versions[i]
	}
	return versions, true
}

// addOrigin adds an origin that is new or has a higher incarnation, and
// reports whether the store now has the origin with this incarnation.
func (s *Store) addOrigin(id Origin, region string) (*origin, bool) {
	if id.ID == s.self.id.ID {
		return s.self, id == s.self.id
	}
	if f, ok := s.tombstones[id.ID]; ok && id.Incarnation <= f.incarnation {
		return nil, false
	}
	old, ok := s.origins[id.ID]
	if ok && old.id.Incarnation >= id.Incarnation {
		return old, old.id == id
	}
	if ok {
		delete(s.rosters, old.region)
	}
	o := newOrigin(id, region)
	s.origins[id.ID] = o
	delete(s.rosters, region)
	s.dropOlderState(id.ID, id.Incarnation)
	return o, true
}

// dropOlderState drops an instance's state of an older incarnation.
func (s *Store) dropOlderState(id model.InstanceID, incarnation uint64) {
	if state, ok := s.states[id]; ok && state.Incarnation < incarnation {
		delete(s.states, id)
		delete(s.deadSince, id)
	}
}

// HasAddress reports whether an instance with the control address is known.
func (s *Store) HasAddress(address string) bool {
	if s.self.record.ControlAddress == address {
		return true
	}
	for _, o := range s.origins {
		if o.record != nil && o.record.ControlAddress == address {
			return true
		}
	}
	return false
}

// Member returns the record of another instance with its current state, if the
// record is known.
func (s *Store) Member(id model.InstanceID) (model.Instance, bool) {
	o, ok := s.origins[id]
	if !ok || o == s.self || o.record == nil {
		return model.Instance{}, false
	}
	in := *o.record
	if state, ok := s.states[id]; ok {
		in.State = state.State
	}
	return in, true
}

// Members returns the known records of other instances with their current
// states.
func (s *Store) Members() []model.Instance {
	members := make([]model.Instance, 0, len(s.origins))
	for id := range s.origins {
		if in, ok := s.Member(id); ok {
			members = append(members, in)
		}
	}
	slices.SortFunc(members, func(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
