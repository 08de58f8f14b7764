package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// InstanceChanges are the changes in the list of instances since a revision.
type InstanceChanges struct {
	Era          Era
	Revision     Revision // up to which the changes are complete
	Snapshot     bool     // Changed is a full snapshot of the list
	Changed      []model.Instance
	RowRevisions map[model.InstanceID]Revision // row revisions of the instances in Changed
	Removed      []model.InstanceID
}

const (
	// unknownInstanceWait is how long this instance waits for the reader to deliver
	// an instance missing from the list before it reads the list from the store.
	unknownInstanceWait = time.Second
	// announceTimeout is the timeout of an announcement. All rows are in one
	// partition of the store, which queues up to a second of writes.
	announceTimeout = 2 * time.Second
	// storeWriteTime is how long a partition takes for one write, according to the
	// store's documentation. The backoff after a refused or unanswered announcement
	// is a multiple of it.
	storeWriteTime = 5 * time.Millisecond
	// listRetryWait is the pause after a failed read once the list has been read
	// before. The list changes seldom, and heartbeats between the instances show
	// which of them are alive.
	listRetryWait = 3 * time.Second
	// firstStartStagger is the delay between the three levels of readers when the
	// whole system starts for the first time. It is long enough for all instances,
	// which start within 0.3 s of each other, to announce themselves, and for each
	// level to read what the next level asks it for.
	firstStartStagger = time.Second
)

// listState is the state of reading the list of instances.
type listState struct {
	outageTracker
	after        Revision // up to which the list has been read
	afterEra     Era      // of after
	listed       map[model.InstanceID]bool
	rowRevision  Revision  // revision of this instance's row when it was last read; 0 means no row
	unknownSince time.Time // when an instance missing from the list was first encountered; zero means none
	readerUsedAt time.Time // when this instance last relied on a reader
	withdrawn    bool      // this instance is stopping
	withdrawnEra Era       // in which its row was last removed
	announced    bool      // this instance's row was written
	announcing   bool      // it is being written again
	rowEra       Era       // in which it was last written, or found
	restoredEra  Era       // begun by the last restore that was applied here
	keepUntil    time.Time // until when rows are not missed that a restored store lacks
	wholeAt      time.Time // when to read the list as a whole, to find those; zero: not at all
}

func newListState(logger log.Interface) listState {
	return listState{outageTracker: outageTracker{log: logger, table: "instances"}, listed: map[model.InstanceID]bool{}}
}

// register announces this instance in the store. Except at the first start of the
// whole system, the instance reads the list first: it can then answer callers that
// ask for addresses while its announcement is queued behind others, and it
// replaces the row of its earlier start with a single write.
func (m *Manager) register() {
	if m.opts.FirstStart {
		m.announce()
		return
	}
	call := func(ctx context.Context) (InstanceChanges, error) { return m.opts.Store.Instances(ctx, 0, 0) }
	worker.Call(m.opts.Pool, keyInstances, readTimeout, call, func(got InstanceChanges, err error) {
		m.list.record(err)
		if err != nil {
			m.opts.Pool.After(m.retryWait(), keyInstances, worker.Func(m.register))
			return
		}
		got.Era = m.noticeEra(got.Era, "store")
		if m.Era() == got.Era {
			m.list.rowRevision = got.RowRevisions[m.opts.Self.ID]
			m.list.after, m.list.afterEra = got.Revision, got.Era
		}
		for _, in := range got.Changed {
			if in.ID == m.opts.Self.ID {
				m.raiseIncarnation(in.Incarnation + 1)
			}
		}
		m.mergeInstances(got.Changed, nil)
		m.instancesKnown.Store(true)
		m.announce()
	})
}

// raiseIncarnation raises this instance's incarnation to at least floor and
// reports whether it changed.
func (m *Manager) raiseIncarnation(floor uint64) bool {
	self := m.self()
	if floor <= self.Incarnation {
		return false
	}
	m.opts.Log.WithField("incarnation", floor).WithField("own", self.Incarnation).
		Info("incarnation raised above that of an earlier start")
	self.Incarnation = floor
	m.opts.Instances.Merge(self)
	return true
}

// announceBackoff returns the pause after a failed announcement. It has a random
// part that grows with the number of instances, so that the store can take the
// retries of all of them.
func (m *Manager) announceBackoff() time.Duration {
	return m.retryWait() + time.Duration(rand.Float64()*2*float64(len(m.list.listed))*float64(storeWriteTime))
}

