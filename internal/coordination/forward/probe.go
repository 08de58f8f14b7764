package forward

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// probeTimeout bounds the wait for an engine's state. Engines answer probes
	// without queueing them behind requests.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between two probes of a live engine.
	probeInterval = 700 * time.Millisecond
	// unansweredProbeInterval is the time from an unanswered probe to the next one.
	unansweredProbeInterval = 250 * time.Millisecond
	// unmovableProbeInterval is the time between two probes for a stream that cannot move.
	// The answers only show other streams whether the engine is alive.
	unmovableProbeInterval = 3 * time.Second
	// maxEventWait is the longest wait for an event of a live engine, as a multiple of
	// the latency objective. After that the engine is considered stuck.
	maxEventWait = 1.5
	// maxStateAge bounds the age of the state that an engine reports.
	maxStateAge = time.Second
)

// EngineState is the work that an engine reports. It is some hundred milliseconds old.
type EngineState struct {
	Reported bool              // the engine reported its requests
	Waiting  int               // requests in its queue
	Active   int               // requests in its batch, including those whose prompt is being read
	Decoding []model.RequestID // requests in the batch whose prompt has been read
}

// mayContain reports whether the engine may have the request. The state only counts
// the requests that wait or whose prompt is being read, and does not name them.
func (s EngineState) mayContain(id model.RequestID) bool {
	return !s.Reported || s.Waiting > 0 || s.Active > len(s.Decoding) || slices.Contains(s.Decoding, id)
}

// probe asks the engine of a silent attempt whether the engine is alive and has the
// request. If so, the attempt goes on: the engine may be reading other prompts first, and
// another engine would have to read this prompt from its beginning.
func (r *activeRequest) probe(a *attempt) {
	at, seen := time.Now(), a.lastSeen
	a.probed = true
	r.m.metrics.countProbe(r.service.Name)
	r.m.opts.Sender.Probe(a.upstream, probeTimeout, func(state EngineState, err error) {
		r.m.opts.Pool.Post(r.key, worker.Func(func() {
			if !r.ended && r.inFlight[a.number] == a && a.lastSeen.Equal(seen) {
				r.handleProbeResult(a, at, state, err)
			}
		}))
	})
}

// handleProbeResult leaves the engine if it did not answer the probe or no longer has
// the request, and another engine may go on. Otherwise it schedules the next check.
func (r *activeRequest) handleProbeResult(a *attempt, probedAt time.Time, state EngineState, err error) {
	next := probeInterval
	if err != nil {
		if a.unansweredSince.IsZero() {
			a.unansweredSince = probedAt
		}
		r.recordUnansweredProbe(a)
		if r.moveSilent(a, "engine did not answer a probe: "+err.Error()) {
			return
		}
		next = unansweredProbeInterval
	} else {
		a.unansweredSince = time.Time{}
		r.m.opts.Upstreams.RecordOutput(a.upstream.ID, time.Now())
		a.forgotten = time.Since(a.started) > maxStateAge && !state.mayContain(r.req.ID)
		if a.forgotten && r.moveSilent(a, "engine no longer has the request") {
			return
		}
	}
	if r.sendsLeft() < 1 {
		next = unmovableProbeInterval
	}
	r.scheduleSilenceCheck(a, next)
}
