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
	// defaultMaxQueue applies to a model that names no bound. At a hold of
	// 5 s and a capacity of 32 it drains in 10 s, which callers still wait.
	defaultMaxQueue = 64
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
	holdSmoothing   = 0.1 // weight of a new sample in the smoothed hold time
)

// enter admits, queues or refuses a request. No answer means that it waits.
func enter(s *organisation.State, req Request, admitted func(*model.Refusal), capacity int, now time.Time) []answer {
	w := organisation.Waiting{
		Request: req.ID, Organisation: req.Organisation, Priority: req.Priority,
		Deadline: req.Deadline, Admitted: admitted,
	}
	if place, ok := s.Places[req.ID]; ok {
		return []answer{again(w, place)}
	}
	if req.Priority == model.PriorityResume {
		return []answer{start(s, req.Serves, w, now)}
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return []answer{{request: req.ID, admitted: admitted, refusal: refuseDeadline()}}
	}
	q := s.Queue(req.Serves)
	push(&q.Classes[req.Priority], w)
	s.Places[req.ID] = organisation.Place{Serves: req.Serves, Organisation: req.Organisation, Priority: req.Priority}
	answers := admit(s, req.Serves, capacity, now)
	answers = append(answers, bound(s, q, w, capacity)...)
	return append(answers, meetDeadline(s, q, req, capacity, now)...)
}

// again answers a request that entered before: it keeps its slot.
func again(w organisation.Waiting, place organisation.Place) answer {
	if place.Admitted {
		return answer{request: w.Request, admitted: w.Admitted}
	}
	return answer{request: w.Request, admitted: w.Admitted, refusal: &model.Refusal{
		Code: CodeDuplicate, Message: "the request already waits for admission", Outcome: model.OutcomeNotRun,
	}}
}

// start gives the request a slot.
func start(s *organisation.State, serves string, w organisation.Waiting, now time.Time) answer {
	s.Queue(serves).InFlight++
	s.AddInFlight(w.Organisation, 1)
	s.Places[w.Request] = organisation.Place{
		Serves: serves, Organisation: w.Organisation, Priority: w.Priority, Admitted: true, Since: now,
	}
	return answer{request: w.Request, admitted: w.Admitted}
}

// admit fills the free slots, interactive requests before batch.
func admit(s *organisation.State, serves string, capacity int, now time.Time) []answer {
	q, ok := s.Queues[serves]
	if !ok {
		return nil
	}
	var answers []answer
	for q.InFlight < capacity {
		w, ok := nextOf(s, q)
		if !ok {
			break
		}
		answers = append(answers, start(s, serves, w, now))
	}
	return answers
}

func nextOf(s *organisation.State, q *organisation.Queue) (organisation.Waiting, bool) {
	for i := range q.Classes {
		if w, ok := next(&q.Classes[i], s.Weight, s.MayRun); ok {
			return w, true
		}
	}
	return organisation.Waiting{}, false
}

// bound refuses one request if the queue is too long after w entered.
func bound(s *organisation.State, q *organisation.Queue, w organisation.Waiting, capacity int) []answer {
	limit := q.MaxQueue
	if limit <= 0 {
		limit = defaultMaxQueue
	}
	if q.Len() <= limit {
		return nil
	}
	wait, _ := drainTime(q, q.Len(), capacity)
	return withdraw(s, victim(q, w, s.Weight).Request, refuseOverloaded(wait))
}

// meetDeadline refuses the request if it still waits and its deadline is
// earlier than its estimated admission.
func meetDeadline(s *organisation.State, q *organisation.Queue, req Request, capacity int, now time.Time) []answer {
	place, ok := s.Places[req.ID]
	if !ok || place.Admitted || req.Deadline.IsZero() {
		return nil
	}
	n := ahead(&q.Classes[req.Priority], req.Organisation, s.Weight)
	for p := model.PriorityResume; p < req.Priority; p++ {
		n += q.Classes[p].Len()
	}
	wait, known := drainTime(q, n, capacity)
	if !known || !now.Add(wait).After(req.Deadline) {
		return nil
	}
	return withdraw(s, req.ID, refuseWait(wait))
}

// drainTime estimates how long the model takes to free n slots: the capacity
// divided by the hold time is its drain rate. Unlike a count of departures,
// this does not fall when the model is idle.
func drainTime(q *organisation.Queue, n, capacity int) (time.Duration, bool) {
	if q.Hold == 0 || capacity <= 0 {
		return 0, false
	}
	return time.Duration(float64(n) * float64(q.Hold) / float64(capacity)), true
}

// withdraw refuses a request that still waits.
func withdraw(s *organisation.State, id model.RequestID, refusal *model.Refusal) []answer {
	place, ok := s.Places[id]
	if !ok || place.Admitted {
		return nil
	}
	delete(s.Places, id)
	w, ok := remove(&s.Queue(place.Serves).Classes[place.Priority], id)
	if !ok {
		return nil
	}
	return []answer{{request: id, admitted: w.Admitted, refusal: refusal}}
}

// leave ends a request and returns the models in which others may now run:
// its own, and those in which its organisation waits at its limit.
func leave(s *organisation.State, id model.RequestID, now time.Time) ([]answer, []string) {
	place, ok := s.Places[id]
	if !ok {
		return nil, nil
	}
	if !place.Admitted {
		return withdraw(s, id, refuseCancelled()), []string{place.Serves}
	}
	delete(s.Places, id)
	s.AddInFlight(place.Organisation, -1)
	q := s.Queue(place.Serves)
	q.InFlight--
	q.Hold = smooth(q.Hold, now.Sub(place.Since))
	return nil, waitingFor(s, place)
}

func waitingFor(s *organisation.State, place organisation.Place) []string {
	free := []string{place.Serves}
	for name, q := range s.Queues {
		if name != place.Serves && waits(q, place.Organisation) {
			free = append(free, name)
		}
	}
	return free
}

func waits(q *organisation.Queue, id model.OrganisationID) bool {
	for i := range q.Classes {
		for _, turn := range q.Classes[i].Turns {
			if turn.Organisation == id {
				return true
			}
		}
	}
	return false
}

func smooth(old, sample time.Duration) time.Duration {
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

func refuseWait(wait time.Duration) *model.Refusal {
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

// retryAfter rounds up to whole seconds, the unit of the header.
func retryAfter(wait time.Duration) time.Duration {
	seconds := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(seconds, minRetryAfter), maxRetryAfter)
}