func (m *Manager) announce() {
	if m.list.withdrawn {
		return
	}
	self, row := m.self(), m.list.rowRevision
	call := func(ctx context.Context) (Announcement, error) { return m.opts.Store.Announce(ctx, self, row) }
	worker.Call(m.opts.Pool, keyInstances, announceTimeout, call, func(got Announcement, err error) {
		m.list.record(err)
		m.withdrawAfterAnnouncement()
		if err != nil {
			m.opts.Pool.After(m.announceBackoff(), keyInstances, worker.Func(m.announce))
			return
		}
		m.recordAnnouncement(got)
		restarted := m.raiseIncarnation(got.Incarnation)
		switch {
		case m.opts.FirstStart && !restarted:
			m.opts.Pool.After(firstStartStagger, keyInstances, worker.Func(m.startByLevel))
			return
		case m.opts.FirstStart:
			m.startReading()
		}
		m.readInstances()
	})
}

// recordAnnouncement records the era in which the row of this instance was written. If the
// store was restored meanwhile, the row is written again.
func (m *Manager) recordAnnouncement(got Announcement) {
	m.list.announced, m.list.announcing = true, false
	m.list.rowEra = max(m.list.rowEra, m.noticeEra(got.Era, "store"))
	if m.list.rowEra < m.Era() {
		m.scheduleRewrite()
	}
}

// startByLevel reads the list of instances, waits until the levels of readers
// above this instance have started, and then reads the entries and the rules.
func (m *Manager) startByLevel() {
	call := func(ctx context.Context) (InstanceChanges, error) { return m.opts.Store.Instances(ctx, 0, 0) }
	worker.Call(m.opts.Pool, keyInstances, readTimeout, call, func(got InstanceChanges, err error) {
		m.list.record(err)
		if err == nil {
			err = m.checkAnswer(&got.Era, 0, true)
		}
		level := time.Duration(0)
		if err == nil {
			m.applyInstances(got)
			level = m.readerLevel()
		}
		m.opts.Pool.After(level*firstStartStagger, keyInstances, worker.Func(func() {
			m.startReading()
			m.readInstances()
		}))
	})
}

// readerLevel returns the number of readers between this instance and the store.
func (m *Manager) readerLevel() time.Duration {
	isFirst := func(all []model.Instance) bool { return len(all) == 0 || all[0].ID == m.opts.Self.ID }
	switch {
	case isFirst(m.opts.Instances.All()):
		return 0
	case isFirst(m.opts.Members()):
		return 1
	default:
		return 2
	}
}

// self returns this instance with its current incarnation.
func (m *Manager) self() model.Instance {
	self, _ := m.opts.Instances.Get(m.opts.Self.ID)
	return self
}

// ReportUnknownInstance reports that an instance was encountered that is not in the
// list. It may be called from any goroutine.
func (m *Manager) ReportUnknownInstance() {
	m.opts.Pool.Post(keyInstances, worker.Func(func() {
		if m.list.unknownSince.IsZero() {
			m.list.unknownSince = time.Now()
		}
	}))
}

// readInstances reads the changes in the list from the store and schedules the
// next read. It skips the read while this instance has a reader, and for
// avoidStoreFor after that, so that a brief loss of the reader causes no read. It
// always reads if the list has not been read yet, or if the reader has not
// delivered an instance that was encountered.
func (m *Manager) readInstances() {
	overdue := !m.list.unknownSince.IsZero() && time.Since(m.list.unknownSince) > unknownInstanceWait
	if !m.readsStore.Load() {
		m.list.readerUsedAt = time.Now()
	}
	wait := instancesPollTime
	switch {
	case overdue || !m.InstancesKnown():
		wait = 0
	case time.Since(m.list.readerUsedAt) < avoidStoreFor:
		m.opts.Pool.After(readerCheckInterval, keyInstances, worker.Func(m.readInstances))
		return
	}
	if !m.list.wholeAt.IsZero() && time.Now().After(m.list.wholeAt) {
		m.list.wholeAt, m.list.after, wait = time.Time{}, 0, 0
	}
	after, since := m.list.after, m.list.afterEra
	limit := readTimeout + wait
	call := func(ctx context.Context) (InstanceChanges, error) { return m.opts.Store.Instances(ctx, after, wait) }
	worker.Call(m.opts.Pool, keyInstances, limit, call, func(got InstanceChanges, err error) {
		pause := time.Duration(0)
		if err == nil {
			err = m.checkAnswer(&got.Era, since, after == 0)
		}
		switch {
		case errors.Is(err, errNewEra), m.list.repeatsAtOnce(err, time.Now()):
			m.list.after = 0
		case err != nil:
			if errors.Is(err, ErrHistoryGone) {
				m.list.after = 0
			}
			m.list.record(err)
			pause = m.retryWait()
			if m.InstancesKnown() {
				pause = listRetryWait
			}
		default:
			m.list.record(nil)
			m.list.unknownSince = time.Time{}
			m.applyInstances(got)
		}
		m.opts.Pool.After(pause, keyInstances, worker.Func(m.readInstances))
	})
}

