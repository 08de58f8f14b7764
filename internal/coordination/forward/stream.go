package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/outlier"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// defaultMaxGap is the longest pause between events that counts as on time, for
	// routes that do not set one.
	defaultMaxGap = 2 * time.Second
	// defaultObjective is the latency objective of routes that do not set one.
	defaultObjective = 5 * time.Second
	// maxStaleEvents bounds the events of an attempt that the caller has already. An
	// engine that ignores the position from which to go on repeats a stream once.
	maxStaleEvents = 4096
	// replaceInterval is the time between two attempts to find an engine.
	replaceInterval = 50 * time.Millisecond
	// maxPlacementWait is how long a stream without an event waits for an engine that
	// accepts it, as a multiple of the latency objective, and maxPlacementShare is the
	// share of the caller's time limit that it waits at most. Callers leave after four
	// times the objective; an answer before that lets them try elsewhere.
	maxPlacementWait  = 2
	maxPlacementShare = 0.5
)

// streamState is the progress of a stream.
type streamState struct {
	accepted            Position
	delivered           Position // last event that the caller has
	consecutiveFailures int      // attempts in a row that reached an engine and brought no event
	lostAt              time.Time
	resumeCopy          *streamCopy // copy of the lost attempt's memory; nil means none
	lastEventAt         time.Time
	firstEventDelay     time.Duration // from the request's arrival to its first event
	longestPause        time.Duration // longest time between two events
}

// streamCopy is a copy of an engine's memory of a stream, held by another engine.
type streamCopy struct {
	holder model.Upstream
	source CopySource
}

// placeStream starts the next attempt of a stream.
func (r *activeRequest) placeStream() {
	if r.ended || len(r.inFlight) > 0 {
		return
	}
	if r.awaitsCrashCheck() {
		r.m.opts.Pool.After(replaceInterval, r.key, worker.Func(r.placeStream))
		return
	}
	// Crashes may have become known since the request arrived or was sent.
	if r.executions == 0 && r.refuseIfCrashing() {
		return
	}
	if r.executions > 0 && !r.mayRunAgain() {
		r.settleStream()
		return
	}
	if r.stream.resumeCopy != nil {
		r.resumeFromCopy()
		return
	}
	if r.executions >= max(r.route.MaxAttempts, 1) {
		r.settleStream()
		return
	}
	if !r.admitted {
		r.enter(r.placeStream)
		return
	}
	demand := r.demand()
	choice, ok := r.m.pickEngine(r, demand)
	if !ok {
		r.waitForEngine()
		return
	}
	if !fitsMemory(r.service.Engine, choice.load, r.neededMemory()) {
		r.waitForMemory()
		return
	}
	if r.held && !choice.promptCached && time.Now().Before(r.holdUntil) && !r.m.mayReleaseStream(demand.prefillTokens, choice.engineCount) {
		r.recheckHeldStream()
		return
	}
	r.endHold()
	if r.attemptNumber > 0 && !r.takeResend() {
		if r.endUnplaced(time.Now()) {
			return
		}
		r.m.metrics.countResend(r.service.Name, "held back")
		r.m.opts.Pool.After(replaceInterval, r.key, worker.Func(r.placeStream))
		return
	}
	expected := time.Duration(float64(choice.load.PrefillTokens+demand.prefillTokens) / assumedPrefillRate * float64(time.Second))
	r.startStream(choice.engine, demand, expected, nil)
}

// demand returns what the stream needs from an engine that has no copy of its memory.
func (r *activeRequest) demand() streamDemand {
	g := r.req.Work
	return streamDemand{prefillTokens: g.PromptTokens, memoryTokens: g.PromptTokens + g.OutputTokens}
}

// resumeFromCopy continues the stream at the engine that holds a copy of its memory,
// or places the stream anew if that engine is not available.
func (r *activeRequest) resumeFromCopy() {
	source := r.stream.resumeCopy
	r.stream.resumeCopy = nil
	row, usable := r.m.usableHolder(source.holder.ID)
	if !usable {
		r.placeStream()
		return
	}
	// The place may have been given up while no engine took the stream. The copy's memory is
	// already taken, so a new place need not be waited for.
	r.takePlace()
	demand := r.demand()
	demand.prefillTokens = 0
	// A resume from a copy is the same run, so the route's limit of sends does not bound it.
	// The copy expires soon, so the resend is charged to the budget but never delayed by it.
	r.takeResend()
	r.startStream(row.Upstream, demand, 0, &source.source)
}

