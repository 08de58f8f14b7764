package locality

import "github.com/sequoiavalve/sequoiavalve/internal/state/model"

// Costs of a failure domain for one request. 1 is an upstream that the own cell keeps busy in
// all of its places.
const (
	// leaveCost is the cost of leaving for a request that the shares keep at home, beside
	// that of the load there.
	leaveCost = 0.2
	// returnCost is the cost of staying for a request that the shares send out.
	returnCost = 0.2
)

// Choice is where the shares want one request to go.
type Choice struct {
	shares Shares
	domain model.FailureDomain
}

// Choose returns where a request goes. point is from 0 to 1 and evenly spread over
// requests.
func (s Shares) Choose(point float64) Choice {
	c := Choice{shares: s, domain: s.Home}
	for _, t := range s.Targets {
		if point < t.Share {
			c.domain = t.Domain
			break
		}
		point -= t.Share
	}
	return c
}

// Cost returns the cost of a domain for the request. It must be called only if the shares
// are active.
func (c Choice) Cost(domain model.FailureDomain) float64 {
	switch domain {
	case c.domain:
		return 0
	case c.shares.Home:
		return returnCost
	}
	// The own cell sees nearly all work of its part at home, but next to nothing of what the
	// callers of the other domain put on its upstreams.
	return leaveCost + c.shares.target(domain).Load/float64(max(c.shares.HomeCells, 1))
}

// Domain returns the domain that the request should go to.
func (c Choice) Domain() model.FailureDomain { return c.domain }
