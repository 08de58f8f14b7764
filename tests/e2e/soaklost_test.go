package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a soak that excuses requests which end without an answer beside planned
// work, or that reports those which another fault or a closing connection explains.
func TestSoakReportsLostRequests(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	const sent = 5000
	lost := soakAttempt{id: "a", path: "/read/1", key: soakKey, address: "127.0.0.1:1", cut: true, sent: at(sent), written: at(sent + 1), ended: at(sent + 12_000)}
	short := lost
	short.ended = at(sent + 20)
	unwritten := lost
	unwritten.written = time.Time{}
	answered := lost
	answered.cut, answered.status = false, 200
	cancelled := lost
	cancelled.cancelled = true
	fault := func(kind faultKind, scope string, from, to int) []appliedFault {
		return []appliedFault{{kind: kind, scope: scope, from: at(from), to: at(to)}}
	}
	rules := fault(faultVariedRules, "rules", sent-10, sent-9)
	for name, test := range map[string]struct {
		attempt soakAttempt
		ran     bool
		faults  []appliedFault
		want    bool
	}{
		"no answer until the time limit, beside a change of the rules": {lost, false, rules, true},
		"cut while it runs, beside a change of the rules":              {short, true, rules, true},
		"cut while it runs, beside a reload":                           {short, true, fault(faultReload, instanceScope(0), sent, sent), true},
		"cut while it runs, in a planned stop":                         {short, true, fault(faultStop, instanceScope(0), sent-100, sent+100), true},
		"cut while its worker is silent":                               {short, true, fault(faultSilent, "desk-1", sent-100, sent+900), true},
		"cut while it runs, beside nothing":                            {short, true, nil, true},
		"crosses the close of its connection":                          {short, false, rules, false},
		"could not be sent":                                            {unwritten, false, rules, false},
		"answered":                                                     {answered, true, rules, false},
		"cancelled by its caller":                                      {cancelled, true, rules, false},
		"a worker crashed before":                                      {lost, true, append(fault(faultCrash, "desk-1", sent-2000, sent-1500), rules...), false},
		"a worker crashed long before":                                 {lost, true, append(fault(faultCrash, "desk-1", sent-4500, sent-3500), rules...), true},
	} {
		s := &soak{began: began, appliedFaults: test.faults, edges: &edges{}}
		var runs []soakRun
		if test.ran {
			runs = []soakRun{{}}
		}
		assert.Equal(t, len(s.checkAttempt(test.attempt, runs)) > 0, test.want, name)
	}
}
