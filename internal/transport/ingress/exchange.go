package ingress

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerlimit"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxQueuedBytes limits the queue for a caller that reads slowly. Its connection
// is reset when the queue exceeds the limit.
const maxQueuedBytes = 1 << 20

// responsePart is one part of the response, queued for writing to the caller.
type responsePart struct {
	head    *responseHead
	raw     []byte
	memory  int64 // bytes that the part keeps from being freed
	refusal *model.Refusal
	end     bool   // this is the last part
	abort   bool   // reset the connection, so that the response does not look complete
	cause   string // of the abort, if it was decided here
}

// Causes of aborts that a wrong sequence of parts leads to.
const (
	causeSecondHead = "a second head was to be sent"
	causeNoHead     = "a part was to be sent before the head"
)

const (
	causeSlowCaller = "the caller reads too slowly"
	causeNoMemory   = "no memory is left for what the caller has not read"
	causeEnded      = "the response has ended"
)

// abortPart returns the part that aborts the response for a cause decided here.
func abortPart(cause string) responsePart {
	return responsePart{end: true, abort: true, cause: cause}
}

// hasHead reports whether the part begins a response.
func (p responsePart) hasHead() bool { return p.head != nil || p.refusal != nil }

type responseHead struct {
	status int
	header forward.Header
	length int // of the body; -1 means unknown
}

// exchange queues the response to one request and writes it to the caller. It
// implements forward.Reply. mu guards parts, queuedBytes, reserved and overflow. Only the
// lock of the budget is taken under it.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	id     model.RequestID
	wake   chan struct{} // buffered for one signal: parts are queued
	begun  bool          // the head was written; used only by run

	mu          sync.Mutex
	parts       []responsePart
	queuedBytes int    // bytes of raw in parts
	reserved    int64  // bytes of the budget for parts that are queued or being written
	overflow    string // why the queue is cut; further parts are dropped; empty means it is not
}

func newExchange(s *Server, w http.ResponseWriter, id model.RequestID) *exchange {
	return &exchange{server: s, w: w, id: id, wake: make(chan struct{}, 1)}
}

// Answer implements forward.Reply.
func (x *exchange) Answer(a forward.Answer) {
	x.push(responsePart{head: &responseHead{a.Status, a.Header, len(a.Body)}, raw: a.Body, memory: int64(cap(a.Body)), end: true})
}

// Begin implements forward.Reply.
func (x *exchange) Begin(status int, header forward.Header) {
	x.push(responsePart{head: &responseHead{status, header, -1}})
}

// Events implements forward.Reply.
func (x *exchange) Events(raw []byte) { x.push(responsePart{raw: raw, memory: int64(len(raw))}) }

// End implements forward.Reply.
func (x *exchange) End() { x.push(responsePart{end: true}) }

// Abort implements forward.Reply.
func (x *exchange) Abort() { x.push(responsePart{end: true, abort: true}) }

// Refuse implements forward.Reply.
func (x *exchange) Refuse(r *model.Refusal) { x.push(responsePart{refusal: r, end: true}) }

