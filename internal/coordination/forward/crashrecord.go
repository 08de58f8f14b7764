package forward

import (
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
