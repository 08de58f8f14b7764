package admission

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// enqueue adds a request behind the others of its organisation. An organisation
// without waiting requests gets the last turn of the round.
func enqueue(c *organisation.Class, w organisation.Waiting) {
	for i := range c.Turns {
		if c.Turns[i].Organisation == w.Organisation {
			c.Turns[i].Waiting = append(c.Turns[i].Waiting, w)
			return
		}
	}
	turn := organisation.Turn{Organisation: w.Organisation, Waiting: []organisation.Waiting{w}}
	c.Turns = slices.Insert(c.Turns, c.Next, turn)
	if len(c.Turns) > 1 {
		c.Next = (c.Next + 1) % len(c.Turns)
	}
}

// dequeueNext removes and returns the request to run next, by deficit
// round-robin: each request costs 1 and each turn is worth the organisation's
// weight. An organisation at its limit loses its turn.
func dequeueNext(c *organisation.Class, weight func(model.OrganisationID) int, mayRun func(model.OrganisationID) bool) (organisation.Waiting, bool) {
	for range len(c.Turns) {
		turn := &c.Turns[c.Next]
		if !mayRun(turn.Organisation) {
			turn.Deficit = 0
			c.Next = (c.Next + 1) % len(c.Turns)
			continue
		}
		if turn.Deficit == 0 {
			turn.Deficit = weight(turn.Organisation)
		}
		return takeFirst(c), true
	}
	return organisation.Waiting{}, false
}

// takeFirst removes the first request of the current turn.
func takeFirst(c *organisation.Class) organisation.Waiting {
	turn := &c.Turns[c.Next]
	w := turn.Waiting[0]
	turn.Waiting = slices.Delete(turn.Waiting, 0, 1)
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

// countAhead returns how many requests of the class run until the last waiting
// request of the organisation has started, that request included. It counts the
// rounds in which the organisation's requests get their turns, each with the
// weights of all organisations, and is at most the length of the class.
func countAhead(c *organisation.Class, org model.OrganisationID, weight func(model.OrganisationID) int) int {
	ownWaiting, roundLength := 0, 0
	for _, turn := range c.Turns {
		roundLength += weight(turn.Organisation)
		if turn.Organisation == org {
			ownWaiting = len(turn.Waiting)
		}
	}
	rounds := (ownWaiting + weight(org) - 1) / weight(org)
	return min(c.Len(), rounds*roundLength)
}

// victim returns the request to refuse when the queue is full: the newest
// request of the organisation with the most waiting requests for its weight,
// batch first. The entering request itself is refused unless another
// organisation has strictly more, and it never displaces a request of a higher
// priority.
func victim(q *organisation.Queue, entering organisation.Waiting, weight func(model.OrganisationID) int) organisation.Waiting {
	waiting := map[model.OrganisationID]int{}
	for i := range q.Classes {
		for _, turn := range q.Classes[i].Turns {
			waiting[turn.Organisation] += len(turn.Waiting)
		}
	}
	most := entering.Organisation
	for org, n := range waiting {
		diff := n*weight(most) - waiting[most]*weight(org)
		if diff > 0 || (diff == 0 && most != entering.Organisation && org < most) {
			most = org
		}
	}
	if most == entering.Organisation {
		return entering
	}
	return newestEvictable(q, most, entering)
}

// newestEvictable returns the newest request of the organisation in the lowest
// priority in which it has waiting requests. If that priority is higher than the
// entering request's, newestEvictable returns the entering request.
func newestEvictable(q *organisation.Queue, org model.OrganisationID, entering organisation.Waiting) organisation.Waiting {
	for p := model.PriorityBatch; p >= entering.Priority; p-- {
		for _, turn := range q.Classes[p].Turns {
			if turn.Organisation == org {
				return turn.Waiting[len(turn.Waiting)-1]
			}
		}
	}
	return entering
}
