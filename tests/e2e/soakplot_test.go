package e2e

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/plot"
)

// plotColumn is the time that one column of the plot covers.
const plotColumn = 500 * time.Millisecond

// plotKinds are the outcomes of attempts; plotKind returns indexes into it.
var plotKinds = []plot.Outcome{
	{Name: "served", Colour: "#4c9f70"}, {Name: "refused", Colour: "#e0b03a"}, {Name: "cut", Colour: "#c0392b"}, {Name: "other", Colour: "#8e8e8e"},
}

func plotKind(a soakAttempt) int {
	switch {
	case a.served() || a.cancelled:
		return 0
	case promisesNotRun(a.status):
		return 1
	case a.cut || a.connRefused:
		return 2
	default:
		return 3
	}
}

// plotSVG plots attempts by the time at which they were sent, and below them, on
// the same time axis, the applied faults and the changes of the rules.
func (s *soak) plotSVG() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := plot.New(fmt.Sprintf("soak, seed %d: attempts", s.plan.seed), plotColumn, s.plan.load, plotKinds)
	for _, a := range s.record.all() {
		line.Count(a.sent.Sub(s.began), plotKind(a))
	}
	for _, f := range s.appliedFaults {
		line.Bars = append(line.Bars, plot.Bar{From: f.from.Sub(s.began), To: f.to.Sub(s.began), Label: fmt.Sprintf("%s (%s)", f.kind, f.scope)})
	}
	for _, change := range s.keyChanges {
		at := change.at.Sub(s.began)
		line.Bars = append(line.Bars, plot.Bar{From: at, To: at, Label: fmt.Sprintf("rules changed, spare key %v", change.present)})
	}
	return line.SVG()
}
