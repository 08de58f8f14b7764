package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// A request may crash each upstream that begins to run it, and its caller sends
// the request again, to any instance. A part of a prompt may do so in all requests
// that contain it. Crashes of upstreams are recorded under the fingerprints of the
// request and of its parts, and sent to other instances. An answer clears the request
// and an event also its parts, because sound requests share fingerprints with these
// and connections also break for reasons that have nothing to do with the request.

// CodeCrashesUpstreams is the refusal code of a request that crashed three upstreams.
const CodeCrashesUpstreams = "request_ends_upstreams"

const (
	// crashRefuseCount is the number of crashes from which on a request is refused.
	crashRefuseCount = 3
	// crashTrialDelay is how long after the last crash a request is refused. Then
	// the request may run once, so that one that was not the cause is served again.
	crashTrialDelay = 30 * time.Second
	// crashTrialLimit is the number of crashes from which on there is no further trial:
	// the platform allows three runs after the third crash.
	crashTrialLimit = 5
	// crashCheckDelay is the time from a lost connection to the check whether the
	// upstream crashed. Other requests that the same fault hit have failed by then,
	// and a crashed upstream is still down: it needs about a second to start again.
	crashCheckDelay = 300 * time.Millisecond
	// crashCheckTimeout bounds the check whether the upstream crashed.
	crashCheckTimeout = 250 * time.Millisecond
	// commonFailureShare is the share of a service's upstreams that may have failed
	// within commonFailureTime of the crash without having run the request. If more
	// have failed, the failures are taken to have a common cause other than the
	// request. Crashes caused by requests follow each other with more time between.
	commonFailureShare = 0.2
	commonFailureTime  = 500 * time.Millisecond
	// crashBroadcastCount is the number of crashes from which on the records go to
	// all instances and not only to those of the cell. A single lost connection
	// has many other possible causes.
	crashBroadcastCount = 2
	// crashBroadcastDelay is the time after which the record of a single crash goes to
	// all instances too, unless it was cleared. Requests that were not the cause are
	// running elsewhere by then; an outage of many upstreams hits hundreds of them.
	crashBroadcastDelay = 2 * time.Second
)

// fingerprints returns the hashes under which crashes are recorded for the request:
// first that of the request, which its retries share, then those of the parts of its
// prompt, which other requests may share.
func (r *activeRequest) fingerprints() []suspect.Fingerprint {
	if len(r.cachedFingerprints) == 0 {
		r.cachedFingerprints = append(r.cachedFingerprints,
			suspicion.RequestFingerprint(r.organisation, r.req.Method, r.req.Host, r.req.Path, r.req.Query, r.req.Body))
		for _, part := range r.req.Work.Parts {
			r.cachedFingerprints = append(r.cachedFingerprints, suspicion.PartFingerprint(r.service.Name, part.ID))
		}
	}
	return r.cachedFingerprints
}

// crashHistory returns the number of upstream crashes recorded against the request
// and the time of the last one. The fingerprints are not computed until a first crash
// is known.
func (r *activeRequest) crashHistory(now time.Time) (crashes int, last time.Time) {
	if r.m.opts.Suspects.Version() == 0 {
		return 0, time.Time{}
	}
	for _, d := range r.m.opts.Suspects.CountedRows(r.fingerprints()[0], now).Deaths {
		crashes++
		if d.At.After(last) {
			last = d.At
		}
	}
	return crashes, last
}

// crashingPart returns the first part of the prompt that is taken to crash upstreams.
func (r *activeRequest) crashingPart(now time.Time) (part PromptPart, found bool) {
	if len(r.req.Work.Parts) == 0 || r.m.opts.Suspects.Version() == 0 {
		return PromptPart{}, false
	}
	all := r.fingerprints()
	for i, part := range r.req.Work.Parts {
		if deaths, _ := r.m.opts.Suspects.CountDeaths(all[i+1], now); deaths < crashRefuseCount {
			continue
		}
		// Sound parts are in requests with the part that crashes upstreams, so they
		// have some of its crashes. A part whose crashes another one explains may run
		// where that one is absent; if it is the cause after all, the next crash tells
		// them apart.
		if !r.m.opts.Suspects.ExplainedByOthers(all[i+1], all, now) {
			return part, true
		}
	}
	return PromptPart{}, false
}

// refuseIfCrashing refuses a request that crashed too many upstreams, or whose prompt
// has a part that did, and reports whether it did.
func (r *activeRequest) refuseIfCrashing() bool {
	now := time.Now()
	fields := log.Fields{}
	refusal := &model.Refusal{Code: CodeCrashesUpstreams, Outcome: model.OutcomeNotRun}
	crashes, last := r.crashHistory(now)
	trial := last.Add(crashTrialDelay)
	part, crashing := r.crashingPart(now)
	switch {
	case crashing:
		refusal.Message = "Upstreams ended when they ran requests with a part of this prompt."
		fields["prompt_part"] = part.ID
	case crashes >= crashTrialLimit:
		refusal.Message = "Upstreams ended when they ran this request."
	case crashes >= crashRefuseCount && now.Before(trial):
		refusal.Message = "Upstreams ended when they ran this request."
		refusal.RetryAfter = trial.Sub(now)
	default:
		return false
	}
	fields["request_id"], fields["fingerprint"], fields["deaths"] = string(r.req.ID), string(r.fingerprints()[0]), crashes
	if crashes > 0 {
		fields["last_ms"] = now.Sub(last).Milliseconds()
	}
	r.m.opts.Log.WithFields(fields).Warn("request ends upstreams")
	r.refuse(refusal)
	return true
}

// mayRunAgain reports whether the recorded crashes allow another run of a request that
// has already run. The parts of a prompt on which an engine wrote events are sound.
func (r *activeRequest) mayRunAgain() bool {
	now := time.Now()
	if crashes, _ := r.crashHistory(now); crashes >= crashRefuseCount {
		return false
	}
	if r.stream.accepted > r.req.LastPosition {
		return true
	}
	_, crashing := r.crashingPart(now)
	return !crashing
}
