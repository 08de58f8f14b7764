package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

const (
	// drainBound and applyBound are the platform's bounds for leaving workers and
	// changed rules.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	// settleTime is how long an instance must have been without faults for a
	// bound to hold.
	settleTime = 3 * time.Second
	// soakSlack covers the delivery of a notice between processes of one machine.
	soakSlack = 500 * time.Millisecond
	// pauseFactor is the number of processes that a notice passes in turn, each of
	// which the scheduler can delay: the store, a reader, its member.
	pauseFactor = 3
	// cancelBound is the time within which work for a caller that cancelled must
	// end.
	cancelBound = 500 * time.Millisecond
	// maxLateCancels is the number of later ends that are allowed in a run.
	maxLateCancels = 3
	// lossSlack is the platform's bound on the time in which an instance may close the
	// connection of a request that it has not read.
	lossSlack = 200 * time.Millisecond
	// recoveredShare is the share of attempts that must be served after recovery.
	recoveredShare = 0.95
)

// soakRun is a run of a request at a worker.
type soakRun struct {
	fleet.Run
	worker *soakWorker
}

// slack is the time that a notice may take beyond its bound. The caller holds mu.
func (s *soak) slack() time.Duration { return soakSlack + pauseFactor*s.maxPause }

// violations describes each guarantee that did not hold.
func (s *soak) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := map[string]soakAttempt{}
	for _, a := range s.record.all() {
		attempts[a.id] = a
	}
	runs := map[string][]soakRun{}
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			runs[r.Request] = append(runs[r.Request], soakRun{r, w})
		}
	}
	violations := slices.Clone(s.unexpectedExits)
	for id, a := range attempts {
		violations = append(violations, s.checkAttempt(a, runs[id])...)
	}
	for id, list := range runs {
		violations = append(violations, s.checkRuns(id, attempts, list)...)
	}
	violations = append(violations, s.checkCancelled(attempts, runs)...)
	violations = append(violations, s.checkLeaving(attempts, runs)...)
	violations = append(violations, s.checkPauses(attempts)...)
	violations = append(violations, s.checkSilences(attempts, runs)...)
	violations = append(violations, s.checkRows()...)
	return append(violations, s.checkRecovery(attempts)...)
}

func (s *soak) offset(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(s.began).Seconds()) }

// checkAttempt checks the answer to one attempt.
func (s *soak) checkAttempt(a soakAttempt, runs []soakRun) []string {
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s, sent at %s: ", a.id, a.path, a.address, s.offset(a.sent))+fmt.Sprintf(format, args...))
	}
	if a.wrong != "" {
		report("%s", a.wrong)
	}
	if promisesNotRun(a.status) && len(runs) > 0 && a.path != "/read/1" {
		report("refused with %d, but ran at %s", a.status, runs[0].worker.ID())
	}
	if (a.path == "/book/1" || a.path == "/tell/1") && len(runs) > 1 {
		report("ran %d times", len(runs))
	}
	if a.served() && len(runs) == 0 {
		report("answered, but ran nowhere")
	}
	if s.refusedThoughAllowed(a) {
		report("refused with %d although all rules allow it", a.status)
	}
	if why := s.staleRules(a); why != "" {
		report("%s", why)
	}
	if s.readWhole(a, len(runs) > 0) && a.cut && s.onlyPlannedWork(a) {
		report("ended at %s without a complete answer, status %d, runs %d", s.offset(a.ended), a.status, len(runs))
	}
	return violations
}

// refusedThoughAllowed reports whether the instance refused the attempt for what it is,
// although all versions of the rules allow it.
func (s *soak) refusedThoughAllowed(a soakAttempt) bool {
	if promisesNotRun(a.status) || (a.status == http.StatusUnauthorized && a.key != soakKey) {
		return false
	}
	return a.status >= 400 && a.status < 500
}

// staleRules describes the change of the spare key that the instance had not
// applied in time; it returns "" if there is none.
func (s *soak) staleRules(a soakAttempt) string {
	if a.key != spareKey || a.status == 0 {
		return ""
	}
	var last keyChange
	for _, change := range s.keyChanges {
		if change.at.After(a.sent.Add(-applyBound - s.slack())) {
			if change.at.Before(a.ended) {
				return "" // both versions may be in force
			}
			continue
		}
		last = change
	}
	if !s.faultFree(a.address, a.sent.Add(-settleTime-applyBound), a.ended) {
		return ""
	}
	switch {
	case last.present && a.status == 401:
		return "refused with 401 after its key was added at " + s.offset(last.at)
	case !last.present && a.status == 200:
		return "served after its key was taken away at " + s.offset(last.at)
	default:
		return ""
	}
}

// instanceScopeOf names the instance at an address.
func (s *soak) instanceScopeOf(address string) string {
	for i, p := range s.edges.ports {
		if strings.HasSuffix(address, fmt.Sprint(":", p.callers)) {
			return instanceScope(i)
		}
	}
	return "none"
}

// faultFree reports whether neither the store nor the instance had a fault in
// the interval.
func (s *soak) faultFree(address string, from, to time.Time) bool {
	scope := s.instanceScopeOf(address)
	return !slices.ContainsFunc(s.appliedFaults, func(f appliedFault) bool {
		hits := f.scope == scope || f.scope == "store" || f.scope == "all"
		return hits && f.overlaps(from, to)
	})
}

func (f appliedFault) overlaps(from, to time.Time) bool {
	return f.from.Before(to) && (f.to.IsZero() || f.to.After(from))
}

