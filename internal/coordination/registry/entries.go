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

// entryState is the local copy of the upstream entries and the state of reading
// them.
type entryState struct {
	outageTracker
	after    Revision // up to which this instance has read the entries itself
	afterEra Era      // of after
	// position is the state of the store up to which byID is complete, by this instance's
	// reads or those of its readers. What was read at an older one changes nothing.
	position Position
	// readAll means that the next read returns all entries. It is set after a failed
	// read and while this instance relies on a reader, because the changes since
	// after may then be too many to arrive within readTimeout.
	readAll bool
	byID    map[model.UpstreamID]Entry
	// byAddress holds the newest upstream at each address.
	byAddress map[string]model.UpstreamID
	// discovered holds upstreams that answered at the address of a lost upstream
	// while the store was out of reach, and that have no entry yet.
	discovered  map[model.UpstreamID]bool
	removalDue  map[model.UpstreamID]time.Time // when to drop each upstream whose entry is gone
	unreadFrom  time.Time                      // last read, by any known instance, before the last outage
	outageEnd   time.Time                      // first read after it; zero means that there was none
	readSince   time.Time                      // since when there has been no outage
	lastChanged map[model.UpstreamID]time.Time // when a change of each entry was last received
	readAt      time.Time                      // last successful read of the store, by any instance
	ownReadAt   time.Time                      // last successful read of the store by this instance
	restoredEra Era                            // begun by the last restore that was applied here
	restoredAt  time.Time                      // when it was learned of
	gone        goneEntries
}

func newEntryState(logger log.Interface) entryState {
	return entryState{
		outageTracker: outageTracker{log: logger, table: "entries"},
		lastChanged:   map[model.UpstreamID]time.Time{},
		byID:          map[model.UpstreamID]Entry{},
		byAddress:     map[string]model.UpstreamID{},
		discovered:    map[model.UpstreamID]bool{},
		removalDue:    map[model.UpstreamID]time.Time{},
		gone:          goneEntries{},
	}
}

// readEntries polls the reader for changes or, if this instance is to read the
// store itself, reads the entries there and schedules the next read.
func (m *Manager) readEntries() {
	started := time.Now()
	m.checkLostReaders(started)
	if m.dropRemoved(started) {
		m.configureUpstreams()
	}
	reader := m.reader(started)
	if reads := reader.ID == m.opts.Self.ID; m.readsStore.Swap(reads) != reads && reads {
		// What silenced the reader may have silenced connections of earlier reads.
		m.opts.Store.CloseIdle()
	}
	m.findRootReader()
	if !m.readsStore.Load() {
		m.entries.readAll = true
		m.pollReader(reader)
		return
	}
	after, since := m.entries.after, m.entries.afterEra
	if m.entries.readAll {
		after = 0
	}
	call := func(ctx context.Context) (Entries, error) { return m.opts.Store.Entries(ctx, after) }
	readStore(m, &m.entriesLoop, readTimeout, call, func(got Entries, err error) {
		if err == nil {
			err = m.checkAnswer(&got.Era, since, after == 0)
		}
		if errors.Is(err, errNewEra) {
			m.entries.readAll = true
			m.readEntries()
			return
		}
		m.entriesFail.Store(err != nil)
		repeats := m.entries.repeatsAtOnce(err, time.Now())
		if !repeats && m.entries.record(err) {
			m.restartRules(started)
		}
		wait := m.limits.entryReadInterval() - time.Since(started)
		switch {
		case repeats:
			m.entries.readAll = true
			wait = 0
		case err != nil:
			m.entries.readAll = true
			if m.opts.Peers != nil {
				m.storeLostUntil = time.Now().Add(avoidStoreFor)
				m.checkLostReadersNow()
			}
			if m.hasReader() {
				m.readEntries() // another instance may have read the store
			} else {
				m.retryEntries(time.Now().Add(m.readRetryPause()))
			}
			return
		default:
			if !m.storeLostUntil.IsZero() {
				m.checkLostReadersNow()
			}
			m.storeLostUntil = time.Time{}
			m.applyEntries(got)
		}
		m.entriesLoop.after(max(wait, 0), m.readEntries)
	})
	m.seekSourceDuring(m.entriesLoop.step, slowReadTime)
}

// retryEntries reads the entries at the given time. Until then it checks lost readers, and
// polls one of them as soon as that one has entries that are fresh enough.
func (m *Manager) retryEntries(at time.Time) {
	now := time.Now()
	m.retryAt = at
	m.checkLostReaders(now)
	if !now.Before(at) || m.hasReader() {
		m.readEntries()
		return
	}
	next := at
	for _, due := range m.lostReaders {
		next = earlierOf(next, due)
	}
	if from := m.otherCellsFrom(); now.Before(from) {
		next = earlierOf(next, from)
	}
	m.entriesLoop.after(next.Sub(now), func() { m.retryEntries(at) })
}

// waitsToRetry reports whether this instance waits to repeat a failed read of the entries.
func (m *Manager) waitsToRetry() bool {
	return !m.entries.failedSince.IsZero() && m.entriesLoop.waits()
}

