package bench

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// recorded is the shape from which testdata/recorded.csv was drawn with seed 1.
var recorded = Shape{
	Name: "recorded", Instances: 6, Engines: 8, SlowEngines: 2, Load: 0.7, Groups: 150, LongFraction: 0.05, Duration: 30 * time.Second,
}

func readRecorded(t *testing.T) Trace {
	t.Helper()
	data, err := os.ReadFile("testdata/recorded.csv")
	assert.NilError(t, err)
	requests, err := ReadTrace(bytes.NewReader(data))
	assert.NilError(t, err)
	return Trace{Name: recorded.Name, Instances: recorded.Instances, Engines: recorded.engines(), Requests: requests}
}

// Guards against an unintended change of the estimate or of the policies: the results
// for the recorded trace must equal the golden file.
func TestRecordedTraceHasItsOutcome(t *testing.T) {
	trace := readRecorded(t)
	var out bytes.Buffer
	for _, policy := range Policies {
		r := Measure(trace, policy, 1)
		fmt.Fprintf(&out, "%s: %d requests, first token mean %v p95 %v, finish mean %v p95 %v, cached %.3f, worst load %.2f\n",
			r.Policy, r.Requests, r.FirstMean.Round(time.Millisecond), r.FirstP95.Round(time.Millisecond),
			r.FinishMean.Round(time.Millisecond), r.FinishP95.Round(time.Millisecond), r.CachedShare, r.WorstLoad)
	}
	golden.Assert(t, out.String(), "recorded.golden")
}

// Guards against a policy that is worse than its baseline: near capacity, comparing
// all engines took 15 times as long to the first token. The traces are short because
// lock order checking makes each lock slow.
func TestEarliestFinishIsNotWorseThanItsBaseline(t *testing.T) {
	for _, shape := range Shapes(6 * time.Second) {
		if shape.Engines > 20 {
			continue
		}
		trace := DrawTrace(shape, 1)
		ours, baseline := Measure(trace, Policies[0], 1), Measure(trace, Policies[1], 1)
		assert.Equal(t, ours.Requests, len(trace.Requests))
		const tolerance = 1.2 // near capacity the time to the first token is up to 15% longer
		assert.Assert(t, float64(ours.FirstMean) < tolerance*float64(baseline.FirstMean), "%s: %v, %v", shape.Name, ours, baseline)
		assert.Assert(t, float64(ours.FinishMean) < 1.02*float64(baseline.FinishMean), "%s: %v, %v", shape.Name, ours, baseline)
	}
}

// Guards against a trace that changes when it is written and read back.
func TestTraceRoundTrip(t *testing.T) {
	drawn := DrawTrace(recorded, 1).Requests
	var file bytes.Buffer
	assert.NilError(t, WriteTrace(&file, drawn))
	read, err := ReadTrace(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, drawn)
	assert.DeepEqual(t, readRecorded(t).Requests, drawn)
}

// Guards against a reader that keeps blocks which missing events may have evicted, and
// against a reader that removes more blocks than those events can have evicted.
func TestEventReaderEvictsBlocksAfterAGap(t *testing.T) {
	r := newEventReader(8)
	stored := func(sequence uint64) cacheEvent { return cacheEvent{sequence: sequence, block: prefix.Block(sequence)} }
	evicted := func(block prefix.Block) cacheEvent { return cacheEvent{block: block, evicted: true} }
	r.read([]cacheEvent{stored(1), stored(2), stored(3), stored(4)})
	got := r.read([]cacheEvent{stored(7), stored(8)})
	want := []cacheEvent{evicted(1), evicted(2), stored(7), stored(8)}
	assert.Assert(t, slices.Equal(got, want), "%v", got)
	assert.DeepEqual(t, r.cachedBlocks.Keys(), []prefix.Block{3, 4, 7, 8})
}

// Guards against feeds that do not reach their instances, and against gaps in the
// events that undo the gain from the feed. The trace is short because lock order
// checking makes each lock slow.
func TestFeeds(t *testing.T) {
	trace := DrawTrace(Shape{Name: "small caches", Instances: 12, Engines: 10, Load: 0.6, Groups: 200, Duration: 20 * time.Second}, 1)
	cached := func(feed Feed) float64 {
		row := MeasureFeed(trace, Policies[0], feed, 1)
		assert.Equal(t, row.Requests, len(trace.Requests))
		assert.Assert(t, row.Events > 0)
		return row.CachedShare
	}
	all := Feed{DeliverEvicted: true, DeliverStored: true, AllInstances: true}
	lossy := all
	lossy.Loss = 0.01
	none := cached(Feed{})
	assert.Assert(t, cached(all) > 1.2*none)
	assert.Assert(t, cached(lossy) > 1.2*none)
}
