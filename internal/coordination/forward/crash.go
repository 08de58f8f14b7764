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
	// maxCrashTrials is the number of trials of a request that crash an upstream, after
	// which there is no further one: the platform allows three runs after the third crash.
	maxCrashTrials = 2
	// crashCheckDelay is the time from a lost connection to the check whether the
	// upstream crashed. Other requests that the same fault hit have failed by then,
	// and a crashed upstream is still down: it needs about a second to start again.
	crashCheckDelay = 300 * time.Millisecond
	// crashCheckTimeout bounds the check whether the upstream crashed.
	crashCheckTimeout = 250 * time.Millisecond
	// commonFailureShare is the share of a service's upstreams that may have failed
	// within suspect.CommonFailureTime of the crash without having run the request. If
	// more have failed, the failures are taken to have a common cause other than the
	// request.
	commonFailureShare = 0.2
	// maxBeside is the number of other upstreams that failed at that moment from which on
	// the crash is not recorded at all. An outage of many upstreams hits hundreds of
	// requests, each of which would be recorded.
	maxBeside = 16
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

// crashes are the upstream crashes recorded against a request.
type crashes struct {
	deaths   []suspect.Death // by time
	disputed int             // number of them beside which too many other upstreams failed
}

// crashHistory returns the crashes recorded against the request. The fingerprints are not
// computed until a first crash is known.
func (r *activeRequest) crashHistory(now time.Time) crashes {
	if r.m.opts.Suspects.Version() == 0 {
		return crashes{}
	}
	deaths, disputed := r.m.opts.Suspects.Deaths(r.fingerprints()[0], now)
	return crashes{deaths, disputed}
}

// last returns the time of the last crash, of which there must be one.
func (c crashes) last() time.Time { return c.deaths[len(c.deaths)-1].At }

// mayBeOutage reports whether one outage may have caused all crashes: copies of a request
// that many callers send run on all of its upstreams.
func (c crashes) mayBeOutage() bool {
	return c.disputed == len(c.deaths) && c.last().Sub(c.deaths[0].At) <= suspect.CommonFailureTime
}

// trialTime returns the time from which on a request with so many crashes may run once
// more. It returns false if the trials are used up.
func (c crashes) trialTime() (at time.Time, left bool) {
	if c.mayBeOutage() {
		return c.last(), true
	}
	trials := 0
	for _, d := range c.deaths[crashRefuseCount:] {
		if d.At.Sub(c.deaths[crashRefuseCount-1].At) > suspect.CommonFailureTime {
			trials++
		}
	}
	return c.last().Add(crashTrialDelay), trials < maxCrashTrials
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
	history := r.crashHistory(now)
	part, crashing := r.crashingPart(now)
	switch {
	case crashing:
		refusal.Message = "Upstreams ended when they ran requests with a part of this prompt."
		fields["prompt_part"] = part.ID
	case len(history.deaths) < crashRefuseCount:
		return false
	default:
		at, left := history.trialTime()
		if left && !now.Before(at) && r.beginTrial(now) {
			return false
		}
		refusal.Message = "Upstreams ended when they ran this request."
		if left {
			refusal.RetryAfter = max(at.Sub(now), 0)
		}
	}
	fields["request_id"], fields["fingerprint"], fields["deaths"] = string(r.req.ID), string(r.fingerprints()[0]), len(history.deaths)
	if len(history.deaths) > 0 {
		fields["last_ms"] = now.Sub(history.last()).Milliseconds()
	}
	r.m.opts.Log.WithFields(fields).Warn("request ends upstreams")
	r.refuse(refusal)
	return true
}

// beginTrial reports whether the request may run once although it is known to have crashed
// upstreams. Copies of it may come at all instances at once, so one instance alone runs
// trials, one at a time.
func (r *activeRequest) beginTrial(now time.Time) bool {
	fp := r.fingerprints()[0]
	r.onTrial = r.onTrial || r.m.opts.RunsTrials(fp) && r.m.opts.Suspects.BeginTrial(fp, crashTrialDelay, now)
	return r.onTrial
}

// endTrial allows the next trial if no upstream has run the request.
func (r *activeRequest) endTrial() {
	if r.onTrial && r.executions == 0 {
		r.m.opts.Suspects.CancelTrial(r.fingerprints()[0])
	}
}

// mayRunAgain reports whether the recorded crashes allow another run of a request that
// has already run. The parts of a prompt on which an engine wrote events are sound.
func (r *activeRequest) mayRunAgain() bool {
	now := time.Now()
	if len(r.crashHistory(now).deaths) >= crashRefuseCount {
		return false
	}
	if r.stream.accepted > r.req.LastPosition {
		return true
	}
	_, crashing := r.crashingPart(now)
	return !crashing
}
