package registry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// A store may come back from an older copy of itself. It then lacks what was written since
// the copy, and gives the revisions of those writes out again. Its era rises with each such
// restore, so a revision says something only beside its era.
//
// Each instance that learns of a higher era reads the store anew as a whole, if it reads it
// at all, and writes its own row again. What is missing right after a restore is kept for a
// while, as its owners write it again.

// Era is the era of the store, 0 if none is known.
type Era = model.Era

// Position is a state of the store.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

var (
	// errOlderEra means that an answer is from before a restore that this instance knows of.
	errOlderEra = errors.New("the answer is from before the restore of the store")
	// errNewEra means that changes since a revision of an earlier era were read, which say
	// nothing about the rows that the store has now.
	errNewEra = errors.New("the store was restored since the given revision")
)

// checkEra returns the error of an answer of the given era to a read: of changes since a
// revision of the era since, or of a whole table. known is the highest era known. It answers
// reads that the store was restored during, and answers that arrive late.
func checkEra(got, since, known Era, whole bool) error {
	switch {
	case got < known:
		return errOlderEra
	case !whole && got != since:
		return errNewEra
	}
	return nil
}

// checkAnswer is checkEra for an answer that was received just now. Its era may be a new one;
// an answer without an era counts as one of the present era.
func (m *Manager) checkAnswer(got *Era, since Era, whole bool) error {
	*got = m.noticeEra(*got, "store")
	return checkEra(*got, since, m.Era(), whole)
}

// Era returns the highest era of the store that is known.
func (m *Manager) Era() Era {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	return m.era
}

// lastRestore returns the era that the last restore began which this instance learned of.
func (m *Manager) lastRestore() Era {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	return m.restoredEra
}

// noticeEra records the era in an answer of the store, or of an instance that reads it, and
// returns the era that the answer counts for. The first era that is known is no restore. It
// may be called from any goroutine.
func (m *Manager) noticeEra(got Era, source string) Era {
	m.eraMu.Lock()
	last := m.era
	if got == 0 {
		got = last
	}
	restored := last > 0 && got > last
	if restored {
		m.restoredEra = got
	}
	m.era = max(got, last)
	m.eraMu.Unlock()
	if !restored {
		return got
	}
	m.opts.Log.WithFields(log.Fields{"era": got.Number(), "last_era": last.Number(), "source": source}).Warn("store was restored from an older copy")
	m.opts.Pool.Post(keyEntries, worker.Func(m.entriesRestored))
	m.opts.Pool.Post(keyRules, worker.Func(m.rulesRestored))
	m.opts.Pool.Post(keyInstances, worker.Func(m.instancesRestored))
	if m.opts.OnRestore != nil {
		m.opts.OnRestore(got)
	}
	return got
}

// entriesRestored reads the entries as a whole at once.
func (m *Manager) entriesRestored() {
	m.keepEntries(time.Now())
	s := &m.entries
	if m.readsStore.Load() && s.position.Era < m.Era() && m.entriesLoop.waits() && s.failedSince.IsZero() {
		m.readEntries()
	}
}

// keepEntries keeps the entries for a while that the store lacks since a restore, as after an
// outage, and has the entries read as a whole. It must run before an answer of the new era
// is applied.
func (m *Manager) keepEntries(now time.Time) {
	s := &m.entries
	if era := m.lastRestore(); s.restoredEra < era {
		s.restoredEra, s.restoredAt = era, now
		s.unreadFrom, s.outageEnd = s.readAt, now
		s.readAll = true
	}
}

// rulesRestored reads the rules as a whole at once: a call that waits for a change from a
// revision of the earlier era may wait in vain. The answer that showed the restore may have
// begun that read already.
func (m *Manager) rulesRestored() {
	if m.readsStore.Load() && max(m.rulesEra, m.rulesWholeEra) < m.Era() && m.rulesOutage.failedSince.IsZero() {
		m.readRules(0)
	}
}

// rewriteFactor is the time over which the rows of instances are written again after a
// restore, in times for which the store's partition is busy with one write of each. An
// announcement takes two transactions if an older row is there, and the partition has other
// work too.
const rewriteFactor = 4

// rewriteTime is the time over which a number of instances write their rows again.
func rewriteTime(instances int) time.Duration {
	return time.Duration(rewriteFactor*instances) * storeWriteTime
}

// restoreGrace is the time after a restore within which a number of instances have written
// their rows again, also if an instance learns of it last and its first write fails.
func restoreGrace(instances int) time.Duration {
	return rewriteTime(instances) + announceTimeout + 2*retryWait
}

// instancesRestored has the list read as a whole, and this instance's row written again. It
// must run before an answer of the new era is applied.
func (m *Manager) instancesRestored() {
	era := m.lastRestore()
	if m.list.restoredEra >= era {
		return
	}
	m.list.restoredEra = era
	m.list.after = 0
	m.list.rowRevision = 0 // belongs to the earlier era
	m.list.keepUntil = time.Now().Add(restoreGrace(len(m.opts.Instances.All())))
	m.scheduleRewrite()
}

// scheduleRewrite has rewriteRow run at a random time within rewriteTime.
func (m *Manager) scheduleRewrite() {
	spread := float64(rewriteTime(len(m.opts.Instances.All())))
	m.opts.Pool.After(time.Duration(rand.Float64()*spread), keyInstances, worker.Func(m.rewriteRow))
}

// rewriteRow writes this instance's row, or its removal, unless that has happened in the
// present era. A row that the store still has is left as it is; one that it lacks gets a
// higher incarnation, since others may have taken the instance for stopped.
func (m *Manager) rewriteRow() {
	switch {
	case m.list.withdrawn:
		if m.list.withdrawnEra < m.Era() {
			m.withdraw()
		}
	case m.list.announced && !m.list.announcing && m.list.rowEra < m.Era():
		self := m.self()
		self.Incarnation++
		m.announceAgain(self, "own row is written again after a restore of the store")
	}
}
