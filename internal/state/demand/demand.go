// Package demand holds what callers ask of each service: the requests that run and
// wait here and at other instances, and how fast further ones arrive.
package demand

import (
	"math"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// rateHalfLife is the time in which an arrival loses half of its weight in the
	// rate. It is shorter than a burst of a few seconds, so that the rate follows it.
	rateHalfLife = time.Second
	// holdSmoothing is the weight of a new sample in the mean time that a request
	// holds its place.
	holdSmoothing = 0.1
	// holdTTL is the age of the newest sample at which the mean hold time counts as unknown.
	// Means above half of it last for twice their own time, as samples then come seldom.
	holdTTL = time.Minute
)

// Demand is what callers ask of one service.
type Demand struct {
	InFlight     int           // requests that run at an upstream
	Waiting      int           // requests that wait for admission
	MemoryTokens int           // memory that the running requests need of engines
	Rate         float64       // arrivals/s
	HoldTime     time.Duration // mean time that a request holds its place; zero means unknown
}

// Plus returns the sum. The hold time is the mean, weighted by the rates.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		InFlight:     d.InFlight + o.InFlight,
		Waiting:      d.Waiting + o.Waiting,
		MemoryTokens: d.MemoryTokens + o.MemoryTokens,
		Rate:         d.Rate + o.Rate,
		HoldTime:     meanHold(d, o),
	}
}

func meanHold(d, o Demand) time.Duration {
	switch {
	case d.HoldTime == 0:
		return o.HoldTime
	case o.HoldTime == 0:
		return d.HoldTime
	}
	weight := 0.5
	if total := d.Rate + o.Rate; total > 0 {
		weight = d.Rate / total
	}
	return time.Duration(weight*float64(d.HoldTime) + (1-weight)*float64(o.HoldTime))
}

// counter is the demand of this instance for one service.
type counter struct {
	demand Demand
	asOf   time.Time // of demand.Rate
	heldAt time.Time // of the newest sample of demand.HoldTime
	change uint64    // that demand.Waiting is of
}

// rate returns the rate at the given time. An arrival weighs ln 2 / rateHalfLife and
// decays, so that a steady stream of arrivals gives its rate.
func (c *counter) rate(now time.Time) float64 {
	age := max(now.Sub(c.asOf), 0)
	return c.demand.Rate * math.Exp2(-age.Seconds()/rateHalfLife.Seconds())
}

// holdTime returns the mean time that a request holds its place; zero means that it is
// unknown.
func (c *counter) holdTime(now time.Time) time.Duration {
	if now.Sub(c.heldAt) >= max(holdTTL, 2*c.demand.HoldTime) {
		return 0
	}
	return c.demand.HoldTime
}

// at returns the demand at the given time.
func (c *counter) at(now time.Time) Demand {
	d := c.demand
	d.Rate, d.HoldTime = c.rate(now), c.holdTime(now)
	return d
}

// Table holds the demand by service. mu has lock.RankDemand and guards the other fields.
type Table struct {
	mu      lock.Mutex
	local   map[string]*counter
	members map[model.InstanceID]member // other instances of the cell
	// cells holds the summaries that other cells sent to this instance, by the name of the
	// cell. handed holds those that another instance of the cell handed on.
	cells    map[string]cellSummary
	cellsAt  time.Time
	handed   []Summary
	handedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		mu:      lock.New(lock.RankDemand),
		local:   map[string]*counter{},
		members: map[model.InstanceID]member{},
		cells:   map[string]cellSummary{},
	}
}

// counter returns the counter of the service. The caller holds mu.
func (t *Table) counter(service string) *counter {
	c, found := t.local[service]
	if !found {
		c = &counter{}
		t.local[service] = c
	}
	return c
}

// RecordArrival counts a request for the service.
func (t *Table) RecordArrival(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counter(service)
	c.demand.Rate = c.rate(now) + math.Ln2/rateHalfLife.Seconds()
	c.asOf = now
}

// RecordStart counts a request that is sent to an upstream.
func (t *Table) RecordStart(service string, memoryTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counter(service)
	c.demand.InFlight++
	c.demand.MemoryTokens += memoryTokens
}

// RecordEnd ends what RecordStart counted. held is the time for which the request held
// its place; zero means that it did not run.
func (t *Table) RecordEnd(service string, memoryTokens int, held time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counter(service)
	c.demand.InFlight--
	c.demand.MemoryTokens -= memoryTokens
	if held <= 0 {
		return
	}
	if old := c.holdTime(now); old == 0 {
		c.demand.HoldTime = held
	} else {
		c.demand.HoldTime = old + time.Duration(holdSmoothing*float64(held-old))
	}
	c.heldAt = now
}

// SetWaiting replaces the number of requests that wait for admission. Changes are numbered
// from 1, and one that a later change has overtaken is ignored.
func (t *Table) SetWaiting(service string, waiting int, change uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.counter(service); change > c.change {
		c.demand.Waiting, c.change = waiting, change
	}
}

// Service returns this instance's demand for the service.
func (t *Table) Service(service string, now time.Time) Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, found := t.local[service]
	if !found {
		return Demand{}
	}
	return c.at(now)
}

// Local returns this instance's demand by service.
func (t *Table) Local(now time.Time) map[string]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := make(map[string]Demand, len(t.local))
	for service, c := range t.local {
		local[service] = c.at(now)
	}
	return local
}
