package registry

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// entryState is what is known of the upstreams' table.
type entryState struct {
	duty
	after Revision
	known map[model.UpstreamID]Entry
	// byAddress holds the newest upstream at each address.
	byAddress map[string]model.UpstreamID
	// found holds upstreams that were met at the address of a lost one while
	// the store was away, and that have no entry yet.
	found   map[model.UpstreamID]bool
	missing map[model.UpstreamID]time.Time // entries that are gone, with the time at which that counts
	back    time.Time                      // end of the last outage
	readAt  time.Time                      // of the last read that succeeded
}

func newEntryState(logger log.Interface) entryState {
	return entryState{
		duty:      duty{log: logger, what: "entries"},
		known:     map[model.UpstreamID]Entry{},
		byAddress: map[string]model.UpstreamID{},
		found:     map[model.UpstreamID]bool{},
		missing:   map[model.UpstreamID]time.Time{},
	}
}

// readEntries asks the cell's reader for changes, or reads them from the store
// and plans the next read.
func (m *Manager) readEntries() {
	started := time.Now()
	reader := m.reader(started)
	m.direct.Store(reader.ID == m.opts.Self.ID)
	if !m.direct.Load() {
		m.follow(reader)
		return
	}
	call := func(ctx context.Context) (Entries, error) { return m.opts.Store.Entries(ctx, m.entries.after) }
	worker.Call(m.opts.Pool, keyEntries, callTimeout, call, func(got Entries, err error) {
		m.entries.noteOutage(err)
		wait := time.Duration(entryShare*float64(m.opts.LeaveTime)) - time.Since(started)
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.entries.after = 0
			wait = 0
		case err != nil:
			wait = m.retryWait()
			if m.opts.Peers != nil {
				m.avoid[m.opts.Self.ID] = time.Now().Add(avoidReader)
			}
		default:
			m.applyEntries(got)
		}
		m.opts.Pool.After(max(wait, 0), keyEntries, worker.Func(m.readEntries))
	})
}

// noteOutage remembers when the store came back.
func (s *entryState) noteOutage(err error) {
	if errors.Is(err, ErrHistoryGone) {
		return
	}
	if err == nil && !s.failed.IsZero() {
		s.back = time.Now()
	}
	s.result(err)
}

// applyEntries takes in a read of the store. One that is older than what is
// known is ignored.
func (m *Manager) applyEntries(got Entries) {
	s := &m.entries
	if got.Revision < s.after {
		m.opts.Log.WithField("revision", got.Revision).WithField("known", s.after).Warn("stale entries ignored")
		return
	}
	s.after = got.Revision
	m.noteRead(time.Now())
	m.takeChanges(got)
	for id := range s.found {
		s.missing[id] = s.readAt.Add(returnGrace)
		delete(s.found, id)
	}
}

// takeChanges brings the table of upstreams up to date.
func (m *Manager) takeChanges(got Entries) {
	s := &m.entries
	now := time.Now()
	for _, e := range got.Changed {
		delete(s.missing, e.Upstream.ID)
		delete(s.found, e.Upstream.ID)
		m.noteEntry(e)
		m.dropPredecessors(e)
	}
	for _, id := range s.removed(got) {
		if _, noted := s.missing[id]; !noted {
			s.missing[id] = laterOf(now, s.back.Add(returnGrace))
		}
	}
	m.dropMissing(now)
	m.configure()
	for _, e := range got.Changed {
		m.report(e)
	}
}

// dropPredecessors forgets the upstreams whose address a new one has. Entries of
// crashed upstreams stay for some intervals, while the address is in use again.
func (m *Manager) dropPredecessors(e Entry) {
	s := &m.entries
	if s.byAddress[e.Upstream.Address] == e.Upstream.ID {
		return
	}
	for id, old := range s.known {
		if id != e.Upstream.ID && old.Upstream.Address == e.Upstream.Address && !newerThan(old, e) {
			s.missing[id] = time.Time{}
		}
	}
	s.byAddress[e.Upstream.Address] = e.Upstream.ID
}

// newerThan reports whether the entry is of a later start. Entries that do not
// tell count as older than one that appeared after them.
func newerThan(e, than Entry) bool { return e.Incarnation > than.Incarnation }

// noteEntry keeps the entry. One that is new, restarted or begins to leave is
// logged and told to the others; one that only lives on is not.
func (m *Manager) noteEntry(e Entry) {
	old, known := m.entries.known[e.Upstream.ID]
	m.entries.known[e.Upstream.ID] = e
	if known && old.Leaving == e.Leaving && old.Incarnation == e.Incarnation {
		return
	}
	m.noteChange(change{entry: e})
	m.opts.Log.WithField("upstream", string(e.Upstream.ID)).
		WithField("service", e.Upstream.Serves).
		WithField("address", e.Upstream.Address).
		WithField("leaving", e.Leaving).
		WithField("revision", m.entries.after).
		Info("upstream entry")
}

// Found takes in an upstream that was met at the address of a lost one. While
// the store answers, its entry is awaited instead. It may be called from any
// goroutine.
func (m *Manager) Found(up model.Upstream) {
	m.opts.Pool.Post(keyEntries, worker.Func(func() {
		s := &m.entries
		if _, known := s.known[up.ID]; known || time.Since(s.readAt) < freshFor {
			return
		}
		s.found[up.ID] = true
		e := Entry{Upstream: up}
		m.noteEntry(e)
		m.dropPredecessors(e)
		m.dropMissing(time.Now())
		m.configure()
	}))
}

// removed returns the known upstreams that have no entry any more.
func (s *entryState) removed(got Entries) []model.UpstreamID {
	if !got.Whole {
		return got.Removed
	}
	present := make(map[model.UpstreamID]bool, len(got.Changed))
	for _, e := range got.Changed {
		present[e.Upstream.ID] = true
	}
	var removed []model.UpstreamID
	for id := range s.known {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

// dropMissing forgets the upstreams whose time has come.
func (m *Manager) dropMissing(now time.Time) {
	s := &m.entries
	for id, due := range s.missing {
		if now.Before(due) {
			continue
		}
		delete(s.missing, id)
		if e, known := s.known[id]; known {
			delete(s.known, id)
			m.noteChange(change{entry: e, removed: true})
			s.log.WithField("upstream", string(id)).WithField("revision", s.after).Info("upstream entry is gone")
		}
	}
}

// configure makes the table of upstreams match the entries.
func (m *Manager) configure() {
	all := make([]model.Upstream, 0, len(m.entries.known))
	for _, e := range m.entries.known {
		all = append(all, e.Upstream)
	}
	m.opts.Upstreams.Configure(all)
}

// report hands an entry's state to the table.
func (m *Manager) report(e Entry) {
	health := upstream.HealthUp
	if e.Leaving {
		health = upstream.HealthLeaving
	}
	m.opts.Upstreams.Apply(upstream.Report{
		Upstream:    e.Upstream.ID,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Health:      health,
		At:          time.Now(),
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
