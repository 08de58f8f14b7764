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
	list []*origin
	hash uint64
}

// roster returns the region's roster, which is made anew after a change.
func (s *Store) roster(region string) *roster {
	if r, ok := s.rosters[region]; ok {
		return r
	}
	r := &roster{}
	for _, o := range s.origins {
		if o.region == region {
			r.list = append(r.list, o)
		}
	}
	slices.SortFunc(r.list, func(a, b *origin) int { return cmp.Compare(a.id.ID, b.id.ID) })
	r.hash = hashOrigins(r.list)
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

// regions returns all regions with a known instance, the own one first.
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

// vector returns the versions of a region's origins, with their names if the
// receiver has another roster.
func (s *Store) vector(region string, named bool) Vector {
	r := s.roster(region)
	v := Vector{Region: region, Roster: r.hash, Named: named, Versions: make([]uint64, 0, len(r.list))}
	for _, o := range r.list {
		v.Versions = append(v.Versions, o.version)
		if named {
			v.Origins = append(v.Origins, o.id)
		}
	}
	return v
}

// peerVersions is a vector of a peer, resolved to origins.
type peerVersions map[Origin]uint64

// resolve names the versions of a peer's vector. It fails if the peer has
// another roster and did not name it.
func (s *Store) resolve(v Vector) (peerVersions, bool) {
	known := make(peerVersions, len(v.Versions))
	if v.Named {
		if len(v.Origins) != len(v.Versions) {
			return nil, false
		}
		for i, o := range v.Origins {
			known[o] = v.Versions[i]
		}
		return known, true
	}
	r := s.roster(v.Region)
	if r.hash != v.Roster || len(r.list) != len(v.Versions) {
		return nil, false
	}
	for i, o := range r.list {
		known[o.id] = v.Versions[i]
	}
	return known, true
}

// learn adds an origin, or its higher incarnation, and reports whether it is
// known now.
func (s *Store) learn(id Origin, region string) (*origin, bool) {
	if id.ID == s.self.id.ID {
		return s.self, id == s.self.id
	}
	if f, ok := s.forgotten[id.ID]; ok && id.Incarnation <= f.incarnation {
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
	s.replaceState(id.ID, id.Incarnation)
	return o, true
}

// replaceState drops the state of an older incarnation.
func (s *Store) replaceState(id model.InstanceID, incarnation uint64) {
	if state, ok := s.states[id]; ok && state.Incarnation < incarnation {
		delete(s.states, id)
		delete(s.deadSince, id)
	}
}

// Known reports whether an instance with the control address is known.
func (s *Store) Known(address string) bool {
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

// Member returns the known record of another instance with its state.
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

// Members returns the known records of other instances with their states.
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
