package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// copyCheck is the time between checks whether the holder of a stream's copy
	// lives.
	copyCheck = 300 * time.Millisecond
	// copyRefresh is the time between orders to bring a copy up to date. Holders
	// drop a copy that was not renewed for some seconds.
	copyRefresh = time.Second
	// copyTimeout bounds one order. A copy of 5,000 tokens takes about 25 ms
	// between failure domains, behind the copies of other streams.
	copyTimeout = time.Second
)

// copyAfter returns the copy from which a stream can go on after the attempt.
func (r *run) copyAfter(a *attempt) *copyOf {
	switch {
	case a.holder.ID == "" || a.positions == 0:
		return nil
	case !a.ordered:
		return &copyOf{holder: a.holder, source: CopySource{Address: a.holder.Address, ID: string(r.req.ID)}}
	case a.handle != "":
		return &copyOf{holder: a.holder, source: CopySource{Address: a.upstream.Address, ID: a.handle}}
	default:
		return nil
	}
}

func (r *run) watchCopyLater(a *attempt, delay time.Duration) {
	if r.route.Repeat != model.RepeatResume || r.service.Engine == nil || !r.service.Engine.Moves {
		return
	}
	r.m.opts.Pool.After(delay, r.key, worker.Func(func() {
		if !r.ended && r.attempts[a.number] == a {
			r.watchCopy(a)
		}
	}))
}

// watchCopy replaces the holder of the stream's copy when it is lost. The
// engine copies to one holder as the stream grows, which cannot be changed
// during the run, so the next one gets copies on order.
func (r *run) watchCopy(a *attempt) {
	alive := r.holderAlive(a)
	if a.positions == 0 || (alive && !a.ordered) {
		r.watchCopyLater(a, copyCheck)
		return
	}
	if !alive && !r.replaceHolder(a) {
		r.watchCopyLater(a, copyCheck)
		return
	}
	r.orderCopy(a)
}

// discardCopy frees the ordered copy of an attempt after which nothing follows.
func (r *run) discardCopy(a *attempt) {
	if a.handle != "" {
		r.m.opts.Sender.Discard(a.upstream, a.handle)
		a.handle = ""
	}
}

func (r *run) holderAlive(a *attempt) bool {
	row, known := r.m.opts.Upstreams.Get(a.holder.ID)
	return known && row.Report.Health != upstream.HealthLeaving && !r.m.inDoubt(row, time.Now())
}

// replaceHolder chooses another holder. It reports false if there is none.
func (r *run) replaceHolder(a *attempt) bool {
	holder, ok := r.m.pickHolder(r, a.upstream, r.need())
	if !ok {
		return false
	}
	if a.holder.ID != "" {
		r.m.opts.Commitments.Remove(a.holder.ID, a.copied)
	}
	a.copied = commitment.Work{Copies: r.need().memory}
	r.m.opts.Commitments.Add(holder.ID, a.copied)
	r.m.opts.Log.WithField("request_id", string(r.req.ID)).
		WithField("upstream", string(a.upstream.ID)).
		WithField("lost_holder", string(a.holder.ID)).
		WithField("holder", string(holder.ID)).
		Info("copy goes to another holder")
	a.holder, a.ordered, a.handle = holder, true, ""
	r.told(a)
	return true
}

// orderCopy brings the ordered copy up to date.
func (r *run) orderCopy(a *attempt) {
	holder := a.holder
	r.m.opts.Sender.Copy(a.upstream, r.req.ID, holder, copyTimeout, func(handle string, err error) {
		r.m.opts.Pool.Post(r.key, worker.Func(func() {
			if r.ended || r.attempts[a.number] != a {
				if err == nil {
					r.m.opts.Sender.Discard(a.upstream, handle)
				}
				return
			}
			if err != nil {
				r.m.opts.Log.WithField("request_id", string(r.req.ID)).WithField("holder", string(holder.ID)).WithError(err).Warn("copy failed")
				r.watchCopyLater(a, copyCheck)
				return
			}
			if a.holder.ID == holder.ID {
				a.handle = handle
			}
			r.watchCopyLater(a, copyRefresh)
		}))
	})
}
