package forward

import (
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
)

// maxWaitingEventBytes bounds the events of one attempt that wait to be handled. They
// are usually handled within milliseconds.
const maxWaitingEventBytes = 1 << 20

// receiver posts the results of one attempt to the worker pool.
type receiver struct {
	r        *activeRequest
	number   int
	waiting  atomic.Int64 // bytes of the events that wait to be handled
	overflow bool         // too many waited; used only by the sender's goroutine
}

// post runs f under the request's key, unless the attempt has ended.
func (v *receiver) post(f func(*attempt)) {
	v.r.m.opts.Pool.Post(v.r.key, worker.Func(func() {
		if a, ok := v.r.inFlight[v.number]; ok && !v.r.ended {
			f(a)
		}
	}))
}

// UpstreamLeaving implements Receiver.
func (v *receiver) UpstreamLeaving() {
	v.post(func(a *attempt) { v.r.handleLeaving(a) })
}

// Answered implements Receiver.
func (v *receiver) Answered(answer Answer) {
	v.post(func(a *attempt) { v.r.handleAnswer(a, answer) })
}

// StreamBegan implements Receiver.
func (v *receiver) StreamBegan(status int, header Header) {
	v.post(func(a *attempt) { a.status, a.header = status, header })
}

// EventsArrived implements Receiver.
func (v *receiver) EventsArrived(events []Event) {
	if v.overflow {
		return
	}
	size := int64(0)
	for _, e := range events {
		size += int64(len(e.Raw))
	}
	if v.waiting.Add(size) > maxWaitingEventBytes {
		v.overflow = true
		v.post(func(a *attempt) {
			v.r.handleLoss(a, continuation.LossGap, "events arrive faster than they are handled", true)
		})
		return
	}
	at := time.Now()
	v.r.m.opts.Pool.Post(v.r.key, worker.Func(func() {
		v.waiting.Add(-size)
		if a, ok := v.r.inFlight[v.number]; ok && !v.r.ended {
			v.r.handleEvents(a, events, at)
		}
	}))
}

// StreamEnded implements Receiver.
func (v *receiver) StreamEnded() {
	v.post(func(a *attempt) { v.r.handleStreamEnd(a, true) })
}

// ConnectionClosed implements Receiver.
func (v *receiver) ConnectionClosed() {
	v.post(func(a *attempt) { v.r.handleStreamEnd(a, false) })
}

// Lost implements Receiver.
func (v *receiver) Lost(kind continuation.Loss, cause string, sent bool) {
	v.post(func(a *attempt) { v.r.handleLoss(a, kind, cause, sent) })
}
