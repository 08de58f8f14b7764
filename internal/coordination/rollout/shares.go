package rollout

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

// TargetShare returns the part of new work that the plan's target receives,
// from 0 to 1; the previous version receives the rest. It is what routing
// asks. Without a move the target receives all; with a move it receives
// nothing until a share is known.
func TargetShare(serves string, plan model.VersionPlan, stops *stop.Table) float64 {
	if !IsMove(plan) {
		return 1
	}
	share, ok := stops.Share(serves)
	if !ok {
		return 0
	}
	stopped := stops.Stopped(model.VersionKey{Serves: serves, Version: share.Target})
	return effective(plan, share, stopped)
}

// effective applies a known share to the plan. A share of the opposite move
// tells how much the plan's target has already.
func effective(plan model.VersionPlan, share model.Share, stopped bool) float64 {
	part := share.Share
	if stopped {
		part = 0
	}
	switch {
	case share.Target == plan.Target && (share.Previous == plan.Previous || settled(share)):
		return part
	case share.Target == plan.Previous && (share.Previous == plan.Target || settled(share)):
		return 1 - part
	}
	return 0
}

// settled reports whether the share belongs to no open move: the move has
// finished, or the document names only one version. No instance stops such a
// version on its own evidence, because nobody would review the stop.
func settled(share model.Share) bool {
	return share.Previous == ""
}

// settledShare returns the share of a version that has all traffic under a
// document of the given generation.
func settledShare(serves, version string, generation uint64) model.Share {
	return model.Share{
		Serves:   serves,
		Target:   version,
		Epoch:    generation << epochBits,
		Share:    1,
		Revision: generation << revisionBits,
	}
}
