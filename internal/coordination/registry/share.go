package registry

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// One instance of each cell, its reader, keeps up with the store, and the other
// members poll the reader for changes. The reader is the first live member by ID.
// The reader of the first cell reads the store, and the readers of the other cells
// poll that reader, so that the number of calls to the store does not grow with
// the deployment. A member whose reader does not answer, or has not read lately,
// polls the next one, which takes the reader's place. If that one is lost too, the
// member reads the store itself for a while: several members may have lost the store
// at once, and trying them one after another would take longer than a change is
// allowed to take. A member that has lost the store polls the others in turn.

// Cursor is the position up to which an instance has a reader's changes.
type Cursor struct {
	ReaderIncarnation uint64 // incarnation of the reader that counts Version
	Version           uint64
	RulesRevision     uint64 // revision of the rules
}

// Delta is the change of a reader's state since a position.
type Delta struct {
	ReaderIncarnation uint64 // incarnation of the reader
	Version           uint64
	Era               Era      // of Revision; 0 from earlier builds
	Revision          Revision // of the store up to which the reader's entries are complete; 0 from earlier builds, and while entries of a new era are applied
	Snapshot          bool     // Changed is a full snapshot of the entries
	Changed           []Entry
	Removed           []model.UpstreamID
	Lapsed            []model.UpstreamID // those of Changed that the store does not have
	// Instances and RemovedInstances are the added or changed and the removed instances. Even if
	// Snapshot is set, Instances may be incomplete.
	Instances        []model.Instance
	RemovedInstances []model.InstanceID
	Rules            *model.RoutingRules // nil unless they are newer
	Moves            []model.VersionMove // all version moves if any of them changed
	Ages             Ages
	Source           model.InstanceID    // instance that last read the entries
	RootReader       model.InstanceID    // instance that the sender takes for the root reader; from earlier builds Source
	RulesBase        *model.RoutingRules // rules that the poller has, for a transfer of the difference; nil if unknown
}

// Peers polls another instance for changes. It blocks until there is a change,
// at most for the given time. current are the rules at the cursor, nil if there are
// none.
type Peers interface {
	Poll(ctx context.Context, from model.Instance, cursor Cursor, current *model.RoutingRules, wait time.Duration) (Delta, error)
}

const (
	// expiryNotice is the time before data get too old to be shared from which on polls
	// return as soon as the data are fresher.
	expiryNotice = maxReaderPollWait
	// maxSharedRemovals is the number of share versions for which a removed entry is
	// kept once there are twice as many entries.
	maxSharedRemovals = 1024
)

// entryChange is the last change of one entry.
type entryChange struct {
	version uint64
	entry   Entry
	removed bool
	lapsed  bool // the store does not have the entry any more
}

// instanceChange is the last change of one instance.
type instanceChange struct {
	version  uint64
	instance model.Instance
	removed  bool
}

// pollReader polls the reader for changes. It runs under keyEntries.
func (m *Manager) pollReader(reader model.Instance) {
	cursor, current := m.cursor, m.opts.Rules.Current()
	if current != nil {
		cursor.RulesRevision = current.Revision
	}
	call := func(ctx context.Context) (Delta, error) {
		return m.opts.Peers.Poll(ctx, reader, cursor, current, m.limits.readerPollWait())
	}
	runCall(&m.entriesLoop, m.limits.readerPollWait()+m.limits.readerPollMargin(), call, func(delta Delta, err error) {
		now := time.Now()
		if err != nil || !m.isSource(delta) {
			m.lostReaders[reader.ID] = now.Add(m.lostReaderCheckDelay(delta, err))
			m.opts.Log.WithField("instance", string(reader.ID)).WithField("age_ms", delta.Ages.Entries.Milliseconds()).
				WithField("rules_age_ms", delta.Ages.Rules.Milliseconds()).WithField("hops", delta.Ages.Hops).
				WithField("source", string(delta.Source)).WithError(err).Warn("reader lost")
		}
		if err == nil && delta.Era > 0 {
			m.noticeEra(delta.Era, string(reader.ID))
			m.keepEntries(now)
		}
		if err == nil && m.isOlder(delta, now) {
			// It would bring back upstreams that are gone. The next poll asks for all, as
			// the changes in this answer are passed over.
			m.cursor = Cursor{}
			m.ApplyRules(delta.Rules, string(reader.ID))
			m.entriesLoop.after(readerCheckInterval, m.readEntries)
			return
		}
		if err == nil {
			m.polledRoot = delta.RootReader
			m.applyDelta(delta, reader)
			if delta.Source != m.opts.Self.ID {
				m.recordRead(now.Add(-delta.Ages.Entries), delta.Source, delta.Ages.Hops+1)
				m.recordCellRead(reader.ID, now.Add(-delta.Ages.Entries))
				m.reviewOutage(delta.Ages, delta.Source, now)
				m.recordRulesFresh(now.Add(-delta.Ages.Rules), delta.Ages.RulesHops+1)
			}
		}
		m.readEntries()
	})
}

