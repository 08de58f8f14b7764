package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// Codes of refusals.
const (
	CodeOverloaded    = "overloaded"
	CodeDeadlineUnmet = "deadline_unmet"
	CodeCancelled     = "cancelled"
	CodeDuplicate     = "duplicate_request"
)

const (
	// defaultMaxQueue is the queue length of a model without a MaxQueue. With a
	// hold time of 5 s and a capacity of 32, a queue of 64 drains in 10 s, a
	// wait that callers accept.
	defaultMaxQueue = 64
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
	holdSmoothing   = 0.1 // weight of a new sample in the moving average of the hold time
)

// limits are the bounds of the queues and the form of Retry-After.
type limits struct {
	maxQueue     int
	maxBytes     int
	pacedReturns bool
}

func waitingOf(req Request, onDecision func(*model.Refusal), now time.Time) organisation.Waiting {
	return organisation.Waiting{
		Request: req.ID, Organisation: req.Organisation, Priority: req.Priority,
		Deadline: req.Deadline, Objective: req.Objective, CallerDeadline: req.CallerDeadline, Entered: now, Bytes: req.Bytes,
		MemoryTokens: req.MemoryTokens, CallerID: req.CallerID, Continues: req.Continues, Again: req.Again, OnDecision: onDecision,
	}
}

// enter admits, queues or refuses a request. The request waits if no decision
// for it is returned.
func (l limits) enter(s *organisation.State, req Request, onDecision func(*model.Refusal), p Supply, now time.Time) []decision {
	w := waitingOf(req, onDecision, now)
	if place, ok := s.Requests[req.ID]; ok {
		return []decision{repeatEntry(w, place, now)}
	}
	q := s.Queue(req.Serves)
	if !req.Again {
		countEntered(q, req.Priority, now)
	}
	if req.Priority == model.PriorityResume && q.Classes[model.PriorityResume].Len() == 0 && p.fits(req.MemoryTokens) {
		p.reserve(req.MemoryTokens)
		return []decision{grantSlot(s, req.Serves, w, now)}
	}
	end := req.AnswerDeadline
	if end.IsZero() {
		end = req.Deadline
	}
	if hasPassed(end, now) {
		return []decision{{request: req.ID, onDecision: onDecision, refusal: l.refuseDeadline(q, w, p, now), waiting: w, at: now}}
	}
	enqueue(&q.Classes[req.Priority], w)
	s.WaitingBytes += w.Bytes
	s.Requests[req.ID] = organisation.RequestState{Serves: req.Serves, Organisation: req.Organisation, Priority: req.Priority, Deadline: req.Deadline}
	decisions := admitWaiting(s, req.Serves, p, now)
	if hasPassed(req.Deadline, now) { // it may start if there is room, but not wait
		decisions = append(decisions, refuseWaiting(s, req.ID, l.refuseDeadline(q, w, p, now), now)...)
	}
	decisions = append(decisions, l.enforceQueueLimit(s, q, w, p, now)...)
	return append(decisions, l.refuseIfLate(s, q, w, p, now)...)
}

