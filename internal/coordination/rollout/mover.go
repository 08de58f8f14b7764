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
	// judgeInterval is the time between readings of the pooled evidence.
	judgeInterval = 2 * time.Second
	// checkpointInterval is the time between records of an open move without
	// a change, so that a new holder keeps the evidence of small traffic.
	checkpointInterval = 10 * time.Minute
	// retryInterval is the wait after a failed store call.
	retryInterval = 2 * time.Second
	// followInterval is the wait of an instance that knows no share before it
	// reads the record itself; gossip usually brings the share first.
	followInterval = 15 * time.Second
)

// mover runs the moves of one model or service. Its fields are used only by
// items of key.
type mover struct {
	cfg    Config
	serves string
	key    worker.Key
	log    log.Interface
	rng    *rand.Rand
	keeper *lease.Keeper

	doc       *model.Document
	subject   subject
	busy      bool      // a store call is under way
	notBefore time.Time // earliest next store call
	followAt  time.Time // earliest read of the record without the lease

	// The record as last read or written under the lease; nil when it has to
	// be read first.
	move      *Move
	revision  store.Revision
	fencing   uint64
	written   time.Time
	stoppedAt time.Time // when a stop of the move's epoch was first seen
	trial     *trial
	added     stopCounter
}

func (mv *mover) post(f func()) {
	mv.cfg.Pool.Post(mv.key, worker.Func(f))
}

// close gives up the lease.
func (mv *mover) close() {
	mv.keeper.Stop()
	mv.forget()
}

// forget makes the next tick read the record.
func (mv *mover) forget() {
	mv.move = nil
	mv.stoppedAt = time.Time{}
}

func (mv *mover) tick(doc *model.Document, s subject) {
	now := time.Now()
	if mv.doc == nil || !SamePlan(s.plan, mv.subject.plan) {
		mv.planChanged(now)
	}
	mv.doc, mv.subject = doc, s
	if !IsMove(s.plan) {
		mv.settle(now)
		return
	}
	mv.keeper.Start()
	fencing, held := mv.keeper.Held(now)
	mv.judge(now, held)
	if mv.busy || now.Before(mv.notBefore) {
		return
	}
	switch {
	case !held:
		mv.follow(now)
	case mv.move == nil || mv.fencing != fencing:
		mv.load(fencing)
	case mv.move.State.Open() && SamePlan(mv.move.Plan, s.plan):
		mv.advance(now)
	case mv.move.State.Open():
		mv.forget()
	}
}

// planChanged drops what belongs to the earlier plan. An instance that knows
// no share of the new plan waits for gossip before it reads the record.
func (mv *mover) planChanged(now time.Time) {
	mv.trial = nil
	if mv.move != nil && !mv.move.State.Open() {
		mv.forget()
	}
	mv.notBefore = time.Time{}
	mv.followAt = now.Add(mv.jittered(followInterval / 3))
}

// settle puts a plan without a move in force: the target has all traffic,
// whatever an earlier move of another document decided.
func (mv *mover) settle(now time.Time) {
	want := settledShare(mv.serves, mv.subject.plan.Target, mv.doc.Generation)
	share, ok := mv.cfg.Stops.Share(mv.serves)
	target := model.VersionKey{Serves: mv.serves, Version: want.Target}
	inForce := ok && settled(share) && share.Target == want.Target && !mv.cfg.Stops.Stopped(target)
	if !inForce {
		mv.cfg.Stops.SetShare(want)
	}
	if mv.busy || now.Before(mv.notBefore) {
		return
	}
	_, held := mv.keeper.Held(now)
	if held && mv.move != nil && mv.move.State.Open() {
		mv.put(mv.replaced(now), mv.revision)
		return
	}
	mv.close()
}

// follow reads the record at an instance that knows no share of the plan, for
// example after a start while no peer can be reached.
func (mv *mover) follow(now time.Time) {
	if share, ok := mv.cfg.Stops.Share(mv.serves); ok && concerns(share, mv.subject.plan) || now.Before(mv.followAt) {
		return
	}
	mv.followAt = now.Add(mv.jittered(followInterval))
	mv.list(func(rows []store.Keyed[Move]) {
		if latest, ok := newest(rows); ok && SamePlan(latest.Value.Plan, mv.subject.plan) {
			mv.publish(&latest.Value)
		}
	})
}

// concerns reports whether the share belongs to the plan.
func concerns(share model.Share, plan model.VersionPlan) bool {
	return share.Target == plan.Target && (settled(share) || share.Previous == plan.Previous)
}

// backOff puts off the next store call, with jitter.
func (mv *mover) backOff(now time.Time) {
	mv.notBefore = now.Add(mv.jittered(retryInterval))
}

// jittered returns a time between d and 2d.
func (mv *mover) jittered(d time.Duration) time.Duration {
	return d + time.Duration(mv.rng.Float64()*float64(d))
}

// publish puts the record's share, and its stop if it was taken back, into
// the stop table. A record that is older than the table has no effect.
func (mv *mover) publish(m *Move) {
	mv.cfg.Stops.SetShare(m.shareRow())
	if m.State == TakenBack {
		mv.addStop(m.Epoch, m.Reason)
	}
}

// addStop bars the target. It needs neither the lease nor the table service.
func (mv *mover) addStop(epoch uint64, reason string) {
	added := mv.cfg.Stops.Add(model.Stop{
		Key:    model.VersionKey{Serves: mv.serves, Version: mv.subject.plan.Target},
		Epoch:  epoch,
		Reason: reason,
		By:     mv.cfg.Self,
	})
	if added {
		mv.added.count(evidencePooled)
	}
}

// stopOf returns the stop that bars the move's target.
func (mv *mover) stopOf(m *Move) (model.Stop, bool) {
	for _, s := range mv.cfg.Stops.Stops() {
		if s.Key == m.target() && s.Epoch >= m.Epoch {
			return s, true
		}
	}
	return model.Stop{}, false
}