// isOlder reports whether what is known here about the entries is newer than the delta.
func (m *Manager) isOlder(delta Delta, now time.Time) bool {
	if position, known := m.position(delta); known {
		return position.Before(m.entries.position)
	}
	read := now.Add(-delta.Ages.Entries)
	switch {
	case delta.Era > 0 && delta.Era < m.entries.position.Era:
		return true
	case delta.Era == 0 && read.Before(m.entries.restoredAt):
		return true
	}
	return delta.Snapshot && read.Before(m.entries.readAt)
}

// position returns the position of a delta, and false if only its age tells how new it is. A
// revision of an earlier build, which knows no eras, counts as one of the present era until a
// restore is known: its sender may not have noticed the restore.
func (m *Manager) position(delta Delta) (p Position, known bool) {
	switch {
	case delta.Revision == 0, delta.Era == 0 && m.entries.restoredEra > 0:
		return Position{}, false
	case delta.Era == 0:
		return Position{m.entries.position.Era, delta.Revision}, true
	}
	return Position{delta.Era, delta.Revision}, true
}

// sharePosition shares the state of the store up to which the entries are complete. The
// changes up to it must be shared already: a poll must not find the position without them.
func (m *Manager) sharePosition() {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	if m.entries.position.Era >= m.sharedPosition.Era {
		m.sharedPosition = m.entries.position
	}
}

// shareEra shares the era of entries that are about to be applied, without a revision until
// sharePosition. A poll that finds the first of them must find their era too: its caller treats
// entries of a restored store in another way.
func (m *Manager) shareEra(era Era) {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	if era > m.sharedPosition.Era {
		m.sharedPosition = Position{Era: era}
	}
}

// recordRead records when the store was last read and by which instance, and how many
// instances its data passed on their way here.
func (m *Manager) recordRead(at time.Time, by model.InstanceID, hops int) {
	s := &m.entries
	if at.Before(s.readAt) {
		return
	}
	switch away := at.Sub(s.readAt); {
	case s.readAt.IsZero():
		s.readSince = at
	case away > m.limits.minOutage():
		s.unreadFrom, s.outageEnd, s.readSince = s.readAt, at, at
		m.opts.Log.WithField("unread_ms", away.Milliseconds()).WithField("read_by", string(by)).Info("store is read again after an outage")
	}
	s.readAt = at
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	defer m.wakeIfAlmostExpired(m.ages())
	m.sharedReadAt, m.sharedReadBy, m.sharedHops, m.sharedReadSince = at, by, hops, s.readSince
}

// recordRulesFresh records until when the rules are known to have been the newest.
// A reader that cannot read the rules must not pass for fresh because of its entries.
func (m *Manager) recordRulesFresh(until time.Time, hops int) {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	if until.After(m.sharedRulesFreshAt) {
		defer m.wakeIfAlmostExpired(m.ages())
		m.sharedRulesFreshAt, m.sharedRulesHops = until, hops
	}
}