// applyEntries applies a read of the store. A read at an older revision than what is
// known is ignored.
func (m *Manager) applyEntries(got Entries) {
	s := &m.entries
	m.keepEntries(time.Now())
	position := Position{got.Era, got.Revision}
	if position.Before(s.position) {
		m.opts.Log.WithField("revision", got.Revision).WithField("known", s.position.Revision).WithField("era", got.Era.Number()).Warn("stale entries ignored")
		return
	}
	now := time.Now()
	s.after, s.afterEra, s.readAll = got.Revision, got.Era, false
	m.cursor = Cursor{} // the changes since an earlier poll may undo what was read here
	m.recordRead(now, m.opts.Self.ID, 0)
	m.recordCellRead(m.opts.Self.ID, now)
	isFirst := s.ownReadAt.Before(s.outageEnd)
	s.ownReadAt = now
	s.position = position
	m.shareEra(position.Era)
	m.applyChanges(got, func(id model.UpstreamID, now time.Time) time.Time { return s.removalTime(id, isFirst, now) }, false)
	m.sharePosition()
	if isFirst && !s.wasRestored() {
		m.askOthersOfOutage()
	}
	for id := range s.discovered {
		m.scheduleRemoval(id, s.readAt.Add(outageGrace), now)
		delete(s.discovered, id)
	}
}

// removeImmediately is the removal time of entries that a reader reports as
// removed: the reader has already applied the delay.
func removeImmediately(_ model.UpstreamID, now time.Time) time.Time { return now }

// deltaRemovalTime returns the removal time of entries that a delta shows as removed. A reader
// that started after a restore does not know the entries that the restored store lacks, so that
// its snapshot shows as removed what other instances keep for a while.
func (s *entryState) deltaRemovalTime(snapshot bool, now time.Time) func(model.UpstreamID, time.Time) time.Time {
	if !snapshot || !now.Before(s.restoredAt.Add(outageGrace)) {
		return removeImmediately
	}
	isFirst := s.ownReadAt.Before(s.outageEnd)
	return func(id model.UpstreamID, now time.Time) time.Time { return s.removalTime(id, isFirst, now) }
}

// removalTime returns when to drop an upstream whose entry was removed. After an
// outage, entries that expired meanwhile are written again, so their removal is
// delayed. An entry that changed since the outage was removed by its upstream,
// and the removal takes effect at once. isFirst says that the read which shows the removal
// is this instance's first one after the outage.
func (s *entryState) removalTime(id model.UpstreamID, isFirst bool, now time.Time) time.Time {
	due := s.outageEnd.Add(outageGrace)
	switch {
	case s.lastChanged[id].After(s.outageEnd), !due.After(now):
		return now
	case isFirst:
		return due
	default:
		return earlierOf(due, now.Add(lateRemovalDelay))
	}
}

// applyChanges applies changes of entries to the table of upstreams. removalTime
// returns the time at which a removal takes effect. polled means that a reader sent the changes.
func (m *Manager) applyChanges(got Entries, removalTime func(model.UpstreamID, time.Time) time.Time, polled bool) {
	s := &m.entries
	now := time.Now()
	for _, e := range got.Changed {
		old, known := s.byID[e.Upstream.ID]
		if got.isLapsed(e.Upstream.ID) {
			if known {
				m.shareEntry(entryChange{entry: old, lapsed: true})
			}
			continue
		}
		if known && s.restoredEra > 0 {
			e = e.after(old)
		}
		if !known && s.restoredEra > 0 && s.gone.covers(e, polled, now) {
			m.opts.Log.WithField("upstream", string(e.Upstream.ID)).WithField("incarnation", e.Incarnation).WithField("sequence", e.Sequence).
				Info("upstream entry from before its removal ignored")
			continue
		}
		delete(s.gone, e.Upstream.ID)
		_, wasLapsed := s.removalDue[e.Upstream.ID]
		delete(s.removalDue, e.Upstream.ID)
		delete(s.discovered, e.Upstream.ID)
		if !known || !got.Snapshot || e.Incarnation != old.Incarnation || e.Sequence != old.Sequence {
			s.lastChanged[e.Upstream.ID] = now
		}
		m.storeEntry(e, wasLapsed)
		m.resolveAddress(e, known)
	}
	for _, id := range s.removedUpstreams(got) {
		m.scheduleRemoval(id, removalTime(id, now), now)
	}
	m.dropRemoved(now)
	m.configureUpstreams()
	for _, e := range got.Changed {
		if stored, known := s.byID[e.Upstream.ID]; known { // it may be newer than e
			m.applyReport(stored)
		}
	}
}

// after returns the entry as it counts if old was known before: a restored store may show an
// older state of it. What an upstream said last is kept, and it stays leaving.
func (e Entry) after(old Entry) Entry {
	switch {
	case e.Incarnation < old.Incarnation, e.Incarnation == old.Incarnation && e.Sequence < old.Sequence:
		return old
	case e.Incarnation == old.Incarnation:
		e.Leaving = e.Leaving || old.Leaving
	}
	return e
}

