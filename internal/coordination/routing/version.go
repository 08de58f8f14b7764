package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// VersionView is what the choice of a version depends on.
type VersionView struct {
	Plan            model.VersionPlan
	Share           float64 // of the target version
	TargetStopped   bool
	PreviousPresent bool // the document still names upstreams of the previous version
}

// ChooseVersion returns the version that takes a new request. The choice
// depends on the request ID alone, so that all instances agree and a retry
// stays on its version. An empty string means that any version will do.
func ChooseVersion(v VersionView, id model.RequestID) string {
	if v.Plan.Target == "" {
		return ""
	}
	if v.Plan.Previous == "" || !v.PreviousPresent {
		return v.Plan.Target
	}
	if v.TargetStopped {
		return v.Plan.Previous
	}
	point := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
	if point < v.Share {
		return v.Plan.Target
	}
	return v.Plan.Previous
}