// ages returns the ages of the data that this instance shares. The caller holds shareMu.
func (m *Manager) ages() Ages {
	return Ages{
		Entries:   time.Since(m.sharedReadAt),
		Rules:     max(time.Since(m.sharedRulesFreshAt), 0),
		ReadFor:   m.sharedReadAt.Sub(m.sharedReadSince),
		Hops:      m.sharedHops,
		RulesHops: m.sharedRulesHops,
	}
}

// wakeIfAlmostExpired wakes the calls of ServePoll if data of these ages, which have
// been replaced by fresher ones, were almost too old to be shared. The caller holds shareMu.
func (m *Manager) wakeIfAlmostExpired(before Ages) {
	if m.limits.timeLeft(before) <= expiryNotice {
		m.wakeWaiters()
	}
}

// applyDelta applies the changes that a reader returned.
func (m *Manager) applyDelta(delta Delta, reader model.Instance) {
	m.cursor = Cursor{ReaderIncarnation: delta.ReaderIncarnation, Version: delta.Version}
	m.ApplyRules(delta.Rules, string(reader.ID))
	for _, mv := range delta.Moves {
		if m.opts.Moves.Apply(mv, time.Now()) {
			m.opts.Log.WithField("service", mv.Service).WithField("target", mv.Target).WithField("state", string(mv.State)).
				WithField("share", mv.Share).WithField("step", mv.Step).WithField("source", string(reader.ID)).Info("version move in force")
			m.MovesChanged()
		}
	}
	if position, known := m.position(delta); known {
		m.entries.position = position
	}
	m.shareEra(delta.Era)
	if len(delta.Changed) > 0 || len(delta.Removed) > 0 || delta.Snapshot {
		got := Entries{Snapshot: delta.Snapshot, Changed: delta.Changed, Removed: delta.Removed, Lapsed: delta.Lapsed}
		m.applyChanges(got, m.entries.deltaRemovalTime(delta.Snapshot, time.Now()), true)
	}
	m.sharePosition()
	if len(delta.Instances) > 0 || len(delta.RemovedInstances) > 0 {
		m.opts.Pool.Post(keyInstances, worker.Func(func() {
			m.list.unknownSince = time.Time{}
			m.mergeInstances(delta.Instances, delta.RemovedInstances)
			if slices.Contains(delta.RemovedInstances, m.opts.Self.ID) {
				m.reannounce()
			}
		}))
	}
}

// shareEntry records a change of an entry for the instances that poll this one,
// and wakes them.
func (m *Manager) shareEntry(c entryChange) {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	m.shareVersion++
	c.version = m.shareVersion
	m.sharedEntries[c.entry.Upstream.ID] = c
	m.pruneRemovals()
	m.wakeWaiters()
}

// shareInstances records changes in the list for the instances that poll this
// one, and wakes them. Changes that are already shared are left out.
func (m *Manager) shareInstances(changed []model.Instance, removed []model.InstanceID) {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	share := func(c instanceChange) {
		old, known := m.sharedInstances[c.instance.ID]
		same := old.removed == c.removed && old.instance.Incarnation == c.instance.Incarnation && old.instance.Fingerprint == c.instance.Fingerprint
		older := known && !c.removed && c.instance.Incarnation < old.instance.Incarnation // of a restored store
		if older || (known && same) || (!known && c.removed) {
			return
		}
		m.shareVersion++
		c.version = m.shareVersion
		m.sharedInstances[c.instance.ID] = c
	}
	before := m.shareVersion
	for _, in := range changed {
		share(instanceChange{instance: in})
	}
	for _, id := range removed {
		last := m.sharedInstances[id].instance
		last.ID = id
		share(instanceChange{instance: last, removed: true})
	}
	if m.shareVersion > before {
		m.wakeWaiters()
	}
}

// MovesChanged reports that a version move has a newer state, which is to be
// shared. It may be called from any goroutine.
func (m *Manager) MovesChanged() {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	m.shareVersion++
	m.sharedMovesVersion = m.shareVersion
	m.wakeWaiters()
}

// wakeWaiters wakes all calls of ServePoll that wait. The caller holds shareMu.
func (m *Manager) wakeWaiters() {
	close(m.shareChanged)
	m.shareChanged = make(chan struct{})
}