func (x *exchange) push(s responsePart) {
	x.mu.Lock()
	if x.overflow != "" {
		x.mu.Unlock()
		return
	}
	switch {
	case !x.server.opts.Limits.Budget.ReserveAnswer(s.memory, x.reserved):
		x.overflow = causeNoMemory
	case x.queuedBytes+len(s.raw) > maxQueuedBytes && !s.end:
		x.overflow = causeSlowCaller
		x.server.opts.Limits.Budget.Release(callerlimit.Answer, s.memory)
	default:
		x.parts = append(x.parts, s)
		x.queuedBytes += len(s.raw)
		x.reserved += s.memory
	}
	cause := x.overflow
	if cause != "" {
		x.parts = append(x.parts, abortPart(cause))
	}
	x.mu.Unlock()
	if cause == causeNoMemory {
		x.server.opts.Limits.Count("callers", callerlimit.CauseAnswer)
	}
	if cause != "" {
		// Ends a write that waits for the caller. Without support for deadlines, run
		// aborts the response after that write.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now())
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// release gives back the memory of a part that was written.
func (x *exchange) release(memory int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reserved -= memory
	x.server.opts.Limits.Budget.Release(callerlimit.Answer, memory)
}

// close gives back the memory of the parts that are not written. Parts that are pushed
// later are dropped.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.server.opts.Limits.Budget.Release(callerlimit.Answer, x.reserved)
	x.reserved, x.parts = 0, nil
	if x.overflow == "" {
		x.overflow = causeEnded
	}
}

func (x *exchange) take() []responsePart {
	x.mu.Lock()
	defer x.mu.Unlock()
	parts := x.parts
	x.parts, x.queuedBytes = nil, 0
	return parts
}

// run writes the queued parts until the end of the response. It reports false
// if the caller disconnected before.
func (x *exchange) run(r *http.Request) bool {
	defer x.close()
	for {
		select {
		case <-x.wake:
		case <-r.Context().Done():
			return false
		}
		for _, s := range x.take() {
			s = x.inSequence(s)
			if !x.write(s) {
				x.logOverflow()
				return false
			}
			x.release(s.memory)
			if s.cause != "" {
				x.server.logCut(x.id, s.cause)
			}
			if s.abort {
				abortResponse(r)
			}
			if s.end {
				return true
			}
		}
		if err := http.NewResponseController(x.w).Flush(); err != nil {
			x.logOverflow()
			return false
		}
	}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// abortResponse ends the handler and closes the connection without the end of the body. The
// response to an HTTP/1.0 request ends with its connection, so that connection is reset.
func abortResponse(r *http.Request) {
	conn, found := r.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if found && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // a connection that fails is not taken for complete either
	}
	panic(http.ErrAbortHandler)
}

// logOverflow logs the cut after a failed write, if the overflow of the queue ended it.
func (x *exchange) logOverflow() {
	x.mu.Lock()
	cause := x.overflow
	x.mu.Unlock()
	if cause != "" {
		x.server.logCut(x.id, cause)
	}
}

// inSequence returns the part, or an abort if the part does not continue what was
// written: a response has one head, which precedes everything else.
func (x *exchange) inSequence(p responsePart) responsePart {
	switch {
	case p.abort:
		return p
	case p.hasHead() && x.begun:
		return abortPart(causeSecondHead)
	case !p.hasHead() && !x.begun:
		return abortPart(causeNoHead)
	}
	x.begun = true
	return p
}

// write writes one part of the response. It reports false if the caller has
// disconnected.
func (x *exchange) write(s responsePart) bool {
	if s.refusal != nil {
		x.server.refuse(x.w, x.id, s.refusal)
		return true
	}
	if s.head != nil {
		maps.Copy(x.w.Header(), s.head.header)
		if s.head.length >= 0 {
			x.w.Header().Set("Content-Length", strconv.Itoa(s.head.length))
		}
		x.w.WriteHeader(s.head.status)
	}
	if len(s.raw) == 0 {
		return true
	}
	_, err := x.w.Write(s.raw)
	return err == nil
}

// logCut logs that a caller did not get the whole response, for a cause that package
// forward does not know of.
func (s *Server) logCut(id model.RequestID, cause string) {
	s.cut.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
	s.opts.Log.WithField("request_id", string(id)).WithField("cause", cause).Warn("response cut")
}

// refuse logs a refusal and sends it to the caller.
func (s *Server) refuse(w http.ResponseWriter, id model.RequestID, refusal *model.Refusal) {
	s.opts.Log.WithField("request_id", string(id)).WithField("code", refusal.Code).Info("request refused")
	if err := problem.Write(w, id, refusal); err != nil {
		s.opts.Log.WithField("request_id", string(id)).WithError(err).Debug("refusal not delivered")
	}
}
