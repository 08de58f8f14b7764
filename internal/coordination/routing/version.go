package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// VersionView holds the inputs to the choice of a version.
type VersionView struct {
	Plan            model.VersionPlan
	Share           float64 // traffic share of the target version
	TargetStopped   bool
	PreviousPresent bool // the document still names upstreams of the previous version
}

// VersionChoice is a version with the rule that chose it.
type VersionChoice struct {
	Version string // empty means that any version will do
	Rule    generation.VersionRule
	Share   float64 // traffic share of the target version; 0 without a move
}

// ChooseVersion returns the version that takes a new request. The choice
// depends on the request ID alone, so that all instances agree and a retry
// stays on its version. An empty string means that any version will do.
func ChooseVersion(v VersionView, id model.RequestID) string {
	return ChooseVersionWithRule(v, id).Version
}

// ChooseVersionWithRule returns the version that ChooseVersion returns, and the rule that
// chose it.
func ChooseVersionWithRule(v VersionView, id model.RequestID) VersionChoice {
	if v.Plan.Target == "" {
		return VersionChoice{Rule: generation.VersionAny}
	}
	if v.Plan.Previous == "" || !v.PreviousPresent {
		return VersionChoice{Version: v.Plan.Target, Rule: generation.VersionOnly}
	}
	if v.TargetStopped {
		return VersionChoice{Version: v.Plan.Previous, Rule: generation.VersionStopped, Share: v.Share}
	}
	point := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
	if point < v.Share {
		return VersionChoice{Version: v.Plan.Target, Rule: generation.VersionTarget, Share: v.Share}
	}
	return VersionChoice{Version: v.Plan.Previous, Rule: generation.VersionPrevious, Share: v.Share}
}
