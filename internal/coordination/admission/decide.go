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

// enter admits, queues or refuses a request. The request waits if no decision
// for it is returned.
func enter(s *organisation.State, req Request, onDecision func(*model.Refusal), capacity int, now time.Time) []decision {
	w := organisation.Waiting{
		Request: req.ID, Organisation: req.Organisation, Priority: req.Priority,
		Deadline: req.Deadline, OnDecision: onDecision,
	}
	if place, ok := s.Requests[req.ID]; ok {
		return []decision{repeatEntry(w, place)}
	}
	if req.Priority == model.PriorityResume {
		return []decision{grantSlot(s, req.Serves, w, now)}
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return []decision{{request: req.ID, onDecision: onDecision, refusal: refuseDeadline()}}
	}
	q := s.Queue(req.Serves)
	enqueue(&q.Classes[req.Priority], w)
	s.Requests[req.ID] = organisation.RequestState{Serves: req.Serves, Organisation: req.Organisation, Priority: req.Priority}
	decisions := admitWaiting(s, req.Serves, capacity, now)
	decisions = append(decisions, enforceQueueLimit(s, q, w, capacity)...)
	return append(decisions, refuseIfLate(s, q, req, capacity, now)...)
}

// repeatEntry decides on a request that has entered before. An admitted one
// keeps its slot; the repeat of a waiting one is refused as a duplicate.
func repeatEntry(w organisation.Waiting, place organisation.RequestState) decision {
	if place.Admitted {
		return decision{request: w.Request, onDecision: w.OnDecision}
	}
	return decision{request: w.Request, onDecision: w.OnDecision, refusal: &model.Refusal{
		Code: CodeDuplicate, Message: "the request already waits for admission", Outcome: model.OutcomeNotRun,
	}}
}

// grantSlot admits the request and counts it as in flight.
func grantSlot(s *organisation.State, serves string, w organisation.Waiting, now time.Time) decision {
	s.Queue(serves).InFlight++
	s.AddInFlight(w.Organisation, 1)
	s.Requests[w.Request] = organisation.RequestState{
		Serves: serves, Organisation: w.Organisation, Priority: w.Priority, Admitted: true, Since: now,
	}
	return decision{request: w.Request, onDecision: w.OnDecision}
}

// admitWaiting admits waiting requests while the model has free slots,
// interactive requests before batch.
func admitWaiting(s *organisation.State, serves string, capacity int, now time.Time) []decision {
	q, ok := s.Queues[serves]
	if !ok {
		return nil
	}
	var decisions []decision
	for q.InFlight < capacity {
		w, ok := dequeueByPriority(s, q)
		if !ok {
			break
		}
		decisions = append(decisions, grantSlot(s, serves, w, now))
	}
	return decisions
}

// dequeueByPriority removes and returns the next request of the highest
// priority in which one may run.
func dequeueByPriority(s *organisation.State, q *organisation.Queue) (organisation.Waiting, bool) {
	for i := range q.Classes {
		if w, ok := dequeueNext(&q.Classes[i], s.Weight, s.MayRun); ok {
			return w, true
		}
	}
	return organisation.Waiting{}, false
}

// enforceQueueLimit refuses one request if the queue is longer than its limit
// after w entered.
func enforceQueueLimit(s *organisation.State, q *organisation.Queue, w organisation.Waiting, capacity int) []decision {
	limit := q.MaxQueue
	if limit <= 0 {
		limit = defaultMaxQueue
	}
	if q.Len() <= limit {
		return nil
	}
	wait, _ := drainTime(q, q.Len(), capacity)
	return refuseWaiting(s, victim(q, w, s.Weight).Request, refuseOverloaded(wait))
}

// refuseIfLate refuses the request if it still waits and its deadline is
// earlier than the estimated time of its admission.
func refuseIfLate(s *organisation.State, q *organisation.Queue, req Request, capacity int, now time.Time) []decision {
	place, ok := s.Requests[req.ID]
	if !ok || place.Admitted || req.Deadline.IsZero() {
		return nil
	}
	n := countAhead(&q.Classes[req.Priority], req.Organisation, s.Weight)
	for p := model.PriorityResume; p < req.Priority; p++ {
		n += q.Classes[p].Len()
	}
	wait, known := drainTime(q, n, capacity)
	if !known || !now.Add(wait).After(req.Deadline) {
		return nil
	}
	return refuseWaiting(s, req.ID, refuseLongWait(wait))
}

// drainTime estimates how long the model takes to free n slots. The drain rate
// is the capacity divided by the hold time. Unlike a rate of requests that
// ended, this rate does not fall when the model is idle. The result is false
// while the rate is unknown or zero.
func drainTime(q *organisation.Queue, n, capacity int) (time.Duration, bool) {
	if q.HoldTime == 0 || capacity <= 0 {
		return 0, false
	}
	return time.Duration(float64(n) * float64(q.HoldTime) / float64(capacity)), true
}

// refuseWaiting removes a request from its queue and refuses it. It does nothing
// if the request no longer waits.
func refuseWaiting(s *organisation.State, id model.RequestID, refusal *model.Refusal) []decision {
	place, ok := s.Requests[id]
	if !ok || place.Admitted {
		return nil
	}
	delete(s.Requests, id)
	w, ok := removeWaiting(&s.Queue(place.Serves).Classes[place.Priority], id)
	if !ok {
		return nil
	}
	return []decision{{request: id, onDecision: w.OnDecision, refusal: refusal}}
}

// leave ends a request and returns the models for which other requests may now
// be admitted.
func leave(s *organisation.State, id model.RequestID, now time.Time) ([]decision, []string) {
	place, ok := s.Requests[id]
	if !ok {
		return nil, nil
	}
	if !place.Admitted {
		return refuseWaiting(s, id, refuseCancelled()), []string{place.Serves}
	}
	delete(s.Requests, id)
	s.AddInFlight(place.Organisation, -1)
	q := s.Queue(place.Serves)
	q.InFlight--
	q.HoldTime = smoothHold(q.HoldTime, now.Sub(place.Since))
	return nil, unblockedModels(s, place)
}

// unblockedModels returns the models that may admit a request after the one at
// place ended: its own model, which has a free slot, and those in which its
// organisation has waiting requests, as they may have waited for the
// organisation's limit.
func unblockedModels(s *organisation.State, place organisation.RequestState) []string {
	unblocked := []string{place.Serves}
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

func refuseOverloaded(wait time.Duration) *model.Refusal {
	return &model.Refusal{
		Code: CodeOverloaded, Message: "the queue of the model is full",
		Outcome: model.OutcomeNotRun, RetryAfter: retryAfter(wait),
	}
}

func refuseLongWait(wait time.Duration) *model.Refusal {
	return &model.Refusal{
		Code:       CodeDeadlineUnmet,
		Message:    fmt.Sprintf("the estimated wait of %s exceeds the deadline", wait.Round(time.Millisecond)),
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfter(wait),
	}
}

func refuseDeadline() *model.Refusal {
	return &model.Refusal{
		Code: CodeDeadlineUnmet, Message: "the deadline passed before the request was admitted",
		Outcome: model.OutcomeNotRun,
	}
}

func refuseCancelled() *model.Refusal {
	return &model.Refusal{
		Code: CodeCancelled, Message: "the request left before it was admitted", Outcome: model.OutcomeNotRun,
	}
}

// retryAfter rounds the wait up to whole seconds, the unit of the Retry-After
// header, and limits it to minRetryAfter and maxRetryAfter.
func retryAfter(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, minRetryAfter), maxRetryAfter)
}
