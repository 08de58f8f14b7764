package rollout

import "time"

// trial is the judged evidence of one move at this instance.
type trial struct {
	generation uint64 // of the document that asked for the move
	judge      *Judge
	history    *history
	judgedAt   time.Time
}

// judge reads the pooled evidence and stops the target on a verdict. The
// holder judges, and so do the first candidate and an instance that was
// holder: a stop must not wait for a lease while the table is down.
func (mv *mover) judge(now time.Time, held bool) {
	share, ok := mv.cfg.Stops.Share(mv.serves)
	if !ok || settled(share) || !concerns(share, mv.subject.plan) {
		return
	}
	if !held && mv.move == nil && mv.keeper.Rank() > 0 {
		mv.trial = nil
		return
	}
	if mv.trial != nil && now.Sub(mv.trial.judgedAt) < judgeInterval {
		return
	}
	if generation := share.Epoch >> epochBits; mv.trial == nil || mv.trial.generation != generation {
		mv.newTrial(generation, now)
	}
	mv.observe(now)
	if v, bad := mv.trial.judge.Verdict(); bad {
		mv.addStop(share.Epoch, v.String())
	}
}

// newTrial begins to judge. With the record of an older move at hand the
// evidence since its start is read again; otherwise only new evidence counts.
func (mv *mover) newTrial(generation uint64, now time.Time) {
	t := &trial{generation: generation, judge: NewJudge(mv.subject.routes)}
	if mv.move != nil && mv.move.Generation == generation && now.Sub(mv.move.Started) > time.Minute {
		t.history = newHistory(mv.serves, mv.subject.plan, minuteOf(mv.move.Started)+1)
	} else {
		t.history = newHistory(mv.serves, mv.subject.plan, minuteOf(now)-horizon)
		t.history.prime(mv.cfg.Evidence.Sums(t.history.versions()...))
	}
	mv.trial = t
}

// observe feeds the new evidence to the judge and to the record's counts.
func (mv *mover) observe(now time.Time) {
	t := mv.trial
	first := t.judgedAt.IsZero()
	t.judgedAt = now
	for _, b := range t.history.next(mv.cfg.Evidence.Sums(t.history.versions()...), now) {
		t.judge.Observe(b)
		if mv.move == nil || first && minuteOf(b.At) <= mv.move.CountedTo {
			continue
		}
		mv.count(b, first)
	}
}

// count adds a batch to the record's counts. A batch that is read again
// counts for the present share only if it lies within its time.
func (mv *mover) count(b Batch, again bool) {
	present := !again || b.At.After(mv.move.ShareSince)
	for _, rc := range b.Routes {
		mv.move.Figures.Requests += rc.New.Requests
		mv.move.Figures.Failures += rc.New.Failures
		if present && rc.New.Requests > 0 {
			mv.move.Seen[rc.Route] += rc.New.Requests
		}
	}
}

// routeEvidence returns what the planner asks about each route.
func (mv *mover) routeEvidence(now time.Time) []RouteEvidence {
	var routes []RouteEvidence
	for route, rate := range mv.trial.history.rates(now) {
		routes = append(routes, RouteEvidence{Route: route, Seen: mv.move.Seen[route], Rate: rate})
	}
	return routes
}