// startStream starts an attempt of the stream at the engine, and has the engine copy
// the stream's memory to another engine if the route allows to resume.
func (r *activeRequest) startStream(up model.Upstream, demand streamDemand, expected time.Duration, from *CopySource) {
	a := &attempt{
		upstream:      up,
		work:          commitment.Work{Requests: 1, PrefillTokens: demand.prefillTokens, MemoryTokens: demand.memoryTokens},
		startPosition: r.stream.accepted,
		fromCopy:      from != nil,
		pace:          continuation.Pace{Expected: expected},
	}
	s := Send{Stream: true, LastPosition: r.stream.accepted, ResumeFrom: from}
	if holder, ok := r.m.pickCopyHolder(r, up, demand); ok && r.route.Repeat == model.RepeatResume {
		a.copyHolder = holder
		a.copyWork = commitment.Work{CopyTokens: demand.memoryTokens}
		s.CopyTo = holder.Address
	}
	r.executions++
	r.m.opts.Locations.SetLocal(affinityKey(r.req), up.ID, time.Now())
	r.startAttempt(a, s)
	r.logPlaced(a, expected)
	r.scheduleSilenceCheck(a, r.silenceLimit(a))
	if from == nil {
		r.watchSlowFirstEvent(a, expected)
	}
	r.scheduleCopyCheck(a, copyCheckInterval)
}

// watchSlowFirstEvent records a bad outcome if the engine takes longer to the first
// event than its work explains.
func (r *activeRequest) watchSlowFirstEvent(a *attempt, expected time.Duration) {
	lateAfter := outlier.LateAfter(r.route.Objective)
	if lateAfter == 0 {
		return
	}
	r.m.opts.Pool.After(lateAfter+expected, r.key, worker.Func(func() {
		if !r.ended && r.inFlight[a.number] == a && a.eventCount == 0 {
			r.recordOutcome(a, true, "slow first event")
		}
	}))
}

// handleEvents delivers the new events of an attempt. It gives up the attempt if
// events are missing.
func (r *activeRequest) handleEvents(a *attempt, events []Event, at time.Time) {
	from := continuation.Connection{Number: a.number}
	for _, e := range events {
		if e.Position <= r.stream.accepted {
			a.lastStale = max(a.lastStale, e.Position)
			if a.staleEvents++; a.staleEvents > maxStaleEvents {
				r.handleLoss(a, continuation.LossGap, "events repeat", true)
				return
			}
			continue
		}
		verdict, _ := continuation.Accept(a.continuationState(), int(r.stream.accepted), from, int(e.Position)-1, 1)
		if verdict != continuation.Accepted {
			r.handleLoss(a, continuation.LossGap, "missing events", true)
			return
		}
		r.deliverEvent(a, e, at)
	}
}

// deliverEvent sends one event to the caller.
func (r *activeRequest) deliverEvent(a *attempt, e Event, at time.Time) {
	if a.eventCount == 0 {
		r.handleFirstEvent(a, at)
	} else {
		a.pace.Interval = continuation.Smooth(a.pace.Interval, at.Sub(a.lastSeen))
	}
	a.eventCount++
	a.lastSeen = at
	if r.stream.lastEventAt.IsZero() {
		r.stream.firstEventDelay = at.Sub(r.req.Arrived)
	} else {
		r.stream.longestPause = max(r.stream.longestPause, at.Sub(r.stream.lastEventAt))
	}
	r.stream.lastEventAt = at
	r.m.opts.Upstreams.RecordOutput(a.upstream.ID, at)
	r.stream.accepted, r.stream.delivered = e.Position, e.Position
	r.stream.consecutiveFailures = 0
	r.response.events(a.status, a.header, e.Raw)
	r.endSilence(a)
}

// handleFirstEvent records that the engine has read the prompt.
func (r *activeRequest) handleFirstEvent(a *attempt, at time.Time) {
	r.m.opts.Commitments.Remove(a.upstream.ID, commitment.Work{PrefillTokens: a.work.PrefillTokens})
	a.work.PrefillTokens = 0
	r.m.opts.StateChanged()
	r.clearSuspicion(true)
	r.recordOutcome(a, false, "first event")
	r.m.metrics.recordFirstEvent(r.service.Name, a.fromCopy, at.Sub(a.started))
	if r.stream.lostAt.IsZero() {
		return
	}
	pause := at.Sub(r.stream.lostAt)
	r.m.metrics.recordResume(r.service.Name, a.fromCopy, pause)
	r.stream.lostAt = time.Time{}
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("attempt", a.number).
		WithField("from_copy", a.fromCopy).
		WithField("pause_ms", pause.Milliseconds()).
		Info("stream resumed")
}

// handleStreamEnd completes the caller's stream when the attempt's answer has ended, or
// gives up an attempt that ended too early. delimited says that the answer marks its end
// itself, by a length or a last chunk.
func (r *activeRequest) handleStreamEnd(a *attempt, delimited bool) {
	if loss, cause := r.earlyEnd(a, delimited); loss != "" {
		r.handleLoss(a, loss, cause, true)
		return
	}
	r.discardRequestedCopy(a)
	a.ran = true
	r.endAttempt(a)
	r.response.end(a.status, a.header)
	r.finish("answered", a.status)
}

