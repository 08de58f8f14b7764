// Package bench compares routing policies on traces of requests. The engines are
// modelled by a small discrete-event simulation. The instances use the real Router,
// each over real tables of its own.
package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
)

// Policy is a routing policy with its name.
type Policy struct {
	Name   string
	Choose routing.Policy
}

// Policies are the policy in use and the baseline that it is compared with.
var Policies = []Policy{
	{Name: "earliest finish", Choose: routing.EarliestFinish},
	{Name: "least loaded of two", Choose: routing.LeastLoadedOfTwo},
}

// Result holds the results of one trace under one policy.
type Result struct {
	Trace    string
	Policy   string
	Requests int
	// Times from the arrival of a request to its first token and to its last token.
	FirstMean, FirstP95   time.Duration
	FinishMean, FinishP95 time.Duration
	CachedShare           float64 // fraction of the prompt bytes that were cached
	WorstLoad             float64 // mean requests on the most loaded engine over the mean of all
	Events                int     // cache events that the instances read
}

// Run draws the traces of all shapes and runs them under both policies.
func Run(seed uint64, duration time.Duration) []Result {
	var rows []Result
	for _, shape := range Shapes(duration) {
		trace := DrawTrace(shape, seed)
		for _, policy := range Policies {
			rows = append(rows, Measure(trace, policy, seed))
		}
	}
	return rows
}

// Measure runs one trace under one policy.
func Measure(trace Trace, policy Policy, seed uint64) Result {
	return MeasureFeed(trace, policy, Feeds[0], seed)
}

// MeasureFeed runs one trace under one policy with the given feed of cache events.
func MeasureFeed(trace Trace, policy Policy, feed Feed, seed uint64) Result {
	s := newSimulation(trace, policy.Choose, feed, seed)
	s.run()
	row := Result{Trace: trace.Name, Policy: policy.Name, Requests: len(s.finished)}
	row.FirstMean, row.FirstP95 = meanAndP95(s.finished, func(j *job) time.Duration { return j.first - j.request.At })
	row.FinishMean, row.FinishP95 = meanAndP95(s.finished, func(j *job) time.Duration { return j.finish - j.request.At })
	row.CachedShare = cachedShare(s.finished)
	row.WorstLoad = worstLoad(s.engines)
	row.Events = s.deliveredEvents
	return row
}

// meanAndP95 returns the mean and the 95th percentile of a duration over all jobs.
func meanAndP95(jobs []*job, duration func(*job) time.Duration) (mean, p95 time.Duration) {
	const longest = 24 * time.Hour
	h := hdrhistogram.New(1, longest.Microseconds(), 3)
	var sum time.Duration
	for _, j := range jobs {
		sum += duration(j)
		_ = h.RecordValue(min(duration(j), longest).Microseconds()) // within the bounds
	}
	return sum / time.Duration(max(len(jobs), 1)), time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

func cachedShare(jobs []*job) float64 {
	var cached, total float64
	for _, j := range jobs {
		cached += float64(j.cached)
		total += float64(j.request.PromptBytes)
	}
	return cached / max(total, 1)
}

func worstLoad(engines []*engine) float64 {
	var worst, total time.Duration
	for _, e := range engines {
		worst = max(worst, e.jobTime)
		total += e.jobTime
	}
	return float64(worst) * float64(len(engines)) / max(float64(total), 1)
}
