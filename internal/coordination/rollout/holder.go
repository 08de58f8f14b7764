package rollout

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
)

// callTimeout bounds a store call.
const callTimeout = 3 * time.Second

// errLapsed means that the lease ended before the write was sent.
var errLapsed = errors.New("lease ended before the write was sent")

// load reads the records and takes over or begins the move.
func (mv *mover) load(fencing uint64) {
	mv.list(func(rows []store.Keyed[Move]) {
		mv.fencing = fencing
		latest, ok := newest(rows)
		switch {
		case !ok:
			mv.begin(nil)
		case SamePlan(latest.Value.Plan, mv.subject.plan):
			mv.adopt(latest)
		case mv.doc.Generation <= latest.Value.Generation:
			// This instance's document is the older one.
			mv.backOff(time.Now())
		case latest.Value.State.Open():
			mv.move, mv.revision = &latest.Value, latest.Revision
			mv.put(mv.replaced(time.Now()), latest.Revision)
		default:
			mv.begin(&latest.Value)
		}
	})
}

// list reads the records of this model or service.
func (mv *mover) list(then func([]store.Keyed[Move])) {
	mv.busy = true
	prefix := RowPrefix(mv.doc.Environment, mv.serves)
	call := func(ctx context.Context) ([]store.Keyed[Move], error) { return mv.cfg.Moves.List(ctx, prefix) }
	worker.Call(mv.cfg.Pool, mv.key, callTimeout, call, func(rows []store.Keyed[Move], err error) {
		mv.busy = false
		if err != nil {
			mv.backOff(time.Now())
			return
		}
		then(rows)
	})
}

// newest returns the record of the highest generation.
func newest(rows []store.Keyed[Move]) (store.Keyed[Move], bool) {
	var latest store.Keyed[Move]
	for _, row := range rows {
		if row.Value.Generation >= latest.Value.Generation {
			latest = row
		}
	}
	return latest, len(rows) > 0
}

// adopt takes over a record. The write under the new fencing number makes a
// write of the former holder that is still under way fail.
func (mv *mover) adopt(row store.Keyed[Move]) {
	if row.Value.Fencing > mv.fencing {
		mv.backOff(time.Now())
		return
	}
	if !row.Value.State.Open() {
		mv.move, mv.revision = &row.Value, row.Revision
		mv.publish(mv.move)
		return
	}
	if t := mv.trial; t != nil {
		if _, bad := t.judge.Verdict(); !bad {
			mv.trial = nil // read the evidence since the move's start again
		}
	}
	next := row.Value
	next.Seen = maps.Clone(next.Seen)
	mv.put(next, row.Revision)
}

// begin writes the record of a new move. old is the last move, or nil.
func (mv *mover) begin(old *Move) {
	now := time.Now()
	m := Move{
		Environment: mv.doc.Environment,
		Serves:      mv.serves,
		Generation:  mv.doc.Generation,
		Plan:        mv.subject.plan,
		State:       Moving,
		Reason:      "asked for by the document",
		ShareSince:  now,
		Epoch:       mv.doc.Generation << epochBits,
		Revision:    mv.doc.Generation << revisionBits,
		Started:     now,
		Seen:        map[string]uint64{},
	}
	if old != nil {
		m.Epoch = max(m.Epoch, old.Epoch+1)
		m.Revision = max(m.Revision, old.Revision+1)
	}
	m.Share = mv.initialShare(old)
	m.Figures.HighestShare = m.Share
	mv.log.WithField("target", m.Plan.Target).Info("version move begins")
	mv.put(m, store.NoRow)
}

// initialShare is the part of the traffic that the target has already: all or
// some of it if the last move went the other way or had the same target.
func (mv *mover) initialShare(old *Move) float64 {
	if old == nil {
		return 0
	}
	share := old.shareRow()
	_, stopped := mv.stopOf(old)
	if old.State == TakenBack && old.Plan.Target == mv.subject.plan.Target {
		return 0
	}
	return effective(mv.subject.plan, share, stopped)
}

// replaced returns the record of the present move as ended by a newer
// document.
func (mv *mover) replaced(now time.Time) Move {
	next := *mv.move
	next.State, next.Ended = Replaced, now
	next.Reason = "replaced by a newer document"
	return next
}

