package e2e

import (
	"fmt"
	"slices"
	"time"
)

const (
	// pauseGrace is the time from a worker's request for a pause until it must be kept.
	pauseGrace = 500 * time.Millisecond
	// maxInPause is the number of requests of one instance that may reach a worker
	// between pauseGrace and the end of its pause.
	maxInPause = 2
)

// notice identifies what a worker said to an instance.
type notice struct{ instance, worker string }

// restarted reports whether the process of the instance stopped, started or was frozen
// in the interval, after which it need not know what workers said before.
func (s *soak) restarted(scope string, from, to time.Time) bool {
	return slices.ContainsFunc(s.appliedFaults, func(f appliedFault) bool {
		switch f.kind {
		case faultKill, faultFreeze, faultStop, faultKillAll:
			return (f.scope == scope || f.scope == "all") && f.overlaps(from, to)
		default:
			return false
		}
	})
}

// checkLeaving checks that an instance which passed on an answer of a leaving worker sends
// no later requests to that worker, whether it reaches the store or not.
func (s *soak) checkLeaving(attempts map[string]soakAttempt, runs map[string][]soakRun) []string {
	told := map[notice]time.Time{}
	for _, a := range attempts {
		if a.leaving == "" {
			continue
		}
		key := notice{s.instanceScopeOf(a.address), a.leaving}
		if first, known := told[key]; !known || a.answered.Before(first) {
			told[key] = a.answered
		}
	}
	var violations []string
	for id, list := range runs {
		a := attempts[id]
		scope := s.instanceScopeOf(a.address)
		for _, r := range list {
			at, known := told[notice{scope, r.worker.ID()}]
			if known && a.sent.After(at.Add(drainBound+s.slack())) && !s.restarted(scope, at, r.Began) {
				violations = append(violations, fmt.Sprintf("%s, sent at %s, ran at %s, which had said to %s at %s that it leaves",
					id, s.offset(a.sent), r.worker.ID(), scope, s.offset(at)))
			}
		}
	}
	return violations
}

// checkPauses checks that few requests of an instance reach a worker in a pause that the
// worker asked it for.
func (s *soak) checkPauses(attempts map[string]soakAttempt) []string {
	var violations []string
	for _, w := range s.workers {
		rejections := w.Rejections()
		for _, first := range rejections {
			scope := s.instanceScopeOf(attempts[first.Request].address)
			from := first.At.Add(pauseGrace + s.slack())
			if scope == "none" || s.restarted(scope, first.At, first.Until) {
				continue
			}
			later := 0
			for _, r := range rejections {
				if r.At.After(from) && r.At.Before(first.Until) && s.instanceScopeOf(attempts[r.Request].address) == scope {
					later++
				}
			}
			if later > maxInPause {
				violations = append(violations, fmt.Sprintf("%d requests of %s reached %s after it had asked at %s for a pause until %s",
					later, scope, w.ID(), s.offset(first.At), s.offset(first.Until)))
				break
			}
		}
	}
	return violations
}
