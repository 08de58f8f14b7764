// Package cell divides the instances of a large deployment into cells of about
// a dozen, and the engines among the cells.
//
// Within a cell instances tell each other their work and one of them reads the
// store for all, so that the cost for each instance does not grow with the
// deployment. All instances derive the same cells from the list of instances;
// while lists differ, only the use of engines is less even. Small deployments
// are one cell.
package cell

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// whole is the number of instances up to which a deployment is one cell.
	whole = 24
	// size is the number of instances that a cell of a larger one has at most.
	size = 16
)

// Cell is a group of instances.
type Cell struct {
	Members []model.Instance // sorted by ID, with this instance
	name    string
	all     []string // names of all cells
}

// Of returns the cell of the given instance. all is sorted by ID; instances
// without an address for others count in no cell.
func Of(all []model.Instance, self model.InstanceID) Cell {
	if len(all) <= whole {
		return Cell{Members: all, name: "", all: []string{""}}
	}
	domains := map[model.FailureDomain][]model.Instance{}
	for _, in := range all {
		domains[in.FailureDomain] = append(domains[in.FailureDomain], in)
	}
	var own Cell
	var names []string
	for domain, instances := range domains {
		count := (len(instances) + size - 1) / size
		for i := range count {
			name := string(domain) + "/" + strconv.Itoa(i)
			names = append(names, name)
			members := instances[i*len(instances)/count : (i+1)*len(instances)/count]
			if slices.ContainsFunc(members, func(in model.Instance) bool { return in.ID == self }) {
				own = Cell{Members: members, name: name}
			}
		}
	}
	slices.Sort(names)
	own.all = names
	return own
}

// Owns reports whether the cell is the one that prefers the engine at the
// address. Addresses stay when engines restart.
func (c Cell) Owns(address string) bool {
	best, bestWeight := "", uint64(0)
	for _, name := range c.all {
		if weight := xxhash.Sum64String(name + "\x00" + address); best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best == c.name
}
