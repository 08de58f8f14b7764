package locality

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
)

const hold = 30 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// calls returns a domain whose callers need so many places.
func calls(name model.FailureDomain, places, need float64) Domain {
	return Domain{Name: name, Places: places, Demand: demand.Demand{Rate: need / hold.Seconds(), HoldTime: hold}}
}

func known(home model.FailureDomain, domains ...Domain) View {
	return View{Home: home, Domains: domains, Known: true}
}

// steady plans each second with the same view until the shares are steady.
func steady(v View) (s Shares) {
	for i := range 60 {
		s = Plan(v, s, start.Add(time.Duration(i)*time.Second))
	}
	return s
}

// Guards against work that leaves although home has room, that stays although it waits
// long, and that goes to a domain which is short itself.
func TestPlan(t *testing.T) {
	for name, test := range map[string]struct {
		view     View
		low, top float64 // bounds of the share that leaves
		reason   Reason
	}{
		"calm":                    {known("a", calls("a", 6, 1.3), calls("b", 6, 1.3), calls("c", 6, 1.3)), 0, 0, ReasonRoom},
		"busy, others idle":       {known("a", calls("a", 6, 5.7), calls("b", 6, 0.5), calls("c", 6, 0.5)), 0.1, 0.5, ReasonShort},
		"twice what home has":     {known("a", calls("a", 6, 12), calls("b", 6, 0.5), calls("c", 6, 0.5)), 0.5, 0.71, ReasonShort},
		"no upstream at home":     {known("a", calls("a", 0, 3), calls("b", 6, 1), calls("c", 6, 1)), 1, 1, ReasonLost},
		"equal overload":          {known("a", calls("a", 6, 9), calls("b", 6, 9), calls("c", 6, 9)), 0, 0, ReasonShortAll},
		"equal high load":         {known("a", calls("a", 6, 4.5), calls("b", 6, 4.5), calls("c", 6, 4.5)), 0, 0, ReasonShortAll},
		"the others have no room": {known("a", calls("a", 6, 12), calls("b", 6, 5.5), calls("c", 6, 5.5)), 0, 0, ReasonShortAll},
		"one domain":              {known("a", calls("a", 6, 12)), 0, 0, ReasonUnknown},
		"no callers":              {known("a", calls("a", 0, 0), calls("b", 6, 2)), 0, 0, ReasonLost},
		"old":                     {View{Home: "a", Known: true, Age: demand.TTL + 1, Domains: []Domain{calls("a", 6, 12), calls("b", 6, 0.5)}}, 0, 0, ReasonUnknown},
		"missing":                 {View{Home: "a", Domains: []Domain{calls("a", 6, 12), calls("b", 6, 0.5)}}, 0, 0, ReasonUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := steady(test.view)
			assert.Equal(t, s.Reason, test.reason)
			assert.Equal(t, s.Active, test.reason != ReasonUnknown)
			assert.Assert(t, s.Out() >= test.low-1e-6 && s.Out() <= test.top+1e-6, "share %v", s.Out())
		})
	}
}

// Guards against a domain that two short ones fill together, and against one that gets
// more than it has room for.
func TestShortDomainsDivideTheRoom(t *testing.T) {
	domains := []Domain{calls("a", 6, 10), calls("b", 6, 8), calls("c", 6, 1), calls("d", 12, 4)}
	sent := map[model.FailureDomain]float64{}
	for _, home := range []model.FailureDomain{"a", "b"} {
		need := map[model.FailureDomain]float64{"a": 10, "b": 8}[home]
		for _, target := range steady(known(home, domains...)).Targets {
			sent[target.Domain] += need * target.Share
		}
	}
	assert.Equal(t, sent["a"]+sent["b"], 0.0)
	for domain, room := range map[model.FailureDomain]float64{"c": receiveLimit*6 - 1, "d": receiveLimit*12 - 4} {
		assert.Assert(t, sent[domain] > 0.95*room && sent[domain] <= room+1e-9, "%s has room for %v and gets %v", domain, room, sent[domain])
	}
}

