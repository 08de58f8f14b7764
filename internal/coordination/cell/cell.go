// Package cell divides the instances of a large deployment into cells of about
// a dozen, and the engines among the cells.
//
// The instances of a cell exchange the work that they have in flight, and one of
// them reads the store for all, so that the cost for each instance does not grow
// with the deployment. All instances derive the same cells from the list of
// instances; while their lists differ, the only effect is a less even use of the
// engines. Small deployments are one cell.
package cell

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// maxSingleCell is the number of instances up to which a deployment is one cell.
	maxSingleCell = 24
	// maxCellSize is the greatest number of instances of a cell in a larger
	// deployment.
	maxCellSize = 16
)

// Cell is a group of instances that share their work and their reader. Except in
// a deployment of one cell, all are in one failure domain.
type Cell struct {
	Members []model.Instance // sorted by ID; includes this instance
	// OtherFirsts are the first live members of the other cells.
	OtherFirsts []model.Instance
	name        string
	allNames    []string // names of all cells
}

// ForInstance returns the cell of the given instance. all must be sorted by ID; every
// instance in it counts, whatever its state.
func ForInstance(all []model.Instance, self model.InstanceID) Cell {
	if len(all) <= maxSingleCell {
		return Cell{Members: all, name: "", allNames: []string{""}}
	}
	domains := map[model.FailureDomain][]model.Instance{}
	for _, in := range all {
		domains[in.FailureDomain] = append(domains[in.FailureDomain], in)
	}
	var result Cell
	var names []string
	for domain, instances := range domains {
		count := (len(instances) + maxCellSize - 1) / maxCellSize
		for i := range count {
			name := string(domain) + "/" + strconv.Itoa(i)
			names = append(names, name)
			members := instances[i*len(instances)/count : (i+1)*len(instances)/count]
			if slices.ContainsFunc(members, func(in model.Instance) bool { return in.ID == self }) {
				result.Members, result.name = members, name
				continue
			}
			first := slices.IndexFunc(members, func(in model.Instance) bool { return in.State == model.InstanceLive })
			if first >= 0 {
				result.OtherFirsts = append(result.OtherFirsts, members[first])
			}
		}
	}
	slices.Sort(names)
	result.allNames = names
	return result
}

// Prefers reports whether the cell is the one that prefers the engine at the given
// address, by rendezvous hash. The hash is over the address, since an engine keeps
// its address when it restarts.
func (c Cell) Prefers(address string) bool {
	best, bestWeight := "", uint64(0)
	for _, name := range c.allNames {
		if weight := xxhash.Sum64String(name + "\x00" + address); best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best == c.name
}
