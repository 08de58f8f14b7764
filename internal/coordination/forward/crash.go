package forward

import (
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// A request may crash each upstream that begins to run it, and its caller sends
// the request again, to any instance. Crashes of upstreams are recorded under the
// request's fingerprint and sent to other instances. An answer or an event clears
// the fingerprint, because identical requests of one caller share a fingerprint and
// connections also break for reasons that have nothing to do with the request.

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
)

// fingerprint returns the hash that the request shares with its retries.
func (r *activeRequest) fingerprint() suspect.Fingerprint {
	if r.cachedFingerprint == "" {
		r.cachedFingerprint = suspicion.RequestFingerprint(r.organisation, r.req.Method, r.req.Host, r.req.Path, r.req.Query, r.req.Body)
	}
	return r.cachedFingerprint
}

// crashHistory returns the number of upstream crashes recorded against the request
// and the time of the last one. The fingerprint is not computed until a first crash
// is known.
func (r *activeRequest) crashHistory(now time.Time) (crashes int, last time.Time) {
	if r.m.opts.Suspects.Version() == 0 {
		return 0, time.Time{}
	}
	for _, d := range r.m.opts.Suspects.CountedRows(r.fingerprint(), now).Deaths {
		crashes++
		if d.At.After(last) {
			last = d.At
		}
	}
	return crashes, last
}

// refuseIfCrashing refuses a request that crashed too many upstreams, and reports
// whether it did.
func (r *activeRequest) refuseIfCrashing() bool {
	now := time.Now()
	crashes, last := r.crashHistory(now)
	trial := last.Add(crashTrialDelay)
	if crashes < crashRefuseCount || (crashes < crashTrialLimit && !now.Before(trial)) {
		return false
	}
	refusal := &model.Refusal{
		Code:    CodeCrashesUpstreams,
		Message: "Upstreams ended when they ran this request.",
		Outcome: model.OutcomeNotRun,
	}
	if crashes < crashTrialLimit {
		refusal.RetryAfter = trial.Sub(now)
	}
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("fingerprint", string(r.fingerprint())).
		WithField("deaths", crashes).WithField("last_ms", now.Sub(last).Milliseconds()).Warn("request ends upstreams")
	r.refuse(refusal)
	return true
}

// mayRunAgain reports whether the crashes recorded against a request that has
// already run allow another run.
func (r *activeRequest) mayRunAgain() bool {
	crashes, _ := r.crashHistory(time.Now())
	return crashes < crashRefuseCount
}

// scheduleCrashCheck checks after crashCheckDelay whether the upstream crashed when
// the attempt was lost. A crash resets the connection or ends it within an event.
func (r *activeRequest) scheduleCrashCheck(a *attempt, kind continuation.Loss, sent bool) {
	broken := kind == continuation.LossReset || kind == continuation.LossTruncated
	if !broken || !sent || a.eventCount > 0 {
		return
	}
	death := suspect.Death{Fingerprint: r.fingerprint(), ID: suspect.DeathID{Upstream: a.upstream.ID}, At: time.Now()}
	if row, known := r.m.opts.Upstreams.Get(a.upstream.ID); known {
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

// awaitsCrashCheck reports whether a check in progress may bring the request to the
// number of crashes from which on it is refused.
func (r *activeRequest) awaitsCrashCheck() bool {
	if r.pendingCrashChecks == 0 {
		return false
	}
	crashes, _ := r.crashHistory(time.Now())
	return crashes < crashRefuseCount && crashes+r.pendingCrashChecks >= crashRefuseCount
}

// recordCrash records a crash against the request, unless too many upstreams that
// did not run the request failed at the same time.
func (r *activeRequest) recordCrash(death suspect.Death) {
	now := time.Now()
	suspected := map[model.UpstreamID]bool{}
	for _, id := range r.brokenUpstreams {
		suspected[id] = true
	}
	for _, d := range r.m.opts.Suspects.CountedRows(death.Fingerprint, now).Deaths {
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
		"request_id": string(r.req.ID), "fingerprint": string(death.Fingerprint), "upstream": string(death.ID.Upstream),
		"others": others, "of": len(rows),
	}
	if float64(others) > commonFailureShare*float64(len(rows)) {
		r.m.opts.Log.WithFields(fields).Info("upstream crash not counted against the request: too many other upstreams failed")
		return
	}
	r.m.opts.Suspects.Merge(suspect.Rows{Deaths: []suspect.Death{death}}, now)
	evidence := r.m.opts.Suspects.CountedRows(death.Fingerprint, now)
	r.m.opts.Log.WithFields(fields).WithField("deaths", len(evidence.Deaths)).Warn("upstream ended when it ran a request")
	r.m.opts.PublishCrashes(evidence, len(evidence.Deaths) >= crashBroadcastCount)
}

// clearSuspicion removes the crashes recorded against the request after an upstream
// ran the request and survived.
func (r *activeRequest) clearSuspicion() {
	now := time.Now()
	crashes, _ := r.crashHistory(now)
	if crashes == 0 {
		return
	}
	r.m.opts.Suspects.RecordProgress(r.fingerprint(), 0, true, now)
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("fingerprint", string(r.fingerprint())).
		WithField("deaths", crashes).Info("cleared the request of causing upstream crashes")
	r.m.opts.PublishCrashes(r.m.opts.Suspects.CountedRows(r.fingerprint(), now), crashes >= crashBroadcastCount)
}
