package rollout

import (
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

// TargetShare returns the part of new work that the plan's target receives, from 0
// to 1; the previous version receives the rest. Package routing calls it. Without a
// move the target receives all new work; with a move it receives none until a share
// is known.
func TargetShare(serves string, plan model.VersionPlan, stops *stop.Table) float64 {
	if !IsMove(plan) {
		return 1
	}
	share, ok := stops.Share(serves)
	if !ok {
		return 0
	}
	stopped := stops.Stopped(model.VersionKey{Serves: serves, Version: share.Target})
	return effectiveShare(plan, share, stopped)
}

// effectiveShare returns the part of new work that a known share gives to the
// plan's target. With a share of the opposite move, the target has the rest.
func effectiveShare(plan model.VersionPlan, share model.Share, stopped bool) float64 {
	part := share.Share
	if stopped {
		part = 0
	}
	switch {
	case share.Target == plan.Target && (share.Previous == plan.Previous || isFinalShare(share)):
		return part
	case share.Target == plan.Previous && (share.Previous == plan.Target || isFinalShare(share)):
		return 1 - part
	}
	return 0
}

// isFinalShare reports whether the share belongs to no open move: the move has
// finished, or the document names only one version. No instance stops such a
// version on its own evidence, because no holder would review the stop.
func isFinalShare(share model.Share) bool {
	return share.Previous == ""
}

// finalShare returns the share of the only version that a document of the given
// generation names. It receives all traffic.
func finalShare(serves, version string, generation uint64) model.Share {
	return model.Share{
		Serves:   serves,
		Target:   version,
		Epoch:    generation << epochBits,
		Share:    1,
		Revision: generation << revisionBits,
	}
}