// wasRestored reports whether the last outage is that of a restore. Other instances have
// read the store all along then, and still entries are missing that will come back.
func (s *entryState) wasRestored() bool {
	return !s.restoredAt.IsZero() && s.outageEnd.Before(s.restoredAt.Add(outageGrace))
}

// scheduleRemoval drops an upstream whose entry was removed at the given time. Until then
// its entry has lapsed, which the instances that poll this one are told.
func (m *Manager) scheduleRemoval(id model.UpstreamID, due, now time.Time) {
	s := &m.entries
	_, pending := s.removalDue[id]
	if pending && due.After(now) {
		return // the first read that showed the removal decides
	}
	s.removalDue[id] = due
	if e, known := s.byID[id]; known && due.After(now) {
		m.shareEntry(entryChange{entry: e, lapsed: true})
	}
}

// resolveAddress drops the older of two upstreams that have the same address. The
// entry of a crashed upstream stays for some renewal intervals, in which another
// upstream may already use its address. known means that e replaces an earlier
// entry of the same upstream.
func (m *Manager) resolveAddress(e Entry, known bool) {
	s := &m.entries
	address := e.Upstream.Address
	other, taken := s.byID[s.byAddress[address]]
	if !taken || other.Upstream.ID == e.Upstream.ID || other.Upstream.Address != address {
		s.byAddress[address] = e.Upstream.ID
		return
	}
	if newerThan(other, e) || (known && !newerThan(e, other)) {
		s.removalDue[e.Upstream.ID] = time.Time{}
		return
	}
	s.removalDue[other.Upstream.ID] = time.Time{}
	s.byAddress[address] = e.Upstream.ID
}

// newerThan reports whether e is from a later start than the other entry.
func newerThan(e, than Entry) bool { return e.Incarnation > than.Incarnation }

// storeEntry stores the entry. It logs and shares an entry that is new, has lapsed before,
// has restarted or begins to leave, but not a mere renewal.
func (m *Manager) storeEntry(e Entry, wasLapsed bool) {
	old, known := m.entries.byID[e.Upstream.ID]
	m.entries.byID[e.Upstream.ID] = e
	if known && !wasLapsed && old.Leaving == e.Leaving && old.Incarnation == e.Incarnation {
		return
	}
	m.shareEntry(entryChange{entry: e})
	m.opts.Log.WithField("upstream", string(e.Upstream.ID)).
		WithField("service", e.Upstream.Serves).
		WithField("address", e.Upstream.Address).
		WithField("leaving", e.Leaving).
		WithField("revision", m.entries.position.Revision).
		Info("upstream entry")
}

// UpstreamDiscovered adds an upstream that answered at the address of a lost upstream. While
// the store can be read, Found does nothing, because the entry of the upstream
// arrives from there. It may be called from any goroutine.
func (m *Manager) UpstreamDiscovered(up model.Upstream) {
	m.opts.Pool.Post(keyEntries, worker.Func(func() {
		s := &m.entries
		if _, known := s.byID[up.ID]; known || time.Since(s.readAt) < m.limits.maxEntriesAge(0) {
			return
		}
		s.discovered[up.ID] = true
		e := Entry{Upstream: up}
		m.storeEntry(e, false)
		m.resolveAddress(e, false)
		m.dropRemoved(time.Now())
		m.configureUpstreams()
	}))
}

// removedUpstreams returns the upstreams that no longer have an entry.
func (s *entryState) removedUpstreams(got Entries) []model.UpstreamID {
	if !got.Snapshot {
		return got.Removed
	}
	present := make(map[model.UpstreamID]bool, len(got.Changed))
	for _, e := range got.Changed {
		present[e.Upstream.ID] = true
	}
	var removed []model.UpstreamID
	for id := range s.byID {
		if !present[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

// dropRemoved drops the upstreams whose removal is due, and reports whether there were any.
func (m *Manager) dropRemoved(now time.Time) (dropped bool) {
	s := &m.entries
	for id, due := range s.removalDue {
		if now.Before(due) {
			continue
		}
		delete(s.removalDue, id)
		if e, known := s.byID[id]; known {
			dropped = true
			delete(s.byID, id)
			delete(s.lastChanged, id)
			s.gone.add(e, now)
			m.shareEntry(entryChange{entry: e, removed: true})
			s.log.WithField("upstream", string(id)).WithField("revision", s.position.Revision).Info("upstream entry is gone")
		}
	}
	return dropped
}

// configureUpstreams makes the table of upstreams match the entries.
func (m *Manager) configureUpstreams() {
	all := make([]model.Upstream, 0, len(m.entries.byID))
	for _, e := range m.entries.byID {
		all = append(all, e.Upstream)
	}
	m.opts.Upstreams.Configure(all)
}

// applyReport applies the state in an entry to the table of upstreams.
func (m *Manager) applyReport(e Entry) {
	health := upstream.HealthUp
	if e.Leaving {
		health = upstream.HealthLeaving
	}
	m.opts.Upstreams.ApplyEntry(upstream.Report{
		Upstream:    e.Upstream.ID,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Health:      health,
		At:          time.Now(),
	})
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
