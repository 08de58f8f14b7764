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
	listTimeout = 5 * time.Second
	// listRate bounds what one instance reads of the list, in bytes a second: a
	// third of the 22 kB/s for control. A list that grows is read less often by
	// each instance; what one finds, gossip spreads.
	listRate = 6600
	// maxReadInterval is what the list of the target scale needs (790 kB). Its
	// 640 instances then make 5.3 reads/s, so one of them finds a change soon.
	maxReadInterval = 2 * time.Minute
)

// ReadInterval is the shortest time between two readings by one instance of a
// list of so many bytes.
func ReadInterval(bytes int) time.Duration {
	return min(time.Duration(bytes)*time.Second/listRate, maxReadInterval)
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
func Poll(pool *worker.Pool, key worker.Key, lister Lister, interval time.Duration, then func([]Listed)) {
	worker.Call(pool, key, listTimeout, lister.ListInstances, func(list []Listed, err error) {
		if err == nil {
			then(list)
		}
		pool.After(interval, key, worker.Func(func() { Poll(pool, key, lister, interval, then) }))
	})
}