// pruneRemovals drops the oldest removals when there are too many. An instance
// that misses a removal keeps an upstream that does not answer. The caller holds
// shareMu.
func (m *Manager) pruneRemovals() {
	if len(m.sharedEntries) < 2*maxSharedRemovals {
		return
	}
	for id, c := range m.sharedEntries {
		if c.removed && c.version+maxSharedRemovals < m.shareVersion {
			delete(m.sharedEntries, id)
		}
	}
}

// ServePoll answers the poll of another instance. It blocks until there is a change,
// at most for the given time, and is called by network goroutines. If the data are almost
// too old to be shared, it returns as soon as they are fresher: the caller's own pollers
// wait for that.
func (m *Manager) ServePoll(ctx context.Context, cursor Cursor, wait time.Duration) Delta {
	delta, changed := m.changesSince(cursor)
	if wait <= 0 {
		return delta // without a timer that is due, see wait.Sleep
	}
	first := m.limits.timeLeft(delta.Ages)
	// The poll ends when the last read gets too old, so that its caller
	// learns in time that this instance has lost the store.
	timeout := time.NewTimer(min(wait, maxReaderPollWait, first+time.Millisecond))
	defer timeout.Stop()
	for left := first; changed != nil && left > 0 && (left <= first || first > expiryNotice); left = m.limits.timeLeft(delta.Ages) {
		select {
		case <-changed:
			delta, changed = m.changesSince(cursor)
		case <-timeout.C:
			delta, _ = m.changesSince(cursor)
			return delta
		case <-ctx.Done():
			return delta
		}
	}
	return delta
}

// changesSince returns the changes since the cursor or, if there are none, the
// channel to wait on. The moves are read after the version that counts their
// changes: a state that is newer than its version is sent twice, whereas an older
// state would never be sent.
func (m *Manager) changesSince(cursor Cursor) (Delta, <-chan struct{}) {
	delta, movesChanged, changed := m.sharedChangesSince(cursor)
	if movesChanged {
		delta.Moves = m.opts.Moves.All()
	}
	if root, known := m.RootReader(); known {
		delta.RootReader = root.ID
	}
	if current := m.opts.Rules.Current(); current != nil && current.Revision > cursor.RulesRevision {
		delta.Rules, delta.RulesBase = current, m.opts.Rules.Recent(cursor.RulesRevision)
	}
	if delta.Snapshot || len(delta.Changed) > 0 || len(delta.Removed) > 0 || len(delta.Instances) > 0 || len(delta.RemovedInstances) > 0 || len(delta.Moves) > 0 || delta.Rules != nil {
		return delta, nil
	}
	return delta, changed
}

// sharedChangesSince returns the changes of entries and instances since the
// cursor, whether a move changed, and the channel that is closed at the next
// change.
func (m *Manager) sharedChangesSince(cursor Cursor) (delta Delta, movesChanged bool, changed <-chan struct{}) {
	incarnation := m.self().Incarnation
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	delta = Delta{
		ReaderIncarnation: incarnation,
		Version:           m.shareVersion,
		Era:               m.sharedPosition.Era,
		Revision:          m.sharedPosition.Revision,
		Ages:              m.ages(),
		Source:            m.sharedReadBy,
	}
	delta.Snapshot = cursor.ReaderIncarnation != delta.ReaderIncarnation
	for id, c := range m.sharedEntries {
		switch {
		case !delta.Snapshot && c.version <= cursor.Version:
		case !c.removed:
			delta.Changed = append(delta.Changed, c.entry)
			if c.lapsed {
				delta.Lapsed = append(delta.Lapsed, id)
			}
		case !delta.Snapshot:
			delta.Removed = append(delta.Removed, id)
		}
	}
	for _, c := range m.sharedInstances {
		switch {
		case !delta.Snapshot && c.version <= cursor.Version:
		case !c.removed:
			delta.Instances = append(delta.Instances, c.instance)
		case !delta.Snapshot:
			delta.RemovedInstances = append(delta.RemovedInstances, c.instance.ID)
		}
	}
	return delta, delta.Snapshot || m.sharedMovesVersion > cursor.Version, m.shareChanged
}
