package admission

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// enqueue adds a request behind those of its organisation whose deadline is not later. One
// that continues a stream goes before those that do not. An
// organisation without waiting requests gets the last turn of the round.
func enqueue(c *organisation.Class, w organisation.Waiting) {
	for i := range c.Turns {
		if c.Turns[i].Organisation == w.Organisation {
			list := c.Turns[i].Waiting
			at := len(list)
			for at > 0 && goesBefore(w, list[at-1]) {
				at--
			}
			c.Turns[i].Waiting = slices.Insert(list, at, w)
			return
		}
	}
	turn := organisation.Turn{Organisation: w.Organisation, Waiting: []organisation.Waiting{w}}
	c.Turns = slices.Insert(c.Turns, c.Next, turn)
	if len(c.Turns) > 1 {
		c.Next = (c.Next + 1) % len(c.Turns)
	}
}

func goesBefore(a, b organisation.Waiting) bool {
	if a.Continues != b.Continues {
		return a.Continues
	}
	return isEarlier(a.Deadline, b.Deadline)
}

// isEarlier reports whether the first deadline is earlier; zero means none.
func isEarlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// dequeueNext removes and returns the request to run next, by deficit
// round-robin: each request costs 1 and each turn is worth the organisation's
// weight. An organisation of which no request may run loses its turn.
func dequeueNext(c *organisation.Class, weight func(model.OrganisationID) int, mayRun func(organisation.Waiting) bool, now time.Time) (organisation.Waiting, bool) {
	for range len(c.Turns) {
		turn := &c.Turns[c.Next]
		next := nextInTurn(turn, mayRun, now)
		if next < 0 {
			turn.Deficit = 0
			c.Next = (c.Next + 1) % len(c.Turns)
			continue
		}
		if turn.Deficit == 0 {
			turn.Deficit = weight(turn.Organisation)
		}
		return take(c, next), true
	}
	return organisation.Waiting{}, false
}

// meetsObjective reports whether the request meets its objective if it starts now. The
// objective of a stream's first event does not concern one that continues.
func meetsObjective(w organisation.Waiting, now time.Time) bool {
	return w.Continues || w.Objective.IsZero() || !now.After(w.Objective)
}

// nextInTurn returns the position of the request that runs next in the turn: of those that
// may run and can still meet their objective the one of the earliest deadline, else the
// one of the earliest deadline of those that may run. Requests that are late in any case
// would otherwise make each later one late too. It is negative if none may run.
func nextInTurn(turn *organisation.Turn, mayRun func(organisation.Waiting) bool, now time.Time) int {
	late := -1
	for i, w := range turn.Waiting {
		inTime := meetsObjective(w, now)
		if (!inTime && late >= 0) || !mayRun(w) {
			continue
		}
		if inTime {
			return i
		}
		late = i
	}
	return late
}

// take removes the request at the position of the current turn.
func take(c *organisation.Class, position int) organisation.Waiting {
	turn := &c.Turns[c.Next]
	w := turn.Waiting[position]
	turn.Waiting = slices.Delete(turn.Waiting, position, position+1)
	turn.Deficit--
	switch {
	case len(turn.Waiting) == 0:
		removeTurn(c, c.Next)
	case turn.Deficit == 0:
		c.Next = (c.Next + 1) % len(c.Turns)
	}
	return w
}

// removeTurn removes a turn and keeps Next on the same organisation.
func removeTurn(c *organisation.Class, i int) {
	c.Turns = slices.Delete(c.Turns, i, i+1)
	if i < c.Next {
		c.Next--
	}
	if c.Next >= len(c.Turns) {
		c.Next = 0
	}
}

