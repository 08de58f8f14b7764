package admission

import (
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// push adds a request behind the others of its organisation. An organisation
// that had none waiting gets the last turn of the round.
func push(c *organisation.Class, w organisation.Waiting) {
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

// next removes and returns the request that is to run next: deficit
// round-robin in which each request costs 1 and each turn is worth the
// organisation's weight. An organisation at its limit misses its turn.
func next(c *organisation.Class, weight func(model.OrganisationID) int, mayRun func(model.OrganisationID) bool) (organisation.Waiting, bool) {
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
		return take(c), true
	}
	return organisation.Waiting{}, false
}

// take removes the first request of the current turn.
func take(c *organisation.Class) organisation.Waiting {
	turn := &c.Turns[c.Next]
	w := turn.Waiting[0]
	turn.Waiting = slices.Delete(turn.Waiting, 0, 1)
	turn.Deficit--
	switch {
	case len(turn.Waiting) == 0:
		dropTurn(c, c.Next)
	case turn.Deficit == 0:
		c.Next = (c.Next + 1) % len(c.Turns)
	}
	return w
}

// dropTurn removes a turn and keeps Next on the same organisation.
func dropTurn(c *organisation.Class, i int) {
	c.Turns = slices.Delete(c.Turns, i, i+1)
	if i < c.Next {
		c.Next--
	}
	if c.Next >= len(c.Turns) {
		c.Next = 0
	}
}

// remove takes one waiting request out of the class.
func remove(c *organisation.Class, id model.RequestID) (organisation.Waiting, bool) {
	for i := range c.Turns {
		turn := &c.Turns[i]
		at := slices.IndexFunc(turn.Waiting, func(w organisation.Waiting) bool { return w.Request == id })
		if at < 0 {
			continue
		}
		w := turn.Waiting[at]
		turn.Waiting = slices.Delete(turn.Waiting, at, at+1)
		if len(turn.Waiting) == 0 {
			dropTurn(c, i)
		}
		return w, true
	}
	return organisation.Waiting{}, false
}

// ahead returns how many requests run before the organisation's last waiting
// one, itself included: its own at the rate of its share, and no more than
// all that wait in the class.
func ahead(c *organisation.Class, org model.OrganisationID, weight func(model.OrganisationID) int) int {
	own, weights := 0, 0
	for _, turn := range c.Turns {
		weights += weight(turn.Organisation)
		if turn.Organisation == org {
			own = len(turn.Waiting)
		}
	}
	rounds := (own + weight(org) - 1) / weight(org)
	return min(c.Len(), rounds*weights)
}

// victim names the request that gives way in a full queue: the newest of the
// organisation that has the most waiting for its weight, batch first. The
// entering request gives way itself unless another organisation has strictly
// more, and it displaces none of a higher priority.
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
	return newest(q, most, entering)
}

// newest returns the organisation's newest request whose priority is not
// higher than that of the entering request, or the entering request.
func newest(q *organisation.Queue, org model.OrganisationID, entering organisation.Waiting) organisation.Waiting {
	for p := model.PriorityBatch; p >= entering.Priority; p-- {
		for _, turn := range q.Classes[p].Turns {
			if turn.Organisation == org {
				return turn.Waiting[len(turn.Waiting)-1]
			}
		}
	}
	return entering
}
