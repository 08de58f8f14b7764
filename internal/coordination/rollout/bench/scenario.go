package bench

import "time"

// scenario describes the traffic of one kind of move and the target's fault.
type scenario struct {
	name     string
	window   time.Duration // from the start to finish_by
	rate     float64       // requests/s over all routes
	oldFails float64       // failure rate of the previous version

	fails     float64       // additional failure rate of the target
	slowFirst float64       // factor on the time to the first token; zero means 1
	slowPace  float64       // factor on the token interval; zero means 1
	from      time.Duration // the fault starts this long after the move
	atShare   float64       // the fault shows from this share on
	oneRoute  bool          // only the least used route has the fault
}

func (s scenario) good() bool {
	return s.fails == 0 && s.slowFirst == 0 && s.slowPace == 0
}

// faulty reports whether the fault shows.
func (s scenario) faulty(elapsed time.Duration, share float64, route int) bool {
	if s.good() || elapsed < s.from || share < s.atShare {
		return false
	}
	return !s.oneRoute || route == len(routes)-1
}

// routes and their parts of the traffic.
var (
	routes     = []string{"POST /a", "POST /b", "POST /c"}
	routeParts = []float64{0.6, 0.3, 0.1}
)

func scenarios() []scenario {
	const window, rate = 20 * time.Minute, 50
	return []scenario{
		{name: "good", window: window, rate: rate, oldFails: 0.005},
		{name: "good, 3% failures in both", window: window, rate: rate, oldFails: 0.03},
		{name: "good, small traffic", window: time.Hour, rate: 0.3, oldFails: 0.005},
		{name: "fails at once", window: window, rate: rate, oldFails: 0.005, fails: 0.5},
		{name: "fails a little", window: window, rate: rate, oldFails: 0.005, fails: 0.06},
		{name: "fails later", window: window, rate: rate, oldFails: 0.005, fails: 0.3, from: 8 * time.Minute},
		{name: "fails under load", window: window, rate: rate, oldFails: 0.005, fails: 0.3, atShare: 0.25},
		{name: "fails on one route", window: window, rate: rate, oldFails: 0.005, fails: 0.4, oneRoute: true},
		{name: "fails, small traffic", window: time.Hour, rate: 0.3, oldFails: 0.005, fails: 0.5},
		{name: "slow first token", window: window, rate: rate, oldFails: 0.005, slowFirst: 2},
		{name: "slow pace later", window: window, rate: rate, oldFails: 0.005, slowPace: 2, from: 8 * time.Minute},
	}
}
