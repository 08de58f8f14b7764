package forward

import (
	"errors"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// copyCheckInterval is the time between two checks whether the engine that
	// holds a stream's copy is alive.
	copyCheckInterval = 300 * time.Millisecond
	// copyRefreshInterval is the time between two requests that bring a copy up to
	// date. Holders drop a copy that was not renewed for some seconds.
	copyRefreshInterval = time.Second
	// copyTimeout bounds one copy request. A copy of 5,000 tokens takes about 25 ms
	// between failure domains, and waits for the copies of other streams first.
	copyTimeout = time.Second
)

// copyForResume returns the copy from which the stream can resume after the
// attempt is lost; nil means that there is none.
func (r *activeRequest) copyForResume(a *attempt) *streamCopy {
	switch {
	case a.copyHolder.ID == "" || a.eventCount == 0:
		return nil
	case !a.copyOnRequest:
		return &streamCopy{holder: a.copyHolder, source: CopySource{Address: a.copyHolder.Address, ID: string(r.req.ID)}}
	case a.copyHandle != "":
		return &streamCopy{holder: a.copyHolder, source: CopySource{Address: a.upstream.Address, ID: a.copyHandle}}
	default:
		return nil
	}
}

// scheduleCopyCheck runs checkCopy after the delay, on routes whose streams are
// resumed from copies.
func (r *activeRequest) scheduleCopyCheck(a *attempt, delay time.Duration) {
	if r.route.Repeat != model.RepeatResume || r.service.Engine == nil || !r.service.Engine.Moves {
		return
	}
	r.m.opts.Pool.After(delay, r.key, worker.Func(func() {
		if !r.ended && r.inFlight[a.number] == a {
			r.checkCopy(a)
		}
	}))
}

// checkCopy replaces the holder of the stream's copy when the holder is lost. The
// engine copies to its first holder as the stream grows. That holder cannot be
// changed while the stream runs, so a later holder gets copies on request.
func (r *activeRequest) checkCopy(a *attempt) {
	if a.denied { // the engine has no memory of the stream left to copy
		if !r.moveUnknown(a) {
			r.scheduleCopyCheck(a, copyCheckInterval)
		}
		return
	}
	alive := r.holderAlive(a)
	if a.eventCount == 0 || (alive && !a.copyOnRequest) {
		r.scheduleCopyCheck(a, copyCheckInterval)
		return
	}
	if !alive && !r.replaceHolder(a) {
		r.scheduleCopyCheck(a, copyCheckInterval)
		return
	}
	r.requestCopy(a)
}

// discardRequestedCopy frees the attempt's requested copy once the stream has ended.
func (r *activeRequest) discardRequestedCopy(a *attempt) {
	if a.copyHandle != "" {
		r.m.opts.Sender.DiscardCopy(a.upstream, a.copyHandle)
		a.copyHandle = ""
	}
}

func (r *activeRequest) holderAlive(a *attempt) bool {
	row, known := r.m.opts.Upstreams.Get(a.copyHolder.ID)
	return known && row.Report.Health != upstream.HealthLeaving && !r.m.mayHaveFailed(row, time.Now())
}

// replaceHolder chooses another engine to hold the stream's copy. It returns
// false if no engine is suitable.
func (r *activeRequest) replaceHolder(a *attempt) bool {
	holder, ok := r.m.pickCopyHolder(r, a.upstream, r.demand())
	if !ok {
		return false
	}
	if a.copyHolder.ID != "" {
		r.m.opts.Commitments.Remove(a.copyHolder.ID, a.copyWork)
	}
	a.copyWork = commitment.Work{CopyTokens: r.demand().memoryTokens}
	r.m.opts.Commitments.Add(holder.ID, a.copyWork)
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("lost_holder", string(a.copyHolder.ID)).
		WithField("holder", string(holder.ID)).
		Info("replaced the holder of the stream's copy")
	a.copyHolder, a.copyOnRequest, a.copyHandle = holder, true, ""
	r.notifyWorkChanged(a)
	return true
}

// requestCopy asks the engine to bring the requested copy up to date.
func (r *activeRequest) requestCopy(a *attempt) {
	holder := a.copyHolder
	r.m.opts.Sender.RequestCopy(a.upstream, r.req.ID, holder, copyTimeout, func(handle string, err error) {
		r.m.opts.Pool.Post(r.key, worker.Func(func() {
			if r.ended || r.inFlight[a.number] != a {
				if err == nil {
					r.m.opts.Sender.DiscardCopy(a.upstream, handle)
				}
				return
			}
			if err != nil {
				r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("holder", string(holder.ID)).WithError(err).Warn("copying the stream's memory failed")
				if errors.Is(err, ErrStreamUnknown) && r.moveUnknown(a) {
					return
				}
				r.scheduleCopyCheck(a, copyCheckInterval)
				return
			}
			if a.copyHolder.ID == holder.ID {
				a.copyHandle = handle
			}
			r.scheduleCopyCheck(a, copyRefreshInterval)
		}))
	})
}
