package registry

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// An outage of the store is a time in which no instance read it. Upstreams could not renew
// their entries then, so entries that are missing afterwards may come back. That one
// instance could not read the store says nothing about the upstreams: their entries are
// missing because they have left. An instance that regains the store takes the time in
// which it knew of no read for an outage, and asks others whether they read meanwhile.

// maxOutageAsks is the number of instances that one which regained the store asks.
const maxOutageAsks = 5

// askOthersOfOutage asks other members of the cell whether the store was read in the time
// that this instance takes for an outage. It runs under keyEntries.
func (m *Manager) askOthersOfOutage() {
	if m.opts.Peers == nil {
		return
	}
	others := append(m.otherMembers(), m.otherCellReaders()...)
	for _, in := range others[:min(len(others), maxOutageAsks)] {
		m.askAges(in, func(delta Delta, err error) {
			if err == nil {
				m.reviewOutage(delta.Ages, in.ID, time.Now())
			}
		})
	}
}

// reviewOutage takes the last outage back if another instance, whose data have these ages,
// read the store all along. What was put off for the outage takes effect.
func (m *Manager) reviewOutage(ages Ages, from model.InstanceID, now time.Time) {
	s := &m.entries
	if s.outageEnd.IsZero() || ages.ReadFor == 0 || s.wasRestored() {
		return
	}
	last := now.Add(-ages.Entries)
	since := last.Add(-ages.ReadFor)
	if since.After(s.unreadFrom.Add(m.limits.minOutage())) || last.Before(s.outageEnd.Add(-m.limits.minOutage())) {
		return
	}
	m.opts.Log.WithField("instance", string(from)).WithField("read_for_ms", ages.ReadFor.Milliseconds()).Info("store had no outage, another instance read it")
	s.outageEnd, s.readSince = time.Time{}, since
	for id, due := range s.removalDue {
		if due.After(now) {
			s.removalDue[id] = now
		}
	}
	if m.dropRemoved(now) {
		m.configureUpstreams()
	}
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	m.sharedReadSince = since
}
