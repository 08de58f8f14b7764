package admission

import (
	"math"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
)

// Unlimited is the number of slots of a service of which nothing is known to be full.
const Unlimited = math.MaxInt

// Engines is the memory of a service's engines as this instance sees it.
type Engines struct {
	// Limited is false if memory does not limit the service. The other fields are then
	// not used.
	Limited bool
	Free    []int // free tokens of each engine
	Running int   // requests that run at the engines, of all instances that are known
}

// Supply is what a service can take at the time of a decision.
type Supply struct {
	Slots int // requests that this instance may have in flight
	// Engines is their memory. Admissions subtract what they take from Free, under the lock
	// of the table, so that a supply may serve several decisions.
	Engines Engines
	// NextFree is the expected time until the next slot becomes free for this instance,
	// where slots are shared with others; zero means unknown.
	NextFree time.Duration
	Age      time.Duration // of the oldest input, for the log
}

// fits reports whether an engine has memory for the request.
func (p Supply) fits(tokens int) bool {
	return !p.Engines.Limited || slices.ContainsFunc(p.Engines.Free, func(free int) bool { return free >= tokens })
}

// reserve takes the memory of the engine with the most free memory.
func (p Supply) reserve(tokens int) {
	if !p.Engines.Limited || len(p.Engines.Free) == 0 {
		return
	}
	p.Engines.Free[p.mostFree()] -= tokens
}

// reservationWait is the time for which a request waits for memory before an engine is
// reserved for it. The first event of a stream is due within 4 to 10 s.
const reservationWait = time.Second

// reserveForLargest takes the memory of the engine with the most free memory for the most
// urgent request that has waited for reservationWait and fits no engine. Smaller requests
// would otherwise use each part of an engine that becomes free. The returned function gives
// the memory back.
func (p Supply) reserveForLargest(s *organisation.State, q *organisation.Queue, now time.Time) (release func()) {
	if !p.Engines.Limited || len(p.Engines.Free) == 0 {
		return func() {}
	}
	for i := range q.Classes {
		for _, turn := range q.Classes[i].Turns {
			for _, w := range turn.Waiting {
				if now.Sub(w.Entered) >= reservationWait && s.MayRun(w.Organisation) && !p.fits(w.MemoryTokens) {
					most := p.mostFree()
					p.Engines.Free[most] -= w.MemoryTokens
					return func() { p.Engines.Free[most] += w.MemoryTokens }
				}
			}
		}
	}
	return func() {}
}

// mostFree returns the position of the engine with the most free memory.
func (p Supply) mostFree() int {
	most := 0
	for i, free := range p.Engines.Free {
		if free > p.Engines.Free[most] {
			most = i
		}
	}
	return most
}

// mayStart reports whether the request may be in flight beside the others of the queue.
// A resumed request needs memory but no slot: its caller already has a part of the answer.
func (p Supply) mayStart(q *organisation.Queue, w organisation.Waiting, now time.Time) bool {
	return (w.Priority == model.PriorityResume || q.InFlight < p.limit(q, now)) && p.fits(w.MemoryTokens)
}

// limit returns the number of requests that may be in flight.
func (p Supply) limit(q *organisation.Queue, now time.Time) int {
	if isLimited(q, now) {
		return min(p.Slots, int(q.Limit))
	}
	return p.Slots
}

// places returns the number of places whose ends make room for requests that wait, for
// estimates of the wait. It does not take the limit of a full service, which other
// instances' calls may have caused.
func (p Supply) places() int {
	if p.Engines.Limited {
		return min(p.Slots, max(p.Engines.Running, 1))
	}
	return p.Slots
}

// limitTTL is how long a limit lasts after the last request that all upstreams turned away.
// A service that is still full shows it again within the time of a few calls.
const limitTTL = 500 * time.Millisecond

func isLimited(q *organisation.Queue, now time.Time) bool {
	return q.Limit > 0 && now.Sub(q.LimitedAt) < limitTTL
}

// markFull records that all upstreams turned a request away that this instance has in
// flight: they do not take more than the others. Several instances find the same room free
// without knowing of each other's calls, so the limit rises again by one in the time that a
// call takes (raiseLimit). pause is that time; the limit falls once in it.
func markFull(q *organisation.Queue, pause time.Duration, now time.Time) {
	if !now.Before(q.FullUntil) {
		limit := float64(max(q.InFlight-1, 1))
		if isLimited(q, now) {
			limit = min(limit, q.Limit)
		}
		q.Limit, q.FullUntil = limit, now.Add(pause)
	}
	q.LimitedAt = now
}

const (
	// turnedAwayShare is the part of the time left to the latest start in time after which a
	// call that was turned away enters the queue again. With pauses as long as a call, two
	// used up an objective of five calls' time.
	turnedAwayShare = 1.0 / 8
	// minTurnedAwayPause bounds the number of sends of one call.
	minTurnedAwayPause = 5 * time.Millisecond
)

// TurnedAwayPause returns the time after which a call that upstreams turned away enters the
// queue again. hold is the time that a call takes, objective the latest start that meets the
// call's objective; zero means none. A call that is late already waits for hold.
func TurnedAwayPause(hold time.Duration, objective, now time.Time) time.Duration {
	left := objective.Sub(now)
	if objective.IsZero() || left <= 0 {
		return hold
	}
	return min(hold, max(time.Duration(turnedAwayShare*float64(left)), minTurnedAwayPause))
}

// raiseLimit raises the limit after a request has run.
func raiseLimit(q *organisation.Queue, now time.Time) {
	if isLimited(q, now) {
		q.Limit += 1 / q.Limit
	}
}

const (
	// serviceHalfLife is the time in which the counts of a class lose half of their weight.
	// It is about the length of a burst.
	serviceHalfLife = 5 * time.Second
	// guaranteedShare is the part of the more urgent classes' fraction of admitted requests
	// that a less urgent class gets at least. It is below 1, so that the urgent requests are
	// never served worse, and above 0, so that no class starves.
	guaranteedShare = 0.25
)

// countEntered and countAdmitted add a request to the counts of its class.
func countEntered(q *organisation.Queue, p model.Priority, now time.Time) {
	decayed := decayedService(q.Service[p], now)
	decayed.Entered++
	q.Service[p] = decayed
}

func countAdmitted(q *organisation.Queue, p model.Priority, now time.Time) {
	decayed := decayedService(q.Service[p], now)
	decayed.Admitted++
	q.Service[p] = decayed
}

func decayedService(s organisation.Service, now time.Time) organisation.Service {
	factor := math.Exp2(-max(now.Sub(s.AsOf), 0).Seconds() / serviceHalfLife.Seconds())
	return organisation.Service{Entered: s.Entered * factor, Admitted: s.Admitted * factor, AsOf: now}
}

// isOwed reports whether the class gets the next slot before the more urgent classes:
// with one more admission it stays within its guaranteed share of their service.
func isOwed(q *organisation.Queue, p model.Priority, now time.Time) bool {
	own := decayedService(q.Service[p], now)
	if q.Classes[p].Len() == 0 || own.Entered == 0 {
		return false
	}
	least, found := 0.0, false
	for urgent := model.PriorityInteractive; urgent < p; urgent++ {
		if s := decayedService(q.Service[urgent], now); q.Classes[urgent].Len() > 0 && s.Entered > 0 {
			if fraction := s.Admitted / s.Entered; !found || fraction < least {
				least, found = fraction, true
			}
		}
	}
	return found && (own.Admitted+1)/own.Entered <= guaranteedShare*least
}
