package membership

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Listed is an instance in the platform's list. The list lags, so an entry is
// only a hint for an address, but leaving is final for an incarnation.
type Listed struct {
	ID             model.InstanceID
	Incarnation    uint64 // zero when the platform does not know it
	ControlAddress string
	Leaving        bool
}

// Lister reads the platform's list of instances. It blocks on the network. It
// may return the list of an earlier call, see ReadInterval.
type Lister interface {
	ListInstances(ctx context.Context) ([]Listed, error)
}

// Times of reading the platform's list.
const (
	listInterval = 10 * time.Second
	listTimeout  = 5 * time.Second
	// readPerInstance makes the instances of a region read the list in turn: what
	// one finds, gossip spreads. The list of the target scale has 790 kB. One read
	// in 120 s by each of the 160 instances of a region takes 6.6 kB/s, a third of
	// the budget of 22 kB/s.
	readPerInstance = 750 * time.Millisecond
	maxReadInterval = 2 * time.Minute
)

// ReadInterval is the time between two readings of the platform's list by one
// of so many live instances in a region.
func ReadInterval(live int) time.Duration {
	return min(max(time.Duration(live)*readPerInstance, listInterval), maxReadInterval)
}

// Seeds holds the addresses at which other instances may be found before
// gossip knows them. It is used under one worker key and has no lock.
type Seeds struct {
	fixed  []string // from the settings
	listed []string // from the platform
	next   int
}

// NewSeeds returns the seeds of the settings.
func NewSeeds(peers []string) *Seeds {
	return &Seeds{fixed: slices.Clone(peers)}
}

// SetListed replaces the addresses of the platform's list.
func (s *Seeds) SetListed(list []Listed) {
	s.listed = s.listed[:0]
	for _, l := range list {
		if l.ControlAddress != "" && !l.Leaving {
			s.listed = append(s.listed, l.ControlAddress)
		}
	}
}

// Next returns the next address in turn that is not known, or "".
func (s *Seeds) Next(known func(address string) bool) string {
	all := slices.Concat(s.fixed, s.listed)
	for range all {
		address := all[s.next%len(all)]
		s.next++
		if !known(address) {
			return address
		}
	}
	return ""
}

// Poll reads the platform's list at each interval and hands it over under the
// key. While the platform is down the last list stays.
func Poll(pool *worker.Pool, key worker.Key, lister Lister, then func([]Listed)) {
	worker.Call(pool, key, listTimeout, lister.ListInstances, func(list []Listed, err error) {
		if err == nil {
			then(list)
		}
		pool.After(listInterval, key, worker.Func(func() { Poll(pool, key, lister, then) }))
	})
}