// hasPassed reports whether the time has come; zero means that there is none.
func hasPassed(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// expire refuses a request that still waits at its deadline. The deadline may have passed for
// an earlier entry of the request only.
func (l limits) expire(s *organisation.State, req Request, p Supply, now time.Time) []decision {
	place, ok := s.Requests[req.ID]
	if !ok || place.Admitted || place.Deadline.IsZero() || now.Before(place.Deadline) {
		return nil
	}
	q := s.Queue(req.Serves)
	return refuseWaiting(s, req.ID, l.refuseDeadline(q, waitingOf(req, nil, now), p, now), now)
}

// repeatEntry decides on a request that has entered before. An admitted one
// keeps its slot; the repeat of a waiting one is refused as a duplicate.
func repeatEntry(w organisation.Waiting, place organisation.RequestState, now time.Time) decision {
	if place.Admitted {
		return decision{request: w.Request, onDecision: w.OnDecision, waiting: w, at: now}
	}
	return decision{request: w.Request, onDecision: w.OnDecision, waiting: w, at: now, refusal: &model.Refusal{
		Code: CodeDuplicate, Message: "the request already waits for admission", Outcome: model.OutcomeNotRun,
	}}
}

// grantSlot admits the request and counts it as in flight.
func grantSlot(s *organisation.State, serves string, w organisation.Waiting, now time.Time) decision {
	q := s.Queue(serves)
	q.InFlight++
	if !w.Again {
		countAdmitted(q, w.Priority, now)
	}
	s.AddInFlight(w.Organisation, 1)
	s.Requests[w.Request] = organisation.RequestState{
		Serves: serves, Organisation: w.Organisation, Priority: w.Priority, Admitted: true, Since: now,
	}
	return decision{request: w.Request, onDecision: w.OnDecision, waiting: w, at: now}
}

// admitWaiting admits waiting requests while the service has room, more urgent ones
// before others.
func admitWaiting(s *organisation.State, serves string, p Supply, now time.Time) []decision {
	q, ok := s.Queues[serves]
	if !ok {
		return nil
	}
	var decisions []decision
	admit := func(dequeue func(*organisation.State, *organisation.Queue, Supply, time.Time) (organisation.Waiting, bool)) {
		for {
			w, ok := dequeue(s, q, p, now)
			if !ok {
				return
			}
			s.WaitingBytes -= w.Bytes
			p.reserve(w.MemoryTokens)
			decisions = append(decisions, grantSlot(s, serves, w, now))
		}
	}
	admit(dequeueResumed)
	release := p.reserveForLargest(s, q, now)
	admit(dequeueByPriority)
	release()
	return decisions
}

// dequeueResumed removes and returns the next resumed stream that may run.
func dequeueResumed(s *organisation.State, q *organisation.Queue, p Supply, now time.Time) (organisation.Waiting, bool) {
	mayRun := func(w organisation.Waiting) bool { return p.mayStart(q, w, now) }
	return dequeueNext(&q.Classes[model.PriorityResume], s.Weight, mayRun, now)
}

// dequeueByPriority removes and returns the next new request of the highest priority in which
// one may run. A class that has had less than its guaranteed share goes first.
func dequeueByPriority(s *organisation.State, q *organisation.Queue, p Supply, now time.Time) (organisation.Waiting, bool) {
	mayRun := func(w organisation.Waiting) bool {
		return s.MayRun(w.Organisation) && p.mayStart(q, w, now)
	}
	if q.InFlight >= p.limit(q, now) {
		return organisation.Waiting{}, false
	}
	for priority := model.PriorityLowest; priority > model.PriorityInteractive; priority-- {
		if isOwed(q, priority, now) {
			if w, ok := dequeueNext(&q.Classes[priority], s.Weight, mayRun, now); ok {
				return w, true
			}
		}
	}
	for priority := model.PriorityInteractive; priority <= model.PriorityLowest; priority++ {
		if w, ok := dequeueNext(&q.Classes[priority], s.Weight, mayRun, now); ok {
			return w, true
		}
	}
	return organisation.Waiting{}, false
}

// enforceQueueLimit refuses requests while the queue is longer than its limit, or the
// waiting requests of all queues take too much memory, after w entered. Resumed streams do
// not count for the length and are not refused.
func (l limits) enforceQueueLimit(s *organisation.State, q *organisation.Queue, w organisation.Waiting, p Supply, now time.Time) []decision {
	limit := q.MaxQueue
	if limit <= 0 {
		limit = l.maxQueue
	}
	if limit <= 0 {
		limit = defaultMaxQueue
	}
	var decisions []decision
	for {
		waiting := q.Len() - q.Classes[model.PriorityResume].Len()
		if waiting <= limit && (l.maxBytes <= 0 || s.WaitingBytes <= l.maxBytes || waiting == 0) {
			break
		}
		wait, _ := p.drainTime(q, q.Len())
		refused, found := victim(q, w, s.Weight, now)
		if !found {
			break
		}
		after := l.retryAfter(q, refused, wait, p.places(), now)
		decided := refuseWaiting(s, refused.Request, refuseOverloaded(after), now)
		decisions = append(decisions, decided...)
		if refused.Request == w.Request || len(decided) == 0 {
			break
		}
	}
	return decisions
}

// refuseIfLate refuses the request if it still waits and its deadline is
// earlier than the estimated time of its admission.
//
// A class that is owed service does not wait for the more urgent ones.
func (l limits) refuseIfLate(s *organisation.State, q *organisation.Queue, w organisation.Waiting, p Supply, now time.Time) []decision {
	place, ok := s.Requests[w.Request]
	if !ok || place.Admitted || w.Deadline.IsZero() || w.Priority == model.PriorityResume {
		return nil
	}
	n := countAhead(&q.Classes[w.Priority], w, s.Weight, now)
	for urgent := model.PriorityResume; urgent < w.Priority && !isOwed(q, w.Priority, now); urgent++ {
		n += q.Classes[urgent].Len()
	}
	wait, known := p.drainTime(q, n)
	if !known || !now.Add(wait).After(w.Deadline) {
		return nil
	}
	return refuseWaiting(s, w.Request, refuseLongWait(wait, l.retryAfter(q, w, wait, p.places(), now)), now)
}

// retryAfter returns the time after which the refused caller should return.
func (l limits) retryAfter(q *organisation.Queue, w organisation.Waiting, wait time.Duration, places int, now time.Time) time.Duration {
	if l.pacedReturns {
		return pacedReturn(q, w.Request, wait, places, w.CallerDeadline, now)
	}
	return wholeSeconds(wait)
}

// drainTime estimates how long the service takes to free n slots for this instance. The
// drain rate is the capacity divided by the hold time. Unlike a rate of requests that
// ended, this rate does not fall when the service is idle. The result is false
// while the rate is unknown or zero.
//
// Where slots are shared with other instances, the first one is expected after NextFree.
// The instance's own places would give far too long a wait when it has few of many.
func (p Supply) drainTime(q *organisation.Queue, n int) (time.Duration, bool) {
	interval, known := time.Duration(0), q.HoldTime > 0 && p.places() > 0
	if known {
		interval = time.Duration(float64(q.HoldTime) / float64(p.places()))
	}
	if p.NextFree <= 0 {
		return time.Duration(float64(n) * float64(interval)), known
	}
	if !known || p.NextFree < interval {
		interval = p.NextFree
	}
	return p.NextFree + time.Duration(max(n-1, 0))*interval, true
}

// refuseWaiting removes a request from its queue and refuses it. It does nothing
// if the request no longer waits.
func refuseWaiting(s *organisation.State, id model.RequestID, refusal *model.Refusal, now time.Time) []decision {
	place, ok := s.Requests[id]
	if !ok || place.Admitted {
		return nil
	}
	delete(s.Requests, id)
	w, ok := removeWaiting(&s.Queue(place.Serves).Classes[place.Priority], id)
	if !ok {
		return nil
	}
	s.WaitingBytes -= w.Bytes
	return []decision{{request: id, onDecision: w.OnDecision, refusal: refusal, waiting: w, at: now}}
}

// leave ends a request and returns the models for which other requests may now
// be admitted. ran says that the request held its place for as long as it takes to run.
func leave(s *organisation.State, id model.RequestID, ran bool, now time.Time) ([]decision, []string) {
	place, ok := s.Requests[id]
	if !ok {
		return nil, nil
	}
	if !place.Admitted {
		return refuseWaiting(s, id, refuseCancelled(), now), []string{place.Serves}
	}
	delete(s.Requests, id)
	s.AddInFlight(place.Organisation, -1)
	q := s.Queue(place.Serves)
	q.InFlight--
	if ran {
		q.HoldTime = smoothHold(q.HoldTime, now.Sub(place.Since))
		raiseLimit(q, now)
	}
	return nil, unblockedModels(s, place)
}

// unblockedModels returns the models that may admit a request after the one at
// place ended: its own model, which has a free slot, and those in which its
// organisation has waiting requests, as they may have waited for the
// organisation's limit.
func unblockedModels(s *organisation.State, place organisation.RequestState) []string {
	var unblocked []string
	if s.Queue(place.Serves).Len() > 0 {
		unblocked = append(unblocked, place.Serves)
	}
	for name, q := range s.Queues {
		if name != place.Serves && hasWaiting(q, place.Organisation) {
			unblocked = append(unblocked, name)
		}
	}
	return unblocked
}

func hasWaiting(q *organisation.Queue, id model.OrganisationID) bool {
	for i := range q.Classes {
		for _, turn := range q.Classes[i].Turns {
			if turn.Organisation == id {
				return true
			}
		}
	}
	return false
}

// smoothHold returns the exponential moving average of the hold time after a
// new sample.
func smoothHold(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(holdSmoothing*float64(sample-old))
}

func refuseOverloaded(retryAfter time.Duration) *model.Refusal {
	return &model.Refusal{
		Code: CodeOverloaded, Message: "the queue of the service is full",
		Outcome: model.OutcomeNotRun, RetryAfter: retryAfter,
	}
}

func refuseLongWait(wait, retryAfter time.Duration) *model.Refusal {
	return &model.Refusal{
		Code:       CodeDeadlineUnmet,
		Message:    fmt.Sprintf("the estimated wait of %s exceeds the deadline", wait.Round(time.Millisecond)),
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

// refuseDeadline refuses a request whose latest time of admission has passed. Only a caller
// that waits longer than that is told when to return.
func (l limits) refuseDeadline(q *organisation.Queue, w organisation.Waiting, p Supply, now time.Time) *model.Refusal {
	refusal := &model.Refusal{
		Code: CodeDeadlineUnmet, Message: "the deadline passed before the request was admitted",
		Outcome: model.OutcomeNotRun,
	}
	if l.pacedReturns {
		wait, _ := p.drainTime(q, q.Len())
		refusal.RetryAfter = l.retryAfter(q, w, wait, p.places(), now)
	}
	return refusal
}

func refuseCancelled() *model.Refusal {
	return &model.Refusal{
		Code: CodeCancelled, Message: "the request left before it was admitted", Outcome: model.OutcomeNotRun,
	}
}

// wholeSeconds rounds the wait up to whole seconds, the unit of the Retry-After
// header, and limits it to minRetryAfter and maxRetryAfter.
func wholeSeconds(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, minRetryAfter), maxRetryAfter)
}
