package registry

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// An instance chooses the one that it polls by the line of its cell, and passes over those
// that have lost the store or do not answer. While it has lost the store itself, it has to find
// another source before its own entries are too old, so it checks those that it passed over.

const (
	// lostReaderCheckInterval is the time between two checks whether a lost reader is
	// back.
	lostReaderCheckInterval = 3 * time.Second
	// maxOtherCellReaders is the number of instances of other cells that one which has lost the
	// store may poll.
	maxOtherCellReaders = 3
	// avoidStoreFor is how long an instance polls others after a failed read of the store.
	avoidStoreFor = 3 * time.Second
)

// reader returns the instance to poll for changes, or this instance if it is to
// read the store itself. It runs under keyEntries.
func (m *Manager) reader(now time.Time) model.Instance {
	if m.opts.Peers == nil {
		return m.opts.Self
	}
	avoided := func(id model.InstanceID) bool {
		_, lost := m.lostReaders[id]
		return lost
	}
	if now.Before(m.storeLostUntil) {
		for _, in := range m.otherReaders(now) {
			if !avoided(in.ID) {
				return in
			}
		}
		return m.opts.Self
	}
	in, polls := chooseSource(m.opts.Members(), m.opts.Self.ID, avoided)
	if in.ID == m.opts.Self.ID { // the reader of this cell
		in, polls = chooseSource(m.opts.Instances.All(), m.opts.Self.ID, avoided)
	}
	if !polls {
		return m.opts.Self
	}
	return in
}

// otherReaders returns the instances that this one may poll while it has lost the store: the
// other members of its cell and, once their entries must be too old, some of other cells. The
// store may turn away all members of a small cell.
func (m *Manager) otherReaders(now time.Time) []model.Instance {
	others := m.otherMembers()
	if !now.Before(m.otherCellsFrom()) {
		others = append(others, m.otherCellReaders()...)
	}
	return others
}

// otherCellsFrom returns from when on instances of other cells may be polled.
func (m *Manager) otherCellsFrom() time.Time {
	return m.cellReadAt.Add(m.limits.maxEntriesAge(maxHops))
}

// recordCellRead records that the reader sent entries which were read at the given time, if it
// is a member of the cell.
func (m *Manager) recordCellRead(reader model.InstanceID, at time.Time) {
	isMember := func(in model.Instance) bool { return in.ID == reader }
	if at.After(m.cellReadAt) && slices.ContainsFunc(m.opts.Members(), isMember) {
		m.cellReadAt = at
	}
}

// otherMembers returns the other live members of the cell.
func (m *Manager) otherMembers() []model.Instance {
	var others []model.Instance
	for _, in := range m.opts.Members() {
		if in.ID != m.opts.Self.ID && in.State == model.InstanceLive {
			others = append(others, in)
		}
	}
	return others
}

// otherCellReaders returns the first live instances of other cells.
func (m *Manager) otherCellReaders() []model.Instance {
	members := m.opts.Members()
	var others []model.Instance
	for _, in := range m.opts.Instances.All() {
		isMember := slices.ContainsFunc(members, func(other model.Instance) bool { return other.ID == in.ID })
		if in.State != model.InstanceLive || isMember || in.ID == m.opts.Self.ID {
			continue
		}
		if others = append(others, in); len(others) == maxOtherCellReaders {
			break
		}
	}
	return others
}

// hasReader reports whether this instance is to poll another one.
func (m *Manager) hasReader() bool { return m.reader(time.Now()).ID != m.opts.Self.ID }

// isSource reports whether an instance that answers a poll like this may be polled on.
// Instances that poll each other all stop reading the store, and pass on what they have until
// it is too old. Two of them see themselves as the source; in a longer ring the data pass more
// instances than on any path from the store.
func (m *Manager) isSource(delta Delta) bool {
	return m.limits.timeLeft(delta.Ages) > 0 && delta.Source != m.opts.Self.ID && delta.Ages.Hops <= maxSourceHops
}

