package membership

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// ListedInstance is an instance in the platform's list. The list lags, so the address in
// an entry is only a hint, but Leaving is final for an incarnation.
type ListedInstance struct {
	ID             model.InstanceID
	Incarnation    uint64 // zero if the platform does not know it
	ControlAddress string
	Leaving        bool
}

// Lister reads the platform's list of instances. It blocks on the network. It
// may return the result of an earlier call, see ReadInterval.
type Lister interface {
	ListInstances(ctx context.Context) ([]ListedInstance, error)
}

// Limits of reading the platform's list.
const (
	listTimeout = 5 * time.Second
	// listRate is the rate in bytes/s at which one instance may read the list, a
	// third of the 22 kB/s for control traffic. The longer the list, the less often
	// each instance reads it; gossip spreads the changes that one instance reads.
	listRate = 6600
	// maxReadInterval fits the list at the target scale (790 kB). The 640 instances
	// there make 5.3 reads/s in total, so one of them soon reads a change.
	maxReadInterval = 2 * time.Minute
)

// ReadInterval returns the shortest time between two readings by one instance of
// a list with the given size in bytes.
func ReadInterval(bytes int) time.Duration {
	return min(time.Duration(bytes)*time.Second/listRate, maxReadInterval)
}

// Seeds holds addresses of other instances with which to start gossip. It is used
// under one worker key and has no lock.
type Seeds struct {
	configured []string // from the settings
	listed     []string // from the platform
	next       int
}

// NewSeeds returns seeds with the peer addresses from the settings.
func NewSeeds(peers []string) *Seeds {
	return &Seeds{configured: slices.Clone(peers)}
}

// SetListed replaces the addresses of the platform's list.
func (s *Seeds) SetListed(list []ListedInstance) {
	s.listed = s.listed[:0]
	for _, l := range list {
		if l.ControlAddress != "" && !l.Leaving {
			s.listed = append(s.listed, l.ControlAddress)
		}
	}
}

// Next returns the next address in turn that is not known, or "".
func (s *Seeds) Next(known func(address string) bool) string {
	all := slices.Concat(s.configured, s.listed)
	for range all {
		address := all[s.next%len(all)]
		s.next++
		if !known(address) {
			return address
		}
	}
	return ""
}

// Poll reads the platform's list at the given interval and calls then with each
// list, under the key. A failed reading is skipped, so that while the platform is
// down the last list stays in use.
func Poll(pool *worker.Pool, key worker.Key, lister Lister, interval time.Duration, then func([]ListedInstance)) {
	worker.Call(pool, key, listTimeout, lister.ListInstances, func(list []ListedInstance, err error) {
		if err == nil {
			then(list)
		}
		pool.After(interval, key, worker.Func(func() { Poll(pool, key, lister, interval, then) }))
	})
}
