package forward

import (
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// runningRequests holds the requests that have no final answer yet. mu is a leaf lock:
// no other lock is taken while it is held.
type runningRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
	ending   bool // EndAll was called
}

func (s *runningRequests) add(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[*activeRequest]struct{}{}
	}
	s.requests[r] = struct{}{}
}

func (s *runningRequests) remove(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, r)
}

func (s *runningRequests) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *runningRequests) areEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// end marks all requests as ending, also those that follow, and returns them.
func (s *runningRequests) end() []*activeRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	list := make([]*activeRequest, 0, len(s.requests))
	for r := range s.requests {
		list = append(list, r)
	}
	return list
}

// Running returns the number of requests that have no final answer yet.
func (m *Manager) Running() int { return m.running.count() }

// EndAll gives all running requests their final answers, because the instance stops
// before they could end by themselves. Streams that have begun are aborted. Requests
// that arrive later are refused.
func (m *Manager) EndAll() {
	for _, r := range m.running.end() {
		m.opts.Pool.Post(r.key, worker.Func(r.handleStop))
	}
}

// handleStop ends a request that the stop of the instance would cut.
func (r *activeRequest) handleStop() {
	if r.ended {
		return
	}
	r.endUnanswered(RefuseLeaving, refuseUnknown("this instance stops before its answer"))
}

// leavingRetryAfter is short because callers can use another instance at once.
const leavingRetryAfter = 10 * time.Millisecond

// RefuseLeaving returns the refusal of a request that has not run and might not end
// before this instance stops.
func RefuseLeaving() *model.Refusal {
	return &model.Refusal{
		Code:       codeLeaving,
		Message:    "This instance stops soon; use another one.",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: leavingRetryAfter,
	}
}
