package forward

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// probeTimeout bounds the wait for an engine's state. Engines answer probes
	// without queueing them behind requests.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between two probes of a live engine.
	probeInterval = 700 * time.Millisecond
	// maxFirstEventWait is the longest wait for the first event of a live engine, as a
	// multiple of the latency objective. After that the engine is considered stuck.
	maxFirstEventWait = 1.5
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

// probe asks the engine of an attempt without events whether the engine is alive and
// has the request. If so, the attempt goes on: the engine is reading other prompts
// first, and another engine would have to read this prompt from its beginning.
func (r *activeRequest) probe(a *attempt) {
	stuck := time.Duration(maxFirstEventWait * float64(r.route.Objective))
	if waited := time.Since(a.started); stuck > 0 && waited > stuck {
		r.handleLoss(a, continuation.LossSilence, "no first event for "+waited.String(), true)
		return
	}
	r.m.metrics.countProbe(r.service.Name)
	r.m.opts.Sender.Probe(a.upstream, probeTimeout, func(state EngineState, err error) {
		r.m.opts.Pool.Post(r.key, worker.Func(func() {
			if !r.ended && r.inFlight[a.number] == a && a.eventCount == 0 {
				r.handleProbeResult(a, state, err)
			}
		}))
	})
}

// handleProbeResult gives up the attempt if its engine did not answer the probe or
// no longer has the request, and otherwise schedules the next probe.
func (r *activeRequest) handleProbeResult(a *attempt, state EngineState, err error) {
	if err != nil {
		r.handleLoss(a, continuation.LossSilence, "engine did not answer a probe: "+err.Error(), true)
		return
	}
	r.m.opts.Upstreams.RecordOutput(a.upstream.ID, time.Now())
	forgotten := time.Since(a.started) > maxStateAge && !state.mayContain(r.req.ID)
	if forgotten && r.route.Repeat == model.RepeatResume {
		r.handleLoss(a, continuation.LossNoStream, "engine no longer has the request", true)
		return
	}
	r.m.opts.Pool.After(probeInterval, r.key, worker.Func(func() {
		if !r.ended && r.inFlight[a.number] == a && a.eventCount == 0 {
			r.probe(a)
		}
	}))
}