// checkLostReadersNow has the next read check all lost readers. When the store is back here
// it may be back for them, and one that has the rules saves reads of them.
func (m *Manager) checkLostReadersNow() {
	for id := range m.lostReaders {
		m.lostReaders[id] = time.Time{}
	}
}

// lostReaderCheckDelay returns when to check a reader that gave this answer again. An instance
// that reads the store can wait. For one that has lost the store, a reader that answers has what
// this instance cannot read as soon as it has replaced a source of its own whose data are too
// old. The delay grows with the time for which it has found none, as in an outage of the whole
// store.
func (m *Manager) lostReaderCheckDelay(delta Delta, err error) time.Duration {
	left := m.limits.timeLeft(delta.Ages)
	switch {
	case err != nil, delta.Source != m.opts.Self.ID && !time.Now().Before(m.storeLostUntil):
		return lostReaderCheckInterval
	case left > 0:
		return max(min(left, lostReaderCheckInterval), readerCheckInterval)
	}
	return max(min(m.limits.overdue(delta.Ages)/2, retryInterval), readerCheckInterval)
}

// checkLostReaders asks the lost readers whose check is due how old their data are. This
// instance keeps to its source meanwhile: its data would age while it waits for a reader
// that is still lost. It runs under keyEntries.
func (m *Manager) checkLostReaders(now time.Time) {
	for id, due := range m.lostReaders {
		if now.Before(due) {
			continue
		}
		in, known := m.opts.Instances.Get(id)
		if !known || in.State != model.InstanceLive {
			delete(m.lostReaders, id)
			continue
		}
		m.lostReaders[id] = now.Add(lostReaderCheckInterval)
		m.askAges(in, func(delta Delta, err error) {
			if err != nil || !m.isSource(delta) {
				m.lostReaders[id] = time.Now().Add(m.lostReaderCheckDelay(delta, err))
				if m.waitsToRetry() { // its timer is set for the checks that were due before
					m.retryEntries(m.retryAt)
				}
				return
			}
			delete(m.lostReaders, id)
			m.opts.Log.WithField("instance", string(id)).WithField("age_ms", delta.Ages.Entries.Milliseconds()).
				WithField("hops", delta.Ages.Hops).WithField("source", string(delta.Source)).Info("reader regained")
			if m.waitsToRetry() && m.hasReader() {
				m.readEntries()
			}
		})
	}
}

// seekSourceDuring asks other instances how old their entries are if the read of the store in
// this step of the loop has no answer for the given time, and polls the first one whose entries
// are fresh enough in place of the read. The store may be silent to this instance alone.
func (m *Manager) seekSourceDuring(step uint64, unanswered time.Duration) {
	if m.opts.Peers == nil {
		return
	}
	m.opts.Pool.After(unanswered, keyEntries, worker.Func(func() {
		if m.entriesLoop.step != step {
			return
		}
		for _, in := range m.otherReaders(time.Now()) {
			m.askAges(in, func(delta Delta, err error) {
				if err == nil && m.isSource(delta) && m.entriesLoop.step == step {
					delete(m.lostReaders, in.ID)
					m.storeLostUntil = time.Now().Add(avoidStoreFor)
					m.readEntries()
				}
			})
		}
		m.seekSourceDuring(step, 2*unanswered)
	}))
}

// askAges asks an instance how old its data are. The answer is handled under keyEntries.
func (m *Manager) askAges(in model.Instance, answered func(Delta, error)) {
	call := func(ctx context.Context) (Delta, error) { return m.opts.Peers.Poll(ctx, in, agesOnly(in), nil, 0) }
	worker.Call(m.opts.Pool, keyEntries, m.limits.readerPollMargin(), call, answered)
}

// agesOnly returns a cursor for which an instance answers a poll with the ages alone: no
// change is newer.
func agesOnly(in model.Instance) Cursor {
	return Cursor{ReaderIncarnation: in.Incarnation, Version: math.MaxUint64, RulesRevision: math.MaxUint64}
}
