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

var errLapsed = errors.New("lease ended before the write was sent")

// loadRecord reads the records after the lease was acquired, and then takes over,
// replaces or begins the move.
func (mv *mover) loadRecord(fencing uint64) {
	mv.listRecords(func(rows []store.Row[Move]) {
		mv.fencing = fencing
		latest, ok := latestRecord(rows)
		switch {
		case !ok:
			mv.begin(nil)
		case SamePlan(latest.Value.Plan, mv.subject.plan):
			mv.adopt(latest)
		case mv.doc.Generation <= latest.Value.Generation:
			// The record belongs to a newer document than this instance has.
			mv.backOff(time.Now())
		case latest.Value.State.Open():
			mv.move, mv.revision = &latest.Value, latest.Revision
			mv.putRecord(mv.replacedRecord(time.Now()), latest.Revision)
		default:
			mv.begin(&latest.Value)
		}
	})
}

// listRecords reads the records of this model or service and passes them to then. A
// failed read is retried by a later tick.
func (mv *mover) listRecords(then func([]store.Row[Move])) {
	mv.callInFlight = true
	prefix := RowPrefix(mv.doc.Environment, mv.serves)
	call := func(ctx context.Context) ([]store.Row[Move], error) { return mv.cfg.Moves.List(ctx, prefix) }
	worker.Call(mv.cfg.Pool, mv.key, callTimeout, call, func(rows []store.Row[Move], err error) {
		mv.callInFlight = false
		if err != nil {
			mv.backOff(time.Now())
			return
		}
		then(rows)
	})
}

// latestRecord returns the record with the highest generation, and false if there is no
// record.
func latestRecord(rows []store.Row[Move]) (store.Row[Move], bool) {
	var latest store.Row[Move]
	for _, row := range rows {
		if row.Value.Generation >= latest.Value.Generation {
			latest = row
		}
	}
	return latest, len(rows) > 0
}

// adopt takes over the record of a former holder. It writes the record under the
// new fencing token, which changes the row's revision, so that a write of the
// former holder that is still in flight fails.
func (mv *mover) adopt(row store.Row[Move]) {
	if row.Value.Fencing > mv.fencing {
		mv.backOff(time.Now())
		return
	}
	if !row.Value.State.Open() {
		mv.move, mv.revision = &row.Value, row.Revision
		mv.publish(mv.move)
		return
	}
	if t := mv.analysis; t != nil {
		if _, bad := t.judge.Verdict(); !bad {
			mv.analysis = nil // the next analysis reads the evidence since the start of the move
		}
	}
	next := row.Value
	next.Seen = maps.Clone(next.Seen)
	mv.putRecord(next, row.Revision)
}

// begin writes the record of a new move. old is the previous move, or nil.
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
	mv.putRecord(m, store.NoRow)
}

// initialShare returns the share of the traffic that the target has already. It
// is above 0 if the previous move went in the opposite direction or had the same
// target, unless that move took the target back.
func (mv *mover) initialShare(old *Move) float64 {
	if old == nil {
		return 0
	}
	share := old.shareRow()
	_, stopped := mv.stopOf(old)
	if old.State == TakenBack && old.Plan.Target == mv.subject.plan.Target {
		return 0
	}
	return effectiveShare(mv.subject.plan, share, stopped)
}

// replacedRecord returns the record of the present move with the state that a newer
// document replaced it.
func (mv *mover) replacedRecord(now time.Time) Move {
	next := *mv.move
	next.State, next.Ended = Replaced, now
	next.Reason = "replaced by a newer document"
	return next
}

// advance decides the next action of an open move and writes its record. Without
// an action it writes the record each checkpointInterval.
func (mv *mover) advance(now time.Time) {
	if mv.analysis == nil {
		return
	}
	s := mv.situation(now)
	d := Decide(s)
	switch {
	case d.Action != Keep:
		next := Apply(*mv.move, d, now)
		if d.Action == TakeBack {
			mv.addStop(mv.move.Epoch, d.Reason)
			mv.recordFault(&next, s, now)
		}
		mv.log.WithField("action", string(d.Action)).WithField("share", next.Share).Info(d.Reason)
		mv.putRecord(next, mv.revision)
	case now.Sub(mv.writtenAt) >= checkpointInterval:
		next := *mv.move
		next.Seen = maps.Clone(next.Seen)
		mv.putRecord(next, mv.revision)
	}
}

// situation collects the inputs of a decision.
func (mv *mover) situation(now time.Time) DecisionInput {
	s := DecisionInput{Now: now, Move: *mv.move, Suspicion: mv.analysis.judge.Suspicion()}
	if v, bad := mv.analysis.judge.Verdict(); bad {
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

// recordFault adds the estimated start of the fault, the requests sent since then
// and the time until the stop to the record.
func (mv *mover) recordFault(m *Move, s DecisionInput, now time.Time) {
	stopped := now
	if s.Stopped {
		stopped = s.StoppedAt
	}
	shown := stopped
	if s.Verdict != nil {
		shown = s.Verdict.Since
	} else if since := mv.analysis.judge.FaultSince(); !since.IsZero() {
		shown = since
	}
	m.Figures.FaultShownAt = shown
	m.Figures.SentAfterFault = mv.analysis.judge.RequestsSince(shown)
	m.Figures.TimeToTakeBack = max(0, stopped.Sub(shown))
}

// putRecord writes the record if its row still has the expected revision. The lease is
// checked again right before the write is sent.
func (mv *mover) putRecord(next Move, expected store.Revision) {
	mv.callInFlight = true
	next.Holder, next.Fencing = mv.cfg.Self, mv.fencing
	next.CountedTo = minuteOf(time.Now())
	if mv.analysis != nil {
		f := mv.analysis.judge.Figures()
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

// onPut publishes the written record. If the store was unavailable, the write had
// no effect, and the next store call waits for the backoff. After any other error,
// such as a conflict or a lost answer, the record is read before the next write.
func (mv *mover) onPut(next Move, revision store.Revision, err error) {
	mv.callInFlight = false
	if errors.Is(err, store.ErrUnavailable) {
		mv.backOff(time.Now())
		return
	}
	if err != nil {
		mv.dropRecord()
		return
	}
	mv.mergeCounts(&next)
	if mv.analysis != nil && mv.move != nil && next.Revision > mv.move.Revision {
		mv.analysis.judge.ShareChanged()
	}
	mv.move, mv.revision = &next, revision
	mv.writtenAt = time.Now()
	mv.publish(mv.move)
	if next.State == Replaced {
		mv.dropRecord()
	}
}

// mergeCounts adds the requests that were counted while the write was in flight
// to the written record.
func (mv *mover) mergeCounts(next *Move) {
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
