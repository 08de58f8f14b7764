// Package locality decides how much of a service's new work leaves this instance's failure
// domain, and to which other domains.
//
// Another domain costs transfer and delay, so work stays at home unless the wait there is
// longer. The decision counts what the callers of each domain ask, and not what its
// upstreams run: that does not change with where the work runs, so domains that send each
// other work cannot make each other look full or empty in turn. The package must not choose
// upstreams.
package locality

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// RoundTrip is the delay of a request and its answer to and from another failure
	// domain; one way takes 1.4 ms.
	RoundTrip = 2800 * time.Microsecond
	// transferCost is the cost of the bytes of a request that leaves, as a fraction of the
	// time that the request holds its place: both grow with the request. A place that is
	// idle in another domain for want of it is worth more than the transfer.
	transferCost = 0.02
	// receiveLimit is the fraction of a domain's places up to which it may take work of
	// others. The rest is for the bursts of its own callers.
	receiveLimit = 0.7
	// steadyLoad is the load up to which the formula for the wait of a steady queue holds.
	// Beyond it the queue grows, and overloadWait is the wait for a load of one more.
	steadyLoad   = 0.98
	overloadWait = time.Second
	// drainTime is the time in which the requests that wait are to get a place.
	drainTime = time.Second
	// raiseTime is the time in which a share covers half of a rise. A domain that lost its
	// upstreams sends its work out at once.
	raiseTime = 500 * time.Millisecond
	// lowerRate is the most by which a share falls in a second.
	lowerRate = 0.1
	// minShare is the least share. A smaller one is not worth a connection.
	minShare = 0.01
)

// Domain is what is known of one failure domain for a service.
type Domain struct {
	Name   model.FailureDomain
	Places float64       // requests that the domain's usable upstreams can run at once
	Demand demand.Demand // of all callers at instances of the domain
}

// View is what an instance knows of one service in all failure domains.
type View struct {
	Home    model.FailureDomain
	Domains []Domain
	// HomeCells is the number of cells in the home domain, this instance's included.
	HomeCells int
	Age       time.Duration // of the oldest input
	Known     bool          // no input is missing
}

// Reason says why a share is what it is.
type Reason string

// Reasons.
const (
	ReasonUnknown    Reason = "inputs missing or old"
	ReasonRoom       Reason = "home has room"
	ReasonShort      Reason = "home is short"
	ReasonLost       Reason = "home has no upstream"
	ReasonShortAll   Reason = "no other domain has room"
	ReasonRecovering Reason = "home was short"
)

// Target is another failure domain.
type Target struct {
	Domain model.FailureDomain
	Share  float64 // of the new work of this domain that goes there
	Load   float64 // what the domain's callers ask, as a fraction of its places
}

// Shares say where new work of a service goes. The zero value is that nothing is known.
type Shares struct {
	Active   bool // false means that nothing was decided
	Home     model.FailureDomain
	Targets  []Target // the other domains, sorted by name
	HomeLoad float64  // what the callers of the domain ask, as a fraction of its places
	// HomeCells is the number of cells in the domain.
	HomeCells int
	Reason    Reason
	At        time.Time
}

// Out returns the share of new work that leaves the domain.
func (s Shares) Out() (sum float64) {
	for _, t := range s.Targets {
		sum += t.Share
	}
	return sum
}

// target returns the target with the given name.
func (s Shares) target(domain model.FailureDomain) Target {
	for _, t := range s.Targets {
		if t.Domain == domain {
			return t
		}
	}
	return Target{Domain: domain}
}

// domainState is a domain with what follows from its demand.
type domainState struct {
	Domain
	need  float64 // places that its callers' work needs
	hold  time.Duration
	want  float64 // need that it should send out
	spare float64 // places that it has for others
}