// earlyEnd returns the kind of loss if the attempt's answer ended before the stream did,
// and else an empty one. An answer that is not delimited ends the stream only after a new
// event.
func (r *activeRequest) earlyEnd(a *attempt, delimited bool) (kind continuation.Loss, cause string) {
	switch {
	case r.stream.accepted == 0:
		return continuation.LossTruncated, "stream ended before its first event"
	case a.eventCount > 0:
		return "", ""
	case !delimited:
		return continuation.LossTruncated, "connection closed before an event that the caller lacks"
	case a.staleEvents > 0 && a.lastStale < r.stream.accepted:
		return continuation.LossGap, "stream ended before the events that the caller has"
	default:
		return "", "" // the caller has all events
	}
}

// handleStreamLoss continues, restarts or ends a stream whose attempt was lost, as the
// rules of package continuation decide.
func (r *activeRequest) handleStreamLoss(a *attempt, kind continuation.Loss, cause string, sent bool) {
	if !sent {
		r.executions--
	}
	if a.eventCount == 0 && continuation.ReachedEngine(kind) {
		r.stream.consecutiveFailures++
	}
	if r.stream.lostAt.IsZero() && r.response.begun {
		r.stream.lostAt = a.lastSeen
	}
	r.logAttempt(a, string(kind)+": "+cause)
	r.tried[a.upstream.ID] = true
	if sent && r.route.Repeat == model.RepeatNever {
		r.settleStream()
		return
	}
	r.stream.resumeCopy = r.copyForResume(a)
	switch continuation.Next(r.lossSituation(kind)) {
	case continuation.Continue, continuation.Restart:
		r.placeStream()
	case continuation.Wait:
		r.waitForEngine()
	default:
		r.settleStream()
	}
}

func (r *activeRequest) lossSituation(kind continuation.Loss) continuation.Situation {
	s := continuation.Situation{
		Loss:             kind,
		Tokens:           int(r.stream.accepted),
		Shown:            int(r.stream.delivered),
		AlternativeReady: len(r.m.usableUpstreams(r, time.Now())) > 0,
		Failures:         r.stream.consecutiveFailures,
	}
	if !r.stream.lostAt.IsZero() {
		s.Waited = time.Since(r.stream.lostAt)
	}
	return s
}

// waitForEngine tries to place the stream again after replaceInterval, also at
// engines that were tried before, which may have restarted by then.
func (r *activeRequest) waitForEngine() {
	r.leaveAdmission()
	now := time.Now()
	if r.executions == 0 && r.m.allLeave(r, now) {
		r.hold(r.placeStream, refuseNoUpstream(r.service.Name, r.req))
		return
	}
	if r.endUnplaced(now) {
		return
	}
	clear(r.tried)
	if end, paused := r.m.firstPauseEnd(r, now); paused && len(r.m.usableUpstreams(r, now)) == 0 {
		if !r.waitForPause(end, r.placeStream) {
			r.settleStream()
		}
		return
	}
	r.m.opts.Pool.After(replaceInterval, r.key, worker.Func(r.placeStream))
}

// waitForMemory has a stream that fits into no engine wait for room again. It enters the
// queue after a pause: another stream took the memory a moment ago, and this instance may
// not know all of the work yet.
func (r *activeRequest) waitForMemory() {
	r.leaveAdmission()
	if r.endUnplaced(time.Now()) {
		return
	}
	r.m.opts.Pool.After(roomCheckInterval, r.key, worker.Func(r.placeStream))
}

// endUnplaced ends a stream that has neither an event nor an engine and has waited for as
// long as it may, and reports whether it did.
func (r *activeRequest) endUnplaced(now time.Time) bool {
	if r.response.begun || now.Sub(r.req.Arrived) < r.placementLimit() {
		return false
	}
	r.settleStream()
	return true
}

// placementLimit returns how long a stream without an event waits for an engine.
func (r *activeRequest) placementLimit() time.Duration {
	objective := r.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	limit := maxPlacementWait * objective
	if !r.req.Deadline.IsZero() {
		limit = min(limit, time.Duration(maxPlacementShare*float64(r.req.Deadline.Sub(r.req.Arrived))))
	}
	return limit
}

// settleStream ends a stream that cannot continue.
func (r *activeRequest) settleStream() {
	switch {
	case r.hasLastFailure && !r.response.begun:
		r.deliver(r.lastFailure)
	case r.executions == 0:
		r.refuse(r.busyRefusal())
	default:
		r.refuse(refuseUnknown("its stream broke"))
	}
}

func (r *activeRequest) logPlaced(a *attempt, expected time.Duration) {
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("copies_to", string(a.copyHolder.ID)).
		WithField("attempt", a.number).
		WithField("prompt", affinityKey(r.req)).
		WithField("from_copy", a.fromCopy).
		WithField("after", uint64(r.stream.accepted)).
		WithField("expected_ms", expected.Milliseconds()).
		Info("stream placed")
}
