package rollout

import "time"

// analysis holds this instance's judge of one move and the evidence that it has
// read.
type analysis struct {
	generation uint64 // of the document that asked for the move
	judge      *Judge
	history    *history
	analysedAt time.Time
}

// analyse reads the pooled evidence and stops the target on a verdict. It runs on
// the holder, on the first candidate for the lease and on an instance that has been
// the holder, so that a stop does not wait for a lease while the table service is
// down.
func (mv *mover) analyse(now time.Time, held bool) {
	share, ok := mv.cfg.Stops.Share(mv.serves)
	if !ok || isFinalShare(share) || !shareMatchesPlan(share, mv.subject.plan) {
		return
	}
	if !held && mv.move == nil && mv.keeper.Rank() > 0 {
		mv.analysis = nil
		return
	}
	if mv.analysis != nil && now.Sub(mv.analysis.analysedAt) < analysisInterval {
		return
	}
	if generation := share.Epoch >> epochBits; mv.analysis == nil || mv.analysis.generation != generation {
		mv.startAnalysis(generation, now)
	}
	mv.observe(now)
	if v, bad := mv.analysis.judge.Verdict(); bad {
		mv.addStop(share.Epoch, v.String())
	}
}

// startAnalysis creates the analysis of a move. If this instance has the record of
// the move and it began more than a minute ago, the evidence since its start is
// read again. Otherwise only evidence from now on counts.
func (mv *mover) startAnalysis(generation uint64, now time.Time) {
	t := &analysis{generation: generation, judge: NewJudge(mv.subject.routes)}
	if mv.move != nil && mv.move.Generation == generation && now.Sub(mv.move.Started) > time.Minute {
		t.history = newHistory(mv.serves, mv.subject.plan, minuteOf(mv.move.Started)+1)
	} else {
		t.history = newHistory(mv.serves, mv.subject.plan, minuteOf(now)-horizonMinutes)
		t.history.prime(mv.cfg.Evidence.Sums(t.history.versions()...))
	}
	mv.analysis = t
}

// observe passes the new evidence to the judge and adds it to the record's counts.
func (mv *mover) observe(now time.Time) {
	t := mv.analysis
	firstReading := t.analysedAt.IsZero()
	t.analysedAt = now
	for _, b := range t.history.nextBatches(mv.cfg.Evidence.Sums(t.history.versions()...), now) {
		t.judge.Observe(b)
		if mv.move == nil || firstReading && minuteOf(b.At) <= mv.move.CountedTo {
			continue
		}
		mv.countBatch(b, firstReading)
	}
}

// countBatch adds a batch to the record's counts. reread means that the batch may have
// been read before by another analysis; it then counts for the present share only
// if it is later than the start of that share.
func (mv *mover) countBatch(b Batch, reread bool) {
	atPresentShare := !reread || b.At.After(mv.move.ShareSince)
	for _, rc := range b.Routes {
		mv.move.Figures.Requests += rc.New.Requests
		mv.move.Figures.Failures += rc.New.Failures
		if atPresentShare && rc.New.Requests > 0 {
			mv.move.Seen[rc.Route] += rc.New.Requests
		}
	}
}

// routeEvidence returns the planner's input for each route.
func (mv *mover) routeEvidence(now time.Time) []RouteEvidence {
	var routes []RouteEvidence
	for route, rate := range mv.analysis.history.rates(now) {
		routes = append(routes, RouteEvidence{Route: route, TargetRequests: mv.move.Seen[route], Rate: rate})
	}
	return routes
}
