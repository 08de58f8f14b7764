package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// analysisInterval is the time between readings of the pooled evidence.
	analysisInterval = 2 * time.Second
	// checkpointInterval is the time between writes of the record of an open move
	// that does not change. A new holder reads from it the requests counted so far,
	// which small traffic would take long to collect again.
	checkpointInterval = 10 * time.Minute
	// retryInterval is the wait after a failed store call.
	retryInterval = 2 * time.Second
	// pollInterval is the time between reads of the record by an instance without
	// the lease that knows no share of the plan. Gossip usually brings the share
	// before the first read.
	pollInterval = 15 * time.Second
)

// mover runs the moves of one model or service. Its fields are used only by worker
// items of key.
type mover struct {
	cfg    Config
	serves string
	key    worker.Key
	log    log.Interface
	rng    *rand.Rand
	keeper *lease.Keeper

	doc          *model.Document
	subject      subject
	callInFlight bool
	notBefore    time.Time // earliest next store call
	nextPollAt   time.Time // earliest read of the record without the lease

	// move is the record as last read or written under the lease. It is nil when
	// the record has to be read before the next write.
	move       *Move
	revision   store.Revision
	fencing    uint64
	writtenAt  time.Time
	stoppedAt  time.Time // when a stop of the move's epoch was first seen
	analysis   *analysis
	addedStops stopCounter
}

func (mv *mover) post(f func()) {
	mv.cfg.Pool.Post(mv.key, worker.Func(f))
}

// releaseLease releases the lease and drops the record.
func (mv *mover) releaseLease() {
	mv.keeper.Stop()
	mv.dropRecord()
}

// dropRecord drops the local record, so that a holder reads it again at its next
// tick.
func (mv *mover) dropRecord() {
	mv.move = nil
	mv.stoppedAt = time.Time{}
}

// tick applies the present plan: it analyses the evidence, and the holder of the
// lease advances the move.
func (mv *mover) tick(doc *model.Document, s subject) {
	now := time.Now()
	if mv.doc == nil || !SamePlan(s.plan, mv.subject.plan) {
		mv.planChanged(now)
	}
	mv.doc, mv.subject = doc, s
	if !IsMove(s.plan) {
		mv.applyFinalShare(now)
		return
	}
	mv.keeper.Start()
	fencing, held := mv.keeper.Held(now)
	mv.analyse(now, held)
	if mv.callInFlight || now.Before(mv.notBefore) {
		return
	}
	switch {
	case !held:
		mv.pollRecord(now)
	case mv.move == nil || mv.fencing != fencing:
		mv.loadRecord(fencing)
	case mv.move.State.Open() && SamePlan(mv.move.Plan, s.plan):
		mv.advance(now)
	case mv.move.State.Open():
		mv.dropRecord()
	}
}

// planChanged drops the state of the earlier plan. It sets a delay before the
// first poll, so that gossip can bring a share of the new plan.
func (mv *mover) planChanged(now time.Time) {
	mv.analysis = nil
	if mv.move != nil && !mv.move.State.Open() {
		mv.dropRecord()
	}
	mv.notBefore = time.Time{}
	mv.nextPollAt = now.Add(mv.withJitter(pollInterval / 3))
}

// applyFinalShare applies a plan without a move: the target receives all traffic,
// whatever a move of an earlier document decided.
func (mv *mover) applyFinalShare(now time.Time) {
	want := finalShare(mv.serves, mv.subject.plan.Target, mv.doc.Generation)
	share, ok := mv.cfg.Stops.Share(mv.serves)
	target := model.VersionKey{Serves: mv.serves, Version: want.Target}
	inForce := ok && isFinalShare(share) && share.Target == want.Target && !mv.cfg.Stops.Stopped(target)
	if !inForce {
		mv.cfg.Stops.SetShare(want)
	}
	if mv.callInFlight || now.Before(mv.notBefore) {
		return
	}
	_, held := mv.keeper.Held(now)
	if held && mv.move != nil && mv.move.State.Open() {
		mv.putRecord(mv.replacedRecord(now), mv.revision)
		return
	}
	mv.releaseLease()
}

// pollRecord reads the record on an instance without the lease that knows no share
// of the plan, for example one that started while no peer can be reached.
func (mv *mover) pollRecord(now time.Time) {
	if share, ok := mv.cfg.Stops.Share(mv.serves); ok && shareMatchesPlan(share, mv.subject.plan) || now.Before(mv.nextPollAt) {
		return
	}
	mv.nextPollAt = now.Add(mv.withJitter(pollInterval))
	mv.listRecords(func(rows []store.Row[Move]) {
		if latest, ok := latestRecord(rows); ok && SamePlan(latest.Value.Plan, mv.subject.plan) {
			mv.publish(&latest.Value)
		}
	})
}

// shareMatchesPlan reports whether the share belongs to the plan.
func shareMatchesPlan(share model.Share, plan model.VersionPlan) bool {
	return share.Target == plan.Target && (isFinalShare(share) || share.Previous == plan.Previous)
}

// backOff delays the next store call by retryInterval with jitter.
func (mv *mover) backOff(now time.Time) {
	mv.notBefore = now.Add(mv.withJitter(retryInterval))
}

// withJitter returns a random duration from d to 2d.
func (mv *mover) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(mv.rng.Float64()*float64(d))
}

// publish adds the record's share to the stop table, and a stop if the move was
// taken back. The table ignores a record that is older than its content.
func (mv *mover) publish(m *Move) {
	mv.cfg.Stops.SetShare(m.shareRow())
	if m.State == TakenBack {
		mv.addStop(m.Epoch, m.Reason)
	}
}

// addStop bars the target from new work. It needs neither the lease nor the table
// service.
func (mv *mover) addStop(epoch uint64, reason string) {
	added := mv.cfg.Stops.Add(model.Stop{
		Key:    model.VersionKey{Serves: mv.serves, Version: mv.subject.plan.Target},
		Epoch:  epoch,
		Reason: reason,
		By:     mv.cfg.Self,
	})
	if added {
		mv.addedStops.count(evidencePooled)
	}
}

// stopOf returns the stop that bars the move's target from new work, and false if
// there is none.
func (mv *mover) stopOf(m *Move) (model.Stop, bool) {
	for _, s := range mv.cfg.Stops.Stops() {
		if s.Key == m.target() && s.Epoch >= m.Epoch {
			return s, true
		}
	}
	return model.Stop{}, false
}
