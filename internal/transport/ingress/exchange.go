package ingress

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxQueuedBytes bounds what waits for a caller that reads slowly. Its stream
// is cut beyond that.
const maxQueuedBytes = 1 << 20

// step is one thing to write to the caller.
type step struct {
	head   *head
	raw    []byte
	refuse *model.Refusal
	end    bool // nothing follows
	broken bool // the answer must not look complete
}

type head struct {
	status int
	header forward.Header
	length int // of the body; -1 means unknown
}

// exchange is the caller's side of one request. It implements forward.Reply.
// mu guards steps and queued; it is a leaf: nothing is called under it.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	id     model.RequestID
	wake   chan struct{} // has room for one signal

	mu     sync.Mutex
	steps  []step
	queued int // bytes in steps
}

func newExchange(s *Server, w http.ResponseWriter, id model.RequestID) *exchange {
	return &exchange{server: s, w: w, id: id, wake: make(chan struct{}, 1)}
}

// Answer implements forward.Reply.
func (x *exchange) Answer(a forward.Answer) {
	x.push(step{head: &head{a.Status, a.Header, len(a.Body)}, raw: a.Body, end: true})
}

// Begin implements forward.Reply.
func (x *exchange) Begin(status int, header forward.Header) {
	x.push(step{head: &head{status, header, -1}})
}

// Events implements forward.Reply.
func (x *exchange) Events(raw []byte) { x.push(step{raw: raw}) }

// End implements forward.Reply.
func (x *exchange) End() { x.push(step{end: true}) }

// Break implements forward.Reply.
func (x *exchange) Break() { x.push(step{end: true, broken: true}) }

// Refuse implements forward.Reply.
func (x *exchange) Refuse(r *model.Refusal) { x.push(step{refuse: r, end: true}) }

func (x *exchange) push(s step) {
	x.mu.Lock()
	x.steps = append(x.steps, s)
	x.queued += len(s.raw)
	if x.queued > maxQueuedBytes && !s.end {
		x.steps = append(x.steps, step{end: true, broken: true})
	}
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *exchange) take() []step {
	x.mu.Lock()
	defer x.mu.Unlock()
	steps := x.steps
	x.steps, x.queued = nil, 0
	return steps
}

// run writes until the end of the answer. It reports false if the caller left
// before that.
func (x *exchange) run(ctx context.Context) bool {
	for {
		select {
		case <-x.wake:
		case <-ctx.Done():
			return false
		}
		for _, s := range x.take() {
			if !x.write(s) {
				return false
			}
			if s.broken {
				panic(http.ErrAbortHandler) // resets the connection without the end of the body
			}
			if s.end {
				return true
			}
		}
		if err := http.NewResponseController(x.w).Flush(); err != nil {
			return false
		}
	}
}

// write reports false if the caller is gone.
func (x *exchange) write(s step) bool {
	if s.refuse != nil {
		x.server.refuse(x.w, x.id, s.refuse)
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

// refuse answers with a refusal.
func (s *Server) refuse(w http.ResponseWriter, id model.RequestID, refusal *model.Refusal) {
	s.opts.Log.WithField("request_id", string(id)).WithField("code", refusal.Code).Info("request refused")
	if err := problem.Write(w, id, refusal); err != nil {
		s.opts.Log.WithField("request_id", string(id)).WithError(err).Debug("refusal not delivered")
	}
}
