package forward

import (
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
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
	crashes, last := r.crashHistory(now)
	trial := last.Add(crashTrialDelay)
	part, crashing := r.crashingPart(now)
	refusedByHistory := crashes >= crashRefuseCount && (crashes >= crashTrialLimit || now.Before(trial))
	if !refusedByHistory && !crashing {
		return false
	}
	refusal := &model.Refusal{
		Code:    CodeCrashesUpstreams,
		Message: "Upstreams ended when they ran this request.",
		Outcome: model.OutcomeNotRun,
	}
	if crashing {
		refusal.Message = "Upstreams ended when they ran requests with a part of this prompt."
	} else if crashes < crashTrialLimit {
		refusal.RetryAfter = trial.Sub(now)
	}
	fields := log.Fields{"request_id": string(r.req.ID), "fingerprint": string(r.fingerprints()[0]), "deaths": crashes}
	if crashing {
		fields["prompt_part"] = part.ID
	}
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

// scheduleCrashCheck checks after crashCheckDelay whether the upstream crashed when
// the attempt was lost. A crash resets the connection or ends it within an event.
func (r *activeRequest) scheduleCrashCheck(a *attempt, kind continuation.Loss, sent bool) {
	broken := kind == continuation.LossReset || kind == continuation.LossTruncated
	if !broken || !sent || a.eventCount > 0 {
		return
	}
	death := suspect.Death{ID: suspect.DeathID{Upstream: a.upstream.ID}, At: time.Now()}
	if row, known := r.m.opts.Upstreams.Get(a.upstream.ID); known {
		if row.Report.Health == upstream.HealthLeaving {
			return // its end is planned
		}
		death.ID.Incarnation = row.Report.Incarnation
	}
	r.brokenUpstreams = append(r.brokenUpstreams, a.upstream.ID)
	r.pendingCrashChecks++
	r.m.opts.Pool.After(crashCheckDelay, r.key, worker.Func(func() {
		r.m.opts.Sender.CheckStopped(a.upstream, crashCheckTimeout, func(ended bool) {
			r.m.opts.Pool.Post(r.key, worker.Func(func() {
				r.pendingCrashChecks--
				if ended {
					r.recordCrash(death)
				}
			}))
		})
	}))
}

// awaitsCrashCheck reports whether the request may run again unless a check in progress
// finds a crash.
func (r *activeRequest) awaitsCrashCheck() bool {
	if r.pendingCrashChecks == 0 {
		return false
	}
	return r.mostCrashes(time.Now())+r.pendingCrashChecks >= crashRefuseCount && r.mayRunAgain()
}

// recordCrash records a crash against the request and the parts of its prompt, unless
// too many upstreams that did not run them failed at the same time.
func (r *activeRequest) recordCrash(death suspect.Death) {
	now := time.Now()
	suspected := map[model.UpstreamID]bool{}
	for _, id := range r.brokenUpstreams {
		suspected[id] = true
	}
	for _, d := range r.crashEvidence(now).Deaths {
		suspected[d.ID.Upstream] = true
	}
	rows := r.m.opts.Upstreams.Serving(r.service.Name)
	others := 0
	for _, row := range rows {
		if !suspected[row.Upstream.ID] && recentlyFailed(row, now) && row.FailedAt.Sub(death.At).Abs() <= commonFailureTime {
			others++
		}
	}
	fields := log.Fields{
		"request_id": string(r.req.ID), "fingerprint": string(r.fingerprints()[0]), "upstream": string(death.ID.Upstream),
		"prompt_parts": partIDs(r.req.Work.Parts), "organisation": string(r.organisation), "others": others, "of": len(rows),
	}
	if float64(others) > commonFailureShare*float64(len(rows)) {
		r.m.opts.Log.WithFields(fields).Info("upstream crash not counted against the request: too many other upstreams failed")
		return
	}
	var added suspect.Rows
	for _, fp := range r.fingerprints() {
		death.Fingerprint = fp
		added.Deaths = append(added.Deaths, death)
	}
	r.m.opts.Suspects.Merge(added, now)
	most := r.mostCrashes(now)
	r.m.opts.Log.WithFields(fields).WithField("deaths", most).Warn("upstream ended when it ran a request")
	r.m.opts.PublishCrashes(r.crashEvidence(now), most >= crashBroadcastCount)
	if most < crashBroadcastCount {
		r.m.opts.Pool.After(crashBroadcastDelay, r.key, worker.Func(func() {
			// Other instances may run other requests with the same parts, whose crashes
			// add up only if all instances know them.
			if now := time.Now(); r.mostCrashes(now) > 0 {
				r.m.opts.PublishCrashes(r.crashEvidence(now), true)
			}
		}))
	}
}

// mostCrashes returns the largest number of crashes that count against the request or
// one of its parts.
func (r *activeRequest) mostCrashes(now time.Time) int {
	most := 0
	for _, fp := range r.fingerprints() {
		deaths, _ := r.m.opts.Suspects.CountDeaths(fp, now)
		most = max(most, deaths)
	}
	return most
}

// crashEvidence returns the rows that count for the request and the parts of its prompt.
func (r *activeRequest) crashEvidence(now time.Time) suspect.Rows {
	var evidence suspect.Rows
	for _, fp := range r.fingerprints() {
		rows := r.m.opts.Suspects.CountedRows(fp, now)
		evidence.Deaths = append(evidence.Deaths, rows.Deaths...)
		evidence.Clears = append(evidence.Clears, rows.Clears...)
	}
	return evidence
}

// clearSuspicion removes the crashes recorded against the request after an upstream
// ran the request and survived. wrote means that the upstream wrote a part of its
// answer, which clears the parts of the prompt too.
func (r *activeRequest) clearSuspicion(wrote bool) {
	if r.m.opts.Suspects.Version() == 0 {
		return
	}
	now := time.Now()
	fps := r.fingerprints()
	if !wrote {
		fps = fps[:1]
	}
	cleared := 0
	for _, fp := range fps {
		if deaths, _ := r.m.opts.Suspects.CountDeaths(fp, now); deaths > 0 {
			r.m.opts.Suspects.RecordProgress(fp, 0, true, now)
			cleared = max(cleared, deaths)
		}
	}
	if cleared == 0 {
		return
	}
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("fingerprint", string(fps[0])).
		WithField("prompt_parts", partIDs(r.req.Work.Parts)).WithField("deaths", cleared).Info("cleared the request of causing upstream crashes")
	r.m.opts.PublishCrashes(r.crashEvidence(now), cleared >= crashBroadcastCount)
}

// partIDs returns the IDs of the parts for the log.
func partIDs(parts []PromptPart) string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}
