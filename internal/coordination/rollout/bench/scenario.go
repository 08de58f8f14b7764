package bench

import "time"

// scenario describes the traffic of one kind of move and the target's fault.
type scenario struct {
	name           string
	window         time.Duration // from the start to finish_by
	rate           float64       // requests/s over all routes
	oldFailureRate float64       // failure rate of the previous version

	addedFailureRate float64       // additional failure rate of the target
	firstTokenFactor float64       // factor on the time to the first token; zero means 1
	paceFactor       float64       // factor on the token interval; zero means 1
	faultDelay       time.Duration // time from the start of the move to the start of the fault
	minFaultShare    float64       // lowest share at which the fault shows
	oneRoute         bool          // only the least used route has the fault
}

// good reports whether the target has no fault.
func (s scenario) good() bool {
	return s.addedFailureRate == 0 && s.firstTokenFactor == 0 && s.paceFactor == 0
}

// faultShows reports whether the target has its fault on the route, this long after
// the start of the move and at this share.
func (s scenario) faultShows(elapsed time.Duration, share float64, route int) bool {
	if s.good() || elapsed < s.faultDelay || share < s.minFaultShare {
		return false
	}
	return !s.oneRoute || route == len(routes)-1
}

// routes of the simulated service, and their fractions of the traffic.
var (
	routes         = []string{"POST /a", "POST /b", "POST /c"}
	routeFractions = []float64{0.6, 0.3, 0.1}
)

// scenarios returns the kinds of moves that Run simulates.
func scenarios() []scenario {
	const window, rate = 20 * time.Minute, 50
	return []scenario{
		{name: "good", window: window, rate: rate, oldFailureRate: 0.005},
		{name: "good, 3% failures in both", window: window, rate: rate, oldFailureRate: 0.03},
		{name: "good, small traffic", window: time.Hour, rate: 0.3, oldFailureRate: 0.005},
		{name: "fails at once", window: window, rate: rate, oldFailureRate: 0.005, addedFailureRate: 0.5},
		{name: "fails a little", window: window, rate: rate, oldFailureRate: 0.005, addedFailureRate: 0.06},
		{name: "fails later", window: window, rate: rate, oldFailureRate: 0.005, addedFailureRate: 0.3, faultDelay: 8 * time.Minute},
		{name: "fails under load", window: window, rate: rate, oldFailureRate: 0.005, addedFailureRate: 0.3, minFaultShare: 0.25},
		{name: "fails on one route", window: window, rate: rate, oldFailureRate: 0.005, addedFailureRate: 0.4, oneRoute: true},
		{name: "fails, small traffic", window: time.Hour, rate: 0.3, oldFailureRate: 0.005, addedFailureRate: 0.5},
		{name: "slow first token", window: window, rate: rate, oldFailureRate: 0.005, firstTokenFactor: 2},
		{name: "slow pace later", window: window, rate: rate, oldFailureRate: 0.005, paceFactor: 2, faultDelay: 8 * time.Minute},
	}
}