// readWhole reports whether an instance has certainly read the whole request: it ran at a
// worker, or its connection stayed open for longer than lossSlack after it was sent. An
// instance may close a kept connection while a request is on its way.
func (s *soak) readWhole(a soakAttempt, ran bool) bool {
	return ran || (!a.written.IsZero() && a.ended.Sub(a.written) > lossSlack+s.slack())
}

// onlyPlannedWork reports whether the attempt was not cancelled, and nothing but planned
// work and silences of sound workers overlapped it and the settleTime before it.
func (s *soak) onlyPlannedWork(a soakAttempt) bool {
	return !a.cancelled && !slices.ContainsFunc(s.appliedFaults, func(f appliedFault) bool {
		return f.excusesLoss() && f.overlaps(a.sent.Add(-settleTime), a.ended)
	})
}

// excusesLoss reports whether a request may end without an answer beside the fault.
func (f appliedFault) excusesLoss() bool {
	switch f.kind {
	case faultRules, faultVariedRules, faultReload, faultStop, faultSilent:
		return false
	default:
		return true
	}
}

// checkRuns checks the runs of one attempt at workers.
func (s *soak) checkRuns(id string, attempts map[string]soakAttempt, runs []soakRun) []string {
	var violations []string
	a, known := attempts[id]
	if !known {
		return []string{fmt.Sprintf("%s ran at %s, but no caller sent it", id, runs[0].worker.ID())}
	}
	for _, r := range runs {
		if r.Tenant != "org" || r.Key != "" {
			violations = append(violations, fmt.Sprintf("%s ran at %s as tenant %q with key %q", id, r.worker.ID(), r.Tenant, r.Key))
		}
		late := !r.worker.drained.IsZero() && r.Began.After(r.worker.drained.Add(drainBound+s.slack()))
		if late && s.faultFree(a.address, r.worker.drained.Add(-settleTime), r.Began) {
			violations = append(violations, fmt.Sprintf("%s began at %s at %s, which drained at %s", id, s.offset(r.Began), r.worker.ID(), s.offset(r.worker.drained)))
		}
	}
	return violations
}

// checkCancelled checks that work for callers that cancelled has ended in time.
func (s *soak) checkCancelled(attempts map[string]soakAttempt, runs map[string][]soakRun) []string {
	var late []string
	for id, a := range attempts {
		if !a.cancelled {
			continue
		}
		for _, r := range runs[id] {
			over := a.ended.Add(cancelBound + s.slack())
			quiet := s.faultFree(a.address, a.sent.Add(-settleTime), over) && !s.workerHadFault(r.worker.ID(), a.sent.Add(-settleTime), over)
			if quiet && (r.Ended.IsZero() || r.Ended.After(over)) {
				late = append(late, fmt.Sprintf("%s still ran at %s at %s, its caller cancelled at %s", id, r.worker.ID(), s.offset(over), s.offset(a.ended)))
			}
		}
	}
	if len(late) <= maxLateCancels {
		return nil
	}
	return late
}

// workerHadFault reports whether the worker had a fault in the interval.
func (s *soak) workerHadFault(id string, from, to time.Time) bool {
	return slices.ContainsFunc(s.appliedFaults, func(f appliedFault) bool { return f.scope == id && f.overlaps(from, to) })
}

// checkRows checks that the store has the row of each instance at the end.
func (s *soak) checkRows() []string {
	rows := s.edges.fleet.Store.Keys("instances")
	var missing []string
	for i := range s.edges.procs {
		if id := fmt.Sprint("edge", i); !slices.Contains(rows, id) {
			missing = append(missing, fmt.Sprintf("the store lacks the row of %s at the end", id))
		}
	}
	return missing
}

// checkRecovery checks that recoveredShare of the attempts are served at the end,
// after half of soakRecovery without faults.
func (s *soak) checkRecovery(attempts map[string]soakAttempt) []string {
	quiet := s.began.Add(s.plan.load - soakRecovery)
	for _, f := range s.appliedFaults {
		if f.to.After(quiet) {
			quiet = f.to
		}
	}
	from := quiet.Add(soakRecovery / 2)
	served, all := 0, 0
	var failed []string
	for _, a := range attempts {
		if a.sent.Before(from) || a.cancelled || a.key != soakKey {
			continue
		}
		all++
		if a.served() {
			served++
			continue
		}
		failed = append(failed, fmt.Sprintf("%s %s at %s sent at %s: status %d, cut %v", a.id, a.path, a.address, s.offset(a.sent), a.status, a.cut))
	}
	if all == 0 || float64(served) >= recoveredShare*float64(all) {
		return nil
	}
	return append([]string{fmt.Sprintf("after the last fault %d of %d attempts were served", served, all)}, failed[:min(len(failed), 5)]...)
}

// history lists the applied faults and the changes of the spare key.
func (s *soak) history() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%d instances, %d engines, %d desks, %d callers, longest pause %v\n",
		s.plan.instances, s.plan.engines, s.plan.desks, s.plan.callers, s.maxPause)
	for _, f := range s.appliedFaults {
		fmt.Fprintf(&text, "%s to %s: %s (%s)\n", s.offset(f.from), s.offset(f.to), f.kind, f.scope)
	}
	for _, change := range s.keyChanges {
		fmt.Fprintf(&text, "%s: rules changed, spare key %v\n", s.offset(change.at), change.present)
	}
	return text.String()
}