// removeWaiting removes one waiting request from the class.
func removeWaiting(c *organisation.Class, id model.RequestID) (organisation.Waiting, bool) {
	for i := range c.Turns {
		turn := &c.Turns[i]
		index := slices.IndexFunc(turn.Waiting, func(w organisation.Waiting) bool { return w.Request == id })
		if index < 0 {
			continue
		}
		w := turn.Waiting[index]
		turn.Waiting = slices.Delete(turn.Waiting, index, index+1)
		if len(turn.Waiting) == 0 {
			removeTurn(c, i)
		}
		return w, true
	}
	return organisation.Waiting{}, false
}

// countAhead returns how many requests of the class run until the waiting request has
// started, itself included. It counts the rounds until its organisation's turn for it, each
// with what the organisations take of it by their weights.
func countAhead(c *organisation.Class, w organisation.Waiting, weight func(model.OrganisationID) int, now time.Time) int {
	rounds := 0
	for _, turn := range c.Turns {
		if turn.Organisation == w.Organisation {
			rounds = positionInTurn(turn, w, now)/weight(turn.Organisation) + 1
		}
	}
	n := 0
	for _, turn := range c.Turns {
		n += min(len(turn.Waiting), rounds*weight(turn.Organisation))
	}
	return n
}

// positionInTurn returns how many requests of the turn run before the given one of it.
func positionInTurn(turn organisation.Turn, w organisation.Waiting, now time.Time) int {
	n, passed, inTime := 0, false, meetsObjective(w, now)
	for _, o := range turn.Waiting {
		passed = passed || o.Request == w.Request
		switch other := meetsObjective(o, now); {
		case other && !inTime, other == inTime && !passed:
			n++
		}
	}
	return n
}

// victim returns the request to refuse when the queue is full, and false if there is none.
// Requests of classes less urgent than the entering one go first, the least urgent class
// before others. In a class that is the latest request of the organisation with
// the most waiting requests for its weight. A class that is owed service keeps its last
// request, so that it gets the service. Otherwise the entering request itself is refused,
// unless another organisation has strictly more waiting requests and one that is not more
// urgent. Resumed streams are never refused: their callers have a part of the answer.
func victim(q *organisation.Queue, entering organisation.Waiting, weight func(model.OrganisationID) int, now time.Time) (organisation.Waiting, bool) {
	waiting := map[model.OrganisationID]int{}
	for p := model.PriorityInteractive; p <= model.PriorityLowest; p++ {
		for _, turn := range q.Classes[p].Turns {
			waiting[turn.Organisation] += len(turn.Waiting)
		}
	}
	hasMore := func(a, b model.OrganisationID) int { return waiting[a]*weight(b) - waiting[b]*weight(a) }
	for p := model.PriorityLowest; p > entering.Priority; p-- {
		turns := q.Classes[p].Turns
		if len(turns) == 0 || (q.Classes[p].Len() == 1 && isOwed(q, p, now)) {
			continue
		}
		most := 0
		for i := range turns {
			diff := hasMore(turns[i].Organisation, turns[most].Organisation)
			if diff > 0 || (diff == 0 && turns[i].Organisation < turns[most].Organisation) {
				most = i
			}
		}
		return turns[most].Waiting[len(turns[most].Waiting)-1], true
	}
	if entering.Priority == model.PriorityResume {
		return organisation.Waiting{}, false
	}
	most := entering.Organisation
	for org := range waiting {
		diff := hasMore(org, most)
		if diff > 0 || (diff == 0 && most != entering.Organisation && org < most) {
			most = org
		}
	}
	if most == entering.Organisation {
		return entering, true
	}
	return latestEvictable(q, most, entering), true
}

// latestEvictable returns the last request of the organisation's turn, which is the one of
// the latest deadline, in the lowest priority in which it has waiting requests. If that
// priority is higher than the entering request's, it returns the entering request.
func latestEvictable(q *organisation.Queue, org model.OrganisationID, entering organisation.Waiting) organisation.Waiting {
	for p := model.PriorityLowest; p >= entering.Priority; p-- {
		for _, turn := range q.Classes[p].Turns {
			if turn.Organisation == org {
				return turn.Waiting[len(turn.Waiting)-1]
			}
		}
	}
	return entering
}
