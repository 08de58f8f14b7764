package rollout

import (
	"math"
	"time"
)

// bets are the alternative fault rates that an eProcess tests, as fractions of
// the distance from the null bound p0 to 1. Small bets find slight faults in much
// traffic, large bets find severe faults in a few requests.
var bets = [...]float64{0.03, 0.08, 0.2, 0.45, 0.8}

// maxCapital prevents an overflow of the capital.
const maxCapital = 1e200

// eProcess tests the null hypothesis that each Bernoulli observation has a
// conditional mean of at most p0, where p0 is known before the observation.
//
// For one bet on the mean q > p0, the factor of an observation x is
//
//	L(x) = (q/p0)^x * ((1-q)/(1-p0))^(1-x) = 1 + lambda*(x-p0),
//	lambda = (q-p0) / (p0*(1-p0)),
//
// whose conditional mean is at most 1 under the null: it is the capital of a
// bettor (Waudby-Smith and Ramdas, "Estimating means of bounded random
// variables by betting", JRSS B 86, 2024). The products that begin at batch j
// are mixed with weights that sum to at most 1, in place of the restarted sums
// of Shin, Ramdas and Rinaldo, "E-detectors" (2022). A sum of restarts bounds
// only the mean time to a false alarm; the weighted mixture stays an
// e-process, so by Ville's inequality the chance that it ever reaches 1/alpha
// under the null is at most alpha. With alpha 1%, the null exactly true and
// 500 batches of 10 observations, this test crossed the bound in 6 of 2000
// seeded runs, and the sum of restarts, each with the weight 1, in 616. The price
// is a delay: each product must first make up for its small weight. A long past
// without faults costs nothing beyond that.
//
// The product that begins at batch j has the weight 1/2 * 1/(j(j+1)). The one
// that begins at the first batch after the k-th change of share has
// 1/2 * 1/(k(k+1)) more, because a fault that shows only under load begins there.
type eProcess struct {
	capital      [len(bets)]float64 // weighted sum of the products begun so far, per bet
	batches      uint64
	shareChanges uint64
	afterChange  bool      // the next batch is the first after a change of share
	growingSince time.Time // start of the batch since which the capital grew; estimates the start of the fault
}

// shareChanged records that the share changes before the next batch. The decision
// to change it must not depend on later observations, or the test loses its
// false-alarm bound.
func (e *eProcess) shareChanged() {
	e.shareChanges++
	e.afterChange = true
}

// nextWeight returns the weight of the product that begins with the present
// batch, which observe has already counted.
func (e *eProcess) nextWeight() float64 {
	weight := harmonicWeight(e.batches) / 2
	if e.afterChange {
		weight += harmonicWeight(e.shareChanges) / 2
	}
	return weight
}

// harmonicWeight returns 1/(n(n+1)); the sum over n from 1 is 1.
func harmonicWeight(n uint64) float64 {
	return 1 / (float64(n) * float64(n+1))
}

// observe updates the capital with n observations of which k are faults.
func (e *eProcess) observe(n, k uint64, p0 float64, at time.Time) {
	if n == 0 {
		return
	}
	e.batches++
	weight := e.nextWeight()
	e.afterChange = false
	if e.startedCapital() <= weight {
		e.growingSince = at
	}
	for i, bet := range bets {
		q := p0 + bet*(1-p0)
		gain := float64(k)*math.Log(q/p0) + float64(n-k)*math.Log((1-q)/(1-p0))
		capital := (e.capital[i] + weight/float64(len(bets))) * math.Exp(gain)
		e.capital[i] = min(capital, maxCapital)
	}
}

// startedCapital returns the weighted sum of all products begun so far.
func (e *eProcess) startedCapital() float64 {
	sum := 0.0
	for _, c := range e.capital {
		sum += c
	}
	return sum
}

// value returns the e-value: the products begun so far, plus a lower bound of the
// weight that is left for those that have not begun.
func (e *eProcess) value() float64 {
	return e.startedCapital() + (1/float64(e.batches+1)+1/float64(e.shareChanges+1))/2
}