// advance decides and carries out the next action of an open move.
func (mv *mover) advance(now time.Time) {
	if mv.trial == nil {
		return
	}
	s := mv.situation(now)
	d := Decide(s)
	switch {
	case d.Action != Keep:
		next := Apply(*mv.move, d, now)
		if d.Action == TakeBack {
			mv.addStop(mv.move.Epoch, d.Reason)
			mv.blame(&next, s, now)
		}
		mv.log.WithField("action", string(d.Action)).WithField("share", next.Share).Info(d.Reason)
		mv.put(next, mv.revision)
	case now.Sub(mv.written) >= checkpointInterval:
		next := *mv.move
		next.Seen = maps.Clone(next.Seen)
		mv.put(next, mv.revision)
	}
}

func (mv *mover) situation(now time.Time) Situation {
	s := Situation{Now: now, Move: *mv.move, Suspicion: mv.trial.judge.Suspicion()}
	if v, bad := mv.trial.judge.Verdict(); bad {
		s.Verdict = &v
	}
	if st, ok := mv.stopOf(mv.move); ok {
		if mv.stoppedAt.IsZero() {
			mv.stoppedAt = now
		}
		s.Stopped, s.StopReason, s.StoppedAt = true, st.Reason, mv.stoppedAt
	} else {
		mv.stoppedAt = time.Time{}
	}
	s.Routes = mv.routeEvidence(now)
	return s
}

// blame adds what is known of the fault to the record.
func (mv *mover) blame(m *Move, s Situation, now time.Time) {
	stopped := now
	if s.Stopped {
		stopped = s.StoppedAt
	}
	shown := stopped
	if s.Verdict != nil {
		shown = s.Verdict.Since
	} else if since := mv.trial.judge.FaultSince(); !since.IsZero() {
		shown = since
	}
	m.Figures.FaultShownAt = shown
	m.Figures.SentAfterFault = mv.trial.judge.SentSince(shown)
	m.Figures.TimeToTakeBack = max(0, stopped.Sub(shown))
}

// put writes the record. The lease is checked again when the write is sent.
func (mv *mover) put(next Move, expected store.Revision) {
	mv.busy = true
	next.Holder, next.Fencing = mv.cfg.Self, mv.fencing
	next.CountedTo = minuteOf(time.Now())
	if mv.trial != nil {
		f := mv.trial.judge.Figures()
		next.Figures.SlowFirstToken, next.Figures.SlowPace = f.SlowFirstToken, f.SlowPace
	}
	stored := next
	stored.Seen = maps.Clone(next.Seen) // the store's copy must not change later
	key := RowKey(next.Environment, next.Serves, next.Generation)
	fencing := mv.fencing
	call := func(ctx context.Context) (store.Revision, error) {
		if held, ok := mv.keeper.Held(time.Now()); !ok || held != fencing {
			return "", errLapsed
		}
		return mv.cfg.Moves.Put(ctx, key, stored, expected)
	}
	worker.Call(mv.cfg.Pool, mv.key, callTimeout, call, func(revision store.Revision, err error) {
		mv.onPut(next, revision, err)
	})
}

// onPut publishes what was written. After any failure but a refusal the
// record is read again before the next write.
func (mv *mover) onPut(next Move, revision store.Revision, err error) {
	mv.busy = false
	if errors.Is(err, store.ErrUnavailable) {
		mv.backOff(time.Now())
		return
	}
	if err != nil {
		mv.forget()
		return
	}
	mv.keepCounts(&next)
	if mv.trial != nil && mv.move != nil && next.Revision > mv.move.Revision {
		mv.trial.judge.ShareChanged()
	}
	mv.move, mv.revision = &next, revision
	mv.written = time.Now()
	mv.publish(mv.move)
	if next.State == Replaced {
		mv.forget()
	}
}

// keepCounts carries over the requests that were counted while the write was
// under way.
func (mv *mover) keepCounts(next *Move) {
	now := mv.move
	if now == nil || now.Generation != next.Generation {
		return
	}
	next.Figures.Requests = max(next.Figures.Requests, now.Figures.Requests)
	next.Figures.Failures = max(next.Figures.Failures, now.Figures.Failures)
	if now.Revision == next.Revision {
		for route, n := range now.Seen {
			next.Seen[route] = max(next.Seen[route], n)
		}
	}
}
