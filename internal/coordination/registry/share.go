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
// reads the store itself for a while: several members may have lost the store at
// once, and trying them one after another would take longer than a change is
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
	Snapshot          bool // Changed is a full snapshot of the entries
	Changed           []Entry
	Removed           []model.UpstreamID
	// Instances and RemovedInstances are the added or changed and the removed instances. Even if
	// Snapshot is set, Instances may be incomplete.
	Instances        []model.Instance
	RemovedInstances []model.InstanceID
	Rules            *model.RoutingRules // nil unless they are newer
	Moves            []model.VersionMove // all version moves if any of them changed
	Age              time.Duration       // time for which the entries or the rules have not been read from the store
	Source           model.InstanceID    // instance that last read the entries
	RulesBase        *model.RoutingRules // rules that the poller has, for a transfer of the difference; nil if unknown
}

// Peers polls another instance for changes. It blocks until there is a change,
// at most for the given time. current are the rules at the cursor, nil if there are
// none.
type Peers interface {
	Poll(ctx context.Context, from model.Instance, cursor Cursor, current *model.RoutingRules, wait time.Duration) (Delta, error)
}

const (
	// readerPollWait is how long a reader holds a poll when there is no change. A
	// poll times out after readerPollWait + readerPollMargin, which is the time it
	// takes to detect that a reader is lost.
	readerPollWait   = 300 * time.Millisecond
	readerPollMargin = 400 * time.Millisecond
	// maxReadAge is the age of a reader's last read above which the reader counts as
	// having lost the store. It covers two reads of the entries, and leaves a member
	// the rest of the time allowed for a change to read the store itself.
	maxReadAge = 1200 * time.Millisecond
	// avoidReaderFor is how long a reader is passed over after it failed.
	avoidReaderFor = 3 * time.Second
	// maxSharedRemovals is the number of share versions for which a removed entry is
	// kept once there are twice as many entries.
	maxSharedRemovals = 1024
)

// entryChange is the last change of one entry.
type entryChange struct {
	version uint64
	entry   Entry
	removed bool
}

// instanceChange is the last change of one instance.
type instanceChange struct {
	version  uint64
	instance model.Instance
	removed  bool
}

// reader returns the instance to poll for changes, or this instance if it is to
// read the store itself. It runs under keyEntries.
func (m *Manager) reader(now time.Time) model.Instance {
	if m.opts.Peers == nil {
		return m.opts.Self
	}
	storeLost := now.Before(m.avoidUntil[m.opts.Self.ID])
	for _, in := range m.opts.Members() {
		switch {
		case in.State != model.InstanceLive:
		case in.ID == m.opts.Self.ID && !storeLost:
			return m.rootReader(now)
		case !now.Before(m.avoidUntil[in.ID]):
			return in
		case !storeLost:
			return m.opts.Self
		}
	}
	return m.opts.Self
}

// rootReader returns the instance that reads the store for all cells, or this
// instance while that one is avoided.
func (m *Manager) rootReader(now time.Time) model.Instance {
	for _, in := range m.opts.Instances.All() {
		if in.State != model.InstanceLive {
			continue
		}
		if now.Before(m.avoidUntil[in.ID]) {
			break
		}
		return in
	}
	return m.opts.Self
}

// pollReader polls the reader for changes. It runs under keyEntries.
func (m *Manager) pollReader(reader model.Instance) {
	cursor, current := m.cursor, m.opts.Rules.Current()
	if current != nil {
		cursor.RulesRevision = current.Revision
	}
	call := func(ctx context.Context) (Delta, error) {
		return m.opts.Peers.Poll(ctx, reader, cursor, current, readerPollWait)
	}
	worker.Call(m.opts.Pool, keyEntries, readerPollWait+readerPollMargin, call, func(delta Delta, err error) {
		now := time.Now()
		// A reader whose data comes from this instance is no source: two instances
		// that poll each other would both stop reading the store.
		if err != nil || delta.Age > maxReadAge || delta.Source == m.opts.Self.ID {
			m.avoidUntil[reader.ID] = now.Add(avoidReaderFor)
			m.opts.Log.WithField("instance", string(reader.ID)).WithField("age_ms", delta.Age.Milliseconds()).
				WithField("source", string(delta.Source)).WithError(err).Warn("reader lost")
		}
		if err == nil {
			m.applyDelta(delta, reader)
			m.recordRead(now.Add(-delta.Age), delta.Source)
			m.recordRulesFresh(now.Add(-delta.Age))
		}
		m.readEntries()
	})
}

// recordRead records when the store was last read and by which instance.
func (m *Manager) recordRead(at time.Time, by model.InstanceID) {
	if at.Before(m.entries.readAt) {
		return
	}
	m.entries.readAt = at
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	m.sharedReadAt, m.sharedReadBy = at, by
}

// recordRulesFresh records until when the rules are known to have been the newest.
// A reader that cannot read the rules must not pass for fresh because of its entries.
func (m *Manager) recordRulesFresh(until time.Time) {
	m.shareMu.Lock()
	defer m.shareMu.Unlock()
	if until.After(m.sharedRulesFreshAt) {
		m.sharedRulesFreshAt = until
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
	if len(delta.Changed) > 0 || len(delta.Removed) > 0 || delta.Snapshot {
		m.applyChanges(Entries{Snapshot: delta.Snapshot, Changed: delta.Changed, Removed: delta.Removed}, removeImmediately)
	}
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
		if (known && same) || (!known && c.removed) {
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
// at most for the given time, and is called by network goroutines.
func (m *Manager) ServePoll(ctx context.Context, cursor Cursor, wait time.Duration) Delta {
	var timeout *time.Timer
	for {
		delta, changed := m.changesSince(cursor)
		if changed == nil || delta.Age > maxReadAge {
			return delta
		}
		if timeout == nil {
			// The poll ends when the last read gets too old, so that its caller
			// learns in time that this instance has lost the store.
			timeout = time.NewTimer(min(wait, readerPollWait, maxReadAge-delta.Age+time.Millisecond))
			defer timeout.Stop()
		}
		select {
		case <-changed:
		case <-timeout.C:
			delta, _ = m.changesSince(cursor)
			return delta
		case <-ctx.Done():
			return delta
		}
	}
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
	delta = Delta{ReaderIncarnation: incarnation, Version: m.shareVersion, Age: max(time.Since(m.sharedReadAt), time.Since(m.sharedRulesFreshAt)), Source: m.sharedReadBy}
	delta.Snapshot = cursor.ReaderIncarnation != delta.ReaderIncarnation
	for id, c := range m.sharedEntries {
		switch {
		case !delta.Snapshot && c.version <= cursor.Version:
		case !c.removed:
			delta.Changed = append(delta.Changed, c.entry)
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
