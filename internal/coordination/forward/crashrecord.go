package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

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

// recordCrash records a crash against the request and the parts of its prompt. The crash
// is disputed if too many other upstreams failed at the same time.
func (r *activeRequest) recordCrash(death suspect.Death) {
	now := time.Now()
	beside, size := r.failedBeside(death, now)
	fields := log.Fields{
		"request_id": string(r.req.ID), "fingerprint": string(r.fingerprints()[0]), "upstream": string(death.ID.Upstream),
		"prompt_parts": partIDs(r.req.Work.Parts), "organisation": string(r.organisation), "others": len(beside), "of": size,
	}
	if len(beside) > maxBeside {
		r.m.opts.Log.WithFields(fields).Info("upstream crash not counted against the request: too many other upstreams failed")
		return
	}
	tolerated := int(commonFailureShare * float64(size))
	disputed := len(beside) > tolerated
	var added suspect.Rows
	for i, fp := range r.fingerprints() {
		death.Fingerprint = fp
		if disputed {
			added.Disputes = append(added.Disputes, suspect.Dispute{Death: death, Beside: beside, Tolerated: tolerated, Shared: i > 0})
			continue
		}
		added.Deaths = append(added.Deaths, death)
	}
	r.m.opts.Suspects.Merge(added, now)
	most := r.mostCrashes(now)
	r.m.opts.Log.WithFields(fields).WithField("deaths", most).WithField("disputed", disputed).Warn("upstream ended when it ran a request")
	if most >= crashBroadcastCount {
		r.m.opts.PublishCrashes(r.crashEvidence(now), true)
	} else {
		r.m.opts.PublishCrashes(added, false) // the cell has the earlier rows
		r.m.opts.Pool.After(crashBroadcastDelay, r.key, worker.Func(func() {
			// Other instances may run other requests with the same parts, or copies of this
			// one, whose crashes add up only if all instances know them.
			if evidence := r.crashEvidence(time.Now()); len(evidence.Deaths)+len(evidence.Disputes) > 0 {
				r.m.opts.PublishCrashes(evidence, true)
			}
		}))
	}
}

// failedBeside returns the upstreams of the service that failed at the moment of the crash,
// without those that this attempt of the caller ran on, and the number of the service's
// upstreams. Which of them ran copies of the request only the rows of all instances show.
func (r *activeRequest) failedBeside(death suspect.Death, now time.Time) (beside []model.UpstreamID, size int) {
	rows := r.m.opts.Upstreams.Serving(r.service.Name)
	for _, row := range rows {
		atOnce := recentlyFailed(row, now) && row.FailedAt.Sub(death.At).Abs() <= suspect.CommonFailureTime
		if atOnce && !slices.Contains(r.brokenUpstreams, row.Upstream.ID) {
			beside = append(beside, row.Upstream.ID)
		}
	}
	slices.Sort(beside)
	return beside, len(rows)
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

// crashEvidence returns the rows about the request and the parts of its prompt.
func (r *activeRequest) crashEvidence(now time.Time) suspect.Rows {
	var evidence suspect.Rows
	for _, fp := range r.fingerprints() {
		rows := r.m.opts.Suspects.Evidence(fp, now)
		evidence.Deaths = append(evidence.Deaths, rows.Deaths...)
		evidence.Disputes = append(evidence.Disputes, rows.Disputes...)
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
	cleared, wide := 0, false
	for _, fp := range fps {
		rows := r.m.opts.Suspects.Evidence(fp, now)
		if known := len(rows.Deaths) + len(rows.Disputes); known > 0 {
			r.m.opts.Suspects.RecordProgress(fp, 0, true, now)
			cleared = max(cleared, known)
			wide = wide || wasBroadcast(rows, now)
		}
	}
	if cleared == 0 {
		return
	}
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("fingerprint", string(fps[0])).
		WithField("prompt_parts", partIDs(r.req.Work.Parts)).WithField("deaths", cleared).Info("cleared the request of causing upstream crashes")
	r.m.opts.PublishCrashes(r.crashEvidence(now), wide)
}

// wasBroadcast reports whether the rows of a fingerprint may have been sent to all
// instances: there were several crashes, or one was not cleared for crashBroadcastDelay.
func wasBroadcast(rows suspect.Rows, now time.Time) bool {
	if len(rows.Deaths)+len(rows.Disputes) >= crashBroadcastCount {
		return true
	}
	for _, d := range rows.Deaths {
		if now.Sub(d.At) >= crashBroadcastDelay {
			return true
		}
	}
	for _, d := range rows.Disputes {
		if now.Sub(d.At) >= crashBroadcastDelay {
			return true
		}
	}
	return false
}

// partIDs returns the IDs of the parts for the log.
func partIDs(parts []PromptPart) string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}