// Plan returns the shares that follow the previous ones. Load pattern: the callers or the
// upstreams of a service move between failure domains, or a domain loses its upstreams,
// while other domains have room.
func Plan(v View, previous Shares, now time.Time) Shares {
	states, home, ok := evaluate(v)
	if !ok {
		return Shares{Home: v.Home, Reason: ReasonUnknown, At: now}
	}
	spare, wanted := 0.0, 0.0
	for _, d := range states {
		spare += d.spare
		wanted += d.want
	}
	// All domains compute the same wants, and so divide the spare places without talking.
	granted := 1.0
	if wanted > spare {
		granted = spare / wanted
	}
	out := home.want * granted
	shares := Shares{Active: true, Home: v.Home, HomeLoad: load(home.need, home.Places), HomeCells: v.HomeCells, At: now, Reason: reason(home, out)}
	left := max(spare-wanted, 0) // what nobody wants and a falling share may still use
	for _, d := range states {
		if d.Name == v.Home {
			continue
		}
		part := 0.0
		if spare > 0 {
			part = d.spare / spare
		}
		target := fraction(out*part, home.need)
		limit := fraction((out+left)*part, home.need)
		share := damp(previous.target(d.Name).Share, target, limit, now.Sub(previous.At), home.Places == 0)
		shares.Targets = append(shares.Targets, Target{Domain: d.Name, Share: share, Load: load(d.need, d.Places)})
	}
	slices.SortFunc(shares.Targets, func(a, b Target) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	if shares.Out() > 0 && out == 0 {
		shares.Reason = ReasonRecovering
	}
	return shares
}

// evaluate returns the state of each domain and that of the home domain. It returns false
// if an input is missing or too old.
func evaluate(v View) (states []domainState, home domainState, ok bool) {
	if !v.Known || v.Age > demand.TTL || len(v.Domains) < 2 {
		return nil, home, false
	}
	all := demand.Demand{}
	for _, d := range v.Domains {
		all = all.Plus(d.Demand)
	}
	if all.HoldTime == 0 {
		return nil, home, false
	}
	for _, d := range v.Domains {
		s := domainState{Domain: d, hold: d.Demand.HoldTime}
		if s.hold == 0 {
			s.hold = all.HoldTime
		}
		s.need = need(d.Demand, s.hold)
		states = append(states, s)
	}
	for i := range states {
		states[i].want = want(states, i)
	}
	for i := range states {
		if states[i].want == 0 {
			states[i].spare = max(receiveLimit*states[i].Places-states[i].need, 0)
		}
		if states[i].Name == v.Home {
			home, ok = states[i], true
		}
	}
	return states, home, ok
}

// LeaveTime returns the wait at home that leaving the domain is weighed against, for requests
// that hold their places for the given time.
func LeaveTime(hold time.Duration) time.Duration {
	return RoundTrip + time.Duration(transferCost*float64(hold))
}

// need returns the places that the work of callers needs: those that arrivals hold in the
// mean, or that requests hold now, and those that let the waiting ones run soon.
func need(d demand.Demand, hold time.Duration) float64 {
	running := max(d.Rate*hold.Seconds(), float64(d.InFlight))
	return running + float64(d.Waiting)*min(hold.Seconds()/drainTime.Seconds(), 1)
}

// want returns the need that the domain should send out: the least with which its callers
// do not wait longer at home than elsewhere, the transfer and the delay included.
func want(states []domainState, i int) float64 {
	d := states[i]
	var places, busy float64 // of the other domains
	for k, o := range states {
		if k != i {
			places += o.Places
			busy += o.need
		}
	}
	leave := LeaveTime(d.hold)
	gain := func(sent float64) time.Duration {
		return wait(d.need-sent, d.Places, d.hold) - leave - wait(busy+sent, places, d.hold)
	}
	if d.need == 0 || gain(0) <= 0 {
		return 0
	}
	low, high := 0.0, d.need
	for range 20 {
		if middle := (low + high) / 2; gain(middle) > 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// wait returns the mean wait for a place, by Sakasegawa's approximation for a queue with
// several servers.
func wait(need, places float64, hold time.Duration) time.Duration {
	if places <= 0 {
		if need <= 0 {
			return 0
		}
		return time.Hour // work that cannot run
	}
	rho := need / places
	steady := min(rho, steadyLoad)
	w := hold.Seconds() * math.Pow(steady, math.Sqrt(2*(places+1))-1) / (places * (1 - steady))
	w += overloadWait.Seconds() * max(rho-steadyLoad, 0)
	return time.Duration(min(w, time.Hour.Seconds()) * float64(time.Second))
}

// damp returns the share that follows the previous one on the way to the target. A share
// rises quickly and falls slowly, but never stays above the limit, which is what the other
// domain has room for.
func damp(previous, target, limit float64, passed time.Duration, atOnce bool) float64 {
	share := target
	switch {
	case atOnce:
	case target > previous:
		share = target - (target-previous)*math.Exp2(-passed.Seconds()/raiseTime.Seconds())
	default:
		share = max(previous-lowerRate*max(passed.Seconds(), 0), target)
	}
	if share = min(share, limit); share < minShare {
		return 0
	}
	return share
}

func reason(home domainState, out float64) Reason {
	switch {
	case home.Places == 0:
		return ReasonLost
	case home.want == 0:
		return ReasonRoom
	case out == 0:
		return ReasonShortAll
	default:
		return ReasonShort
	}
}

// load returns the need as a fraction of the places.
func load(need, places float64) float64 {
	if places <= 0 {
		return 1
	}
	return need / places
}

func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return min(part/whole, 1)
}
