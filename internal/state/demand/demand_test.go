package demand

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate that does not follow the arrivals: a steady stream must give its
// rate, and a stream that ends must be forgotten within seconds.
func TestRateFollowsArrivals(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		table.RecordArrival("s", now)
	}
	assert.Check(t, math.Abs(table.Local(now)["s"].Rate-40) < 2, "rate %v", table.Local(now)["s"].Rate)
	assert.Check(t, table.Local(now.Add(8 * time.Second))["s"].Rate < 1)
}

// Guards against requests that are counted as running after their end, which would make a
// service look full.
func TestEndedRequestsAreNotCounted(t *testing.T) {
	table := NewTable()
	table.RecordStart("s", 100)
	table.RecordStart("s", 50)
	table.RecordEnd("s", 100, 30*time.Millisecond)
	d := table.Local(time.Unix(1000, 0))["s"]
	assert.Equal(t, d.InFlight, 1)
	assert.Equal(t, d.MemoryTokens, 50)
	assert.Equal(t, d.HoldTime, 30*time.Millisecond)
}
