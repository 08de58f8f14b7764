package service

import "time"

// Faults are the switchable faults of a service. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	Rule                 // for routes that are not in Routes
	Routes []RouteFaults `json:"routes,omitempty"`
}

// RouteFaults are the faults of one route.
type RouteFaults struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Rule
}

// Rule holds the faults that apply to the calls of a route.
type Rule struct {
	DelayMS       int64   `json:"delay_ms,omitempty"`        // before the call is executed
	AnswerDelayMS int64   `json:"answer_delay_ms,omitempty"` // after the call was executed
	FailFraction  float64 `json:"fail_fraction,omitempty"`   // fraction of the calls that get 500 and are not executed
	Hang          bool    `json:"hang,omitempty"`            // calls are not executed and get no answer
	// CutAnswers executes the next N calls and then cuts their connections;
	// CutFraction does so to that fraction of all calls.
	CutAnswers  int     `json:"cut_answers,omitempty"`
	CutFraction float64 `json:"cut_fraction,omitempty"`
	// CutRequests cuts the connections of the next N calls before they are executed.
	CutRequests int `json:"cut_requests,omitempty"`
}

func (r Rule) delay() time.Duration {
	return time.Duration(r.DelayMS) * time.Millisecond
}

func (r Rule) answerDelay() time.Duration {
	return time.Duration(r.AnswerDelayMS) * time.Millisecond
}

// rule returns the rule for a route: its own, or else the default.
func (f *Faults) rule(route Route) *Rule {
	for i := range f.Routes {
		if f.Routes[i].Method == route.Method && f.Routes[i].Path == route.Path {
			return &f.Routes[i].Rule
		}
	}
	return &f.Rule
}

// callFaults holds the faults of one call.
type callFaults struct {
	rule       Rule
	fail       bool
	cutRequest bool
	cutAnswer  bool
}

// drawFaults chooses the faults of the next call and decrements the counter of a
// fault that applies to the next N calls.
func (s *Service) drawFaults(route Route) callFaults {
	var p callFaults
	s.faults.Update(func(f *Faults) bool {
		rule := f.rule(route)
		p.rule = *rule
		switch {
		case rule.CutRequests > 0:
			rule.CutRequests--
			p.cutRequest = true
		case rule.CutAnswers > 0:
			rule.CutAnswers--
			p.cutAnswer = true
		}
		return true
	})
	p.fail = s.faults.Chance(p.rule.FailFraction)
	p.cutAnswer = p.cutAnswer || s.faults.Chance(p.rule.CutFraction)
	return p
}
