package demand

import (
	"math"
	"strconv"
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
	table.RecordEnd("s", 100, 30*time.Millisecond, time.Unix(1000, 0))
	d := table.Local(time.Unix(1000, 0))["s"]
	assert.Equal(t, d.InFlight, 1)
	assert.Equal(t, d.MemoryTokens, 50)
	assert.Equal(t, d.HoldTime, 30*time.Millisecond)
	assert.Equal(t, table.Service("s", time.Unix(1000, 0)), d)
	assert.Equal(t, table.Service("other", time.Unix(1000, 0)), Demand{})
}

// BenchmarkService shows the cost of one service's demand beside many, which each entry of a
// request pays.
func BenchmarkService(b *testing.B) {
	table, now := NewTable(), time.Unix(1000, 0)
	for i := range 100 {
		table.RecordArrival(strconv.Itoa(i), now)
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			table.Service("7", now)
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			_ = table.Local(now)["7"]
		}
	})
}

// Guards against a hold time that stays in force after the service has been idle, although
// its requests may have changed.
func TestHoldTimeExpires(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	table.RecordStart("s", 0)
	table.RecordEnd("s", 0, 30*time.Second, now)
	assert.Equal(t, table.Local(now.Add(holdTTL - 1))["s"].HoldTime, 30*time.Second)
	now = now.Add(holdTTL)
	assert.Equal(t, table.Local(now)["s"].HoldTime, time.Duration(0))
	table.RecordStart("s", 0)
	table.RecordEnd("s", 0, time.Second, now)
	assert.Equal(t, table.Local(now)["s"].HoldTime, time.Second, "the expired mean has no weight")
}

// Guards against demand of other instances and cells that counts twice or after it is old.
func TestRemoteDemandCountsOnceAndExpires(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	table.SetWaiting("s", 1, 1)
	table.SetMember("m", "b", map[string]Demand{"s": {Waiting: 2}}, now)
	table.SetMember("m", "b", map[string]Demand{"s": {Waiting: 4}}, now)
	domains, members := table.CellByDomain("s", "a", now)
	assert.Equal(t, members, 1)
	assert.Equal(t, domains["a"].Waiting, 1)
	assert.Equal(t, domains["b"].Waiting, 4)
	assert.Equal(t, table.Cell(now)["s"].Waiting, 5)

	table.SetCell("b/0", Summary{Domain: "b", Cells: 1, Services: map[string]Demand{"s": {Waiting: 8}}}, now)
	table.SetCell("b/1", Summary{Domain: "b", Cells: 1, Services: map[string]Demand{"s": {Waiting: 16}}}, now.Add(time.Second))
	sums := table.OtherCells(now.Add(2 * time.Second))
	assert.Equal(t, len(sums), 1)
	assert.Equal(t, sums[0].Cells, 2)
	assert.Equal(t, sums[0].Age, 2*time.Second)
	assert.Equal(t, sums[0].Services["s"].Waiting, 24)

	// An instance that is no longer the first of its cell uses what the new one hands on.
	table.SetOtherCells([]Summary{{Domain: "b", Cells: 2, Age: time.Second, Services: map[string]Demand{"s": {Waiting: 9}}}}, now.Add(2*time.Second))
	d, age, known := table.Others("s", now.Add(3*time.Second))
	assert.Assert(t, known)
	assert.Equal(t, d.Waiting, 9)
	assert.Equal(t, age, 2*time.Second)

	late := now.Add(2*time.Second + TTL)
	_, _, known = table.Others("s", late)
	assert.Assert(t, !known)
	_, members = table.CellByDomain("s", "a", late)
	assert.Equal(t, members, 0)
	assert.Equal(t, table.Cell(late)["s"].Waiting, 1)
}

// Guards against a number of waiting requests that an older decision sets after a newer one,
// when two workers report at the same moment: the queue would count as empty or as long
// until the next decision.
func TestOvertakenChangeOfWaitingIsIgnored(t *testing.T) {
	table := NewTable()
	table.SetWaiting("s", 3, 2)
	table.SetWaiting("s", 0, 1)
	assert.Equal(t, table.Local(time.Unix(1000, 0))["s"].Waiting, 3)
	table.SetWaiting("s", 0, 3)
	assert.Equal(t, table.Local(time.Unix(1000, 0))["s"].Waiting, 0)
}