// Guards against shares that follow a short need too late or end with it at once, and
// against work that still goes to a domain which became short itself.
func TestSharesRiseQuicklyAndFallSlowly(t *testing.T) {
	short := known("a", calls("a", 6, 12), calls("b", 12, 1))
	first := Plan(short, Plan(known("a", calls("a", 6, 1), calls("b", 12, 1)), Shares{}, start), start.Add(time.Second))
	final := steady(short)
	assert.Assert(t, first.Out() > 0.7*final.Out(), "%v of %v after 1 s", first.Out(), final.Out())
	calm := known("a", calls("a", 6, 1), calls("b", 12, 1))
	falling := Plan(calm, final, final.At.Add(time.Second))
	assert.Assert(t, falling.Out() >= final.Out()-lowerRate-1e-9 && falling.Out() < final.Out())
	assert.Equal(t, falling.Reason, ReasonRecovering)
	for range 30 {
		falling = Plan(calm, falling, falling.At.Add(time.Second))
	}
	assert.Equal(t, falling.Out(), 0.0)
	full := known("a", calls("a", 6, 12), calls("b", 12, 11))
	assert.Equal(t, Plan(full, final, final.At.Add(time.Second)).Out(), 0.0)
}

// Guards against a loss that callers feel while a share rises: without upstreams at home
// all work leaves at once.
func TestLostDomainSendsAtOnce(t *testing.T) {
	calm := Plan(known("a", calls("a", 6, 2), calls("b", 6, 1)), Shares{}, start)
	lost := Plan(known("a", calls("a", 0, 2), calls("b", 6, 1)), calm, start.Add(time.Millisecond))
	assert.Equal(t, lost.Out(), 1.0)
	assert.Equal(t, lost.Reason, ReasonLost)
}

// Guards against domains that send each other work, also while a load that is noisy around
// the point at which leaving pays makes first one of them short and then the other.
func TestDomainsDoNotSendEachOtherWork(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		names := []model.FailureDomain{"a", "b", "c"}
		base := map[model.FailureDomain]float64{}
		for _, name := range names {
			base[name] = 6 * (0.3 + 0.9*r.Float64())
		}
		shares := map[model.FailureDomain]Shares{}
		for second := range 60 {
			var domains []Domain
			for _, name := range names {
				domains = append(domains, calls(name, 6, base[name]*(0.9+0.2*r.Float64())))
			}
			previous := map[model.FailureDomain]Shares{}
			for _, name := range names {
				previous[name] = shares[name]
				shares[name] = Plan(known(name, domains...), shares[name], start.Add(time.Duration(second)*time.Second))
				assert.Assert(t, shares[name].Out() <= 1+1e-9 && shares[name].Out() >= 0, "seed %d", seed)
			}
			for _, from := range names {
				for _, to := range names {
					assert.Assert(t, shares[from].target(to).Share == 0 || shares[to].target(from).Share == 0, "seed %d: %s and %s send each other work", seed, from, to)
				}
			}
		}
	}
}

// Guards against requests that the shares send nowhere or to the wrong domain.
func TestChoiceFollowsTheShares(t *testing.T) {
	s := Shares{Active: true, Home: "a", HomeCells: 2, Targets: []Target{{"b", 0.2, 0.5}, {"c", 0.1, 0.5}, {"d", 0, 3}}}
	count := map[model.FailureDomain]int{}
	for i := range 1000 {
		count[s.Choose((float64(i)+0.5)/1000).Domain()]++
	}
	assert.DeepEqual(t, count, map[model.FailureDomain]int{"a": 700, "b": 200, "c": 100})
	home := s.Choose(0.9)
	assert.Equal(t, home.Cost("a"), 0.0)
	assert.Equal(t, home.Cost("b"), leaveCost+0.25)
	assert.Equal(t, home.Cost("d"), leaveCost+1.5)
	away := s.Choose(0.1)
	assert.Equal(t, away.Cost("b"), 0.0)
	assert.Equal(t, away.Cost("a"), returnCost)
}

// BenchmarkPlan measures the plan for one service.
func BenchmarkPlan(b *testing.B) {
	v := known("a", calls("a", 6, 12), calls("b", 6, 0.5), calls("c", 6, 0.5), calls("d", 6, 1))
	b.ReportAllocs()
	for b.Loop() {
		if !Plan(v, Shares{}, start).Active {
			b.Fatal("nothing was decided")
		}
	}
}
