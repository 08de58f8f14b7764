package forward

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
)

// receiver posts the results of one attempt to the worker pool.
type receiver struct {
	r      *activeRequest
	number int
}

// post runs f under the request's key, unless the attempt has ended.
func (v *receiver) post(f func(*attempt)) {
	v.r.m.opts.Pool.Post(v.r.key, worker.Func(func() {
		if a, ok := v.r.inFlight[v.number]; ok && !v.r.ended {
			f(a)
		}
	}))
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
	at := time.Now()
	v.post(func(a *attempt) { v.r.handleEvents(a, events, at) })
}

// StreamEnded implements Receiver.
func (v *receiver) StreamEnded() {
	v.post(func(a *attempt) { v.r.handleStreamEnd(a) })
}

// Lost implements Receiver.
func (v *receiver) Lost(kind continuation.Loss, cause string, sent bool) {
	v.post(func(a *attempt) { v.r.handleLoss(a, kind, cause, sent) })
}