// applyInstances applies a read of the store. Instances that are missing from a
// full snapshot have stopped.
func (m *Manager) applyInstances(got InstanceChanges) {
	m.instancesRestored()
	m.list.after, m.list.afterEra = got.Revision, got.Era
	keepsMissing := time.Now().Before(m.list.keepUntil)
	if got.Snapshot && keepsMissing {
		m.list.wholeAt = m.list.keepUntil
	}
	if got.Snapshot && !keepsMissing {
		present := make(map[model.InstanceID]bool, len(got.Changed))
		for _, in := range got.Changed {
			present[in.ID] = true
		}
		for _, in := range m.opts.Instances.All() {
			if !present[in.ID] && in.ID != m.opts.Self.ID {
				got.Removed = append(got.Removed, in.ID)
			}
		}
	}
	isOwnRow := func(in model.Instance) bool {
		return in.ID == m.opts.Self.ID && in.Fingerprint == m.opts.Self.Fingerprint
	}
	ownRowMissing := got.Snapshot && !slices.ContainsFunc(got.Changed, isOwnRow)
	m.mergeInstances(got.Changed, got.Removed)
	m.instancesKnown.Store(true)
	if ownRowMissing && keepsMissing {
		return // it is written again by rewriteRow
	}
	if ownRowMissing || slices.Contains(got.Removed, m.opts.Self.ID) {
		m.reannounce()
	}
}

// mergeInstances updates the list and shares the changes with the instances
// that poll this one.
func (m *Manager) mergeInstances(changed []model.Instance, removed []model.InstanceID) {
	for _, in := range changed {
		m.list.listed[in.ID] = true
		if in.ID != m.opts.Self.ID {
			m.opts.Instances.Merge(in)
		}
	}
	for _, id := range removed {
		delete(m.list.listed, id)
		in, known := m.opts.Instances.Get(id)
		if known && id != m.opts.Self.ID && instance.StateRank(in.State) < instance.StateRank(model.InstanceLeaving) {
			in.State = model.InstanceLeaving
			m.opts.Instances.Merge(in)
		}
	}
	m.opts.OnInstanceCount(len(m.list.listed))
	m.shareInstances(changed, removed)
}

// reannounce publishes this instance under a higher incarnation, because the
// others treat the removed incarnation as stopped.
func (m *Manager) reannounce() {
	if m.list.withdrawn || m.list.announcing {
		return
	}
	self := m.self()
	self.Incarnation++
	m.opts.Instances.Merge(self)
	m.announceAgain(self, "own row is missing in the store and is announced again")
}

// announceAgain publishes this instance as self, until it succeeds.
func (m *Manager) announceAgain(self model.Instance, cause string) {
	m.opts.Log.WithField("incarnation", self.Incarnation).WithField("era", m.Era().Number()).Warn(cause)
	m.list.announcing = true
	call := func(ctx context.Context) (Announcement, error) { return m.opts.Store.Announce(ctx, self, 0) }
	worker.Call(m.opts.Pool, keyInstances, announceTimeout, call, func(got Announcement, err error) {
		m.list.record(err)
		m.withdrawAfterAnnouncement()
		switch {
		case m.list.withdrawn:
			m.list.announcing = false
		case err != nil:
			m.opts.Pool.After(m.announceBackoff(), keyInstances, worker.Func(func() { m.announceAgain(self, cause) }))
		default:
			m.recordAnnouncement(got)
			m.raiseIncarnation(got.Incarnation)
		}
	})
}

// InstancesKnown reports whether the list of instances has been read.
func (m *Manager) InstancesKnown() bool { return m.instancesKnown.Load() }

// Withdraw removes this instance's row from the store before it stops.
func (m *Manager) Withdraw() {
	m.opts.Pool.Post(keyInstances, worker.Func(func() {
		m.list.withdrawn = true
		m.withdraw()
	}))
}

// withdraw removes the row, and tries again until it is gone: callers would get the
// address of a stopped instance from it.
func (m *Manager) withdraw() {
	self := m.self()
	call := func(ctx context.Context) (Era, error) { return m.opts.Store.Withdraw(ctx, self) }
	worker.Call(m.opts.Pool, keyInstances, callTimeout, call, func(got Era, err error) {
		m.list.record(err)
		switch {
		case err == nil:
			m.list.withdrawnEra = max(m.list.withdrawnEra, m.noticeEra(got, "store"))
			m.opts.Log.WithField("incarnation", self.Incarnation).Info("instance withdrawn")
		case !trace.IsCompareFailed(err): // otherwise another start of the instance has the row
			m.opts.Pool.After(m.retryWait(), keyInstances, worker.Func(m.withdraw))
		}
	})
}

// withdrawAfterAnnouncement withdraws again if this instance was withdrawn during an
// announcement, which may have taken effect later than the withdrawal.
func (m *Manager) withdrawAfterAnnouncement() {
	if m.list.withdrawn {
		m.withdraw()
	}
}
