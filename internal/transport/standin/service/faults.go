package service

import "time"

// Faults are the switchable faults of a service. The zero value means no
// fault. PUT /faults replaces all of them.
type Faults struct {
	Rule                 // of the routes that Routes does not name
	Routes []RouteFaults `json:"routes,omitempty"`
}

// RouteFaults are the faults of one route.
type RouteFaults struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Rule
}

// Rule is what goes wrong on a route.
type Rule struct {
	DelayMS       int64   `json:"delay_ms,omitempty"`        // before the call runs
	AnswerDelayMS int64   `json:"answer_delay_ms,omitempty"` // after it ran
	FailFraction  float64 `json:"fail_fraction,omitempty"`   // part of the calls that get 500 and do not run
	Hang          bool    `json:"hang,omitempty"`            // calls neither run nor end
	// CutAnswers runs the next N calls and then cuts their connection;
	// CutFraction does so to a part of all calls.
	CutAnswers  int     `json:"cut_answers,omitempty"`
	CutFraction float64 `json:"cut_fraction,omitempty"`
	// CutRequests cuts the connection of the next N calls before they run.
	CutRequests int `json:"cut_requests,omitempty"`
}

func (r Rule) delay() time.Duration {
	return time.Duration(r.DelayMS) * time.Millisecond
}

func (r Rule) answerDelay() time.Duration {
	return time.Duration(r.AnswerDelayMS) * time.Millisecond
}

// rule returns the rule for a route.
func (f *Faults) rule(route Route) *Rule {
	for i := range f.Routes {
		if f.Routes[i].Method == route.Method && f.Routes[i].Path == route.Path {
			return &f.Routes[i].Rule
		}
	}
	return &f.Rule
}

// plan is what happens to one call.
type plan struct {
	rule       Rule
	fail       bool
	cutRequest bool
	cutAnswer  bool
}

// draw picks the faults of the next call and counts the limited ones down.
func (s *Service) draw(route Route) plan {
	var p plan
	s.faults.Take(func(f *Faults) bool {
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
