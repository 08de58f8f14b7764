package versions

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	// tickInterval is the time between ticks of the movers. A tick without an
	// open move does nothing.
	tickInterval = 400 * time.Millisecond
	// pollInterval is the time between reads of a record by an instance that reads
	// the store but is not the judge.
	pollInterval = time.Second
	// retryInterval is the delay after a failed store call.
	retryInterval = time.Second
	// callTimeout bounds a store call.
	callTimeout = 800 * time.Millisecond
)

const managerKey worker.Key = "versions"

// Record is the store's record of a move.
type Record struct {
	Move      model.VersionMove
	Era       model.Era     // of the store when it answered
	Revision  uint64        // of the row; 0 means that there is no row
	StoreTime time.Duration // the store's clock when it answered
}

// RecordStore reads and writes the records of moves. Its methods block.
type RecordStore interface {
	// Read returns the record of the service's last move.
	Read(ctx context.Context, service string) (Record, error)
	// Write replaces the record if its row has the given revision, and reports
	// the move to the operator. Otherwise it returns store.ErrConflict.
	Write(ctx context.Context, m model.VersionMove, revision uint64) (Record, error)
}

// Options configure a Manager.
type Options struct {
	Pool        *worker.Pool
	Records     RecordStore
	Moves       *move.Table
	Rules       *rules.Table
	Upstreams   *upstream.Table
	Commitments *commitment.Table
	// ReadsStore reports whether this instance reads the store itself, and IsJudge
	// whether it is the instance that judges moves.
	ReadsStore func() bool
	IsJudge    func() bool
	// OnChange is called after a change of the moves, to send it to the other
	// instances.
	OnChange    func()
	MaxExposure float64 // share of all requests that a bad version may get
	Allowance   int     // requests that a bad version may get beyond MaxExposure
	Log         log.Interface
}

// Manager runs the moves of all services. The fields below opts are used only by
// worker items of managerKey.
type Manager struct {
	opts        Options
	movers      map[string]*mover // by service
	tickStopped bool              // no tick is scheduled
	restoredEra model.Era         // begun by the last restore of the store; 0: none since the start
}

// New returns a Manager that does nothing until it receives an order.
func New(opts Options) *Manager {
	opts.Log = opts.Log.WithField("part", "versions")
	return &Manager{opts: opts, movers: map[string]*mover{}, tickStopped: true}
}

// AddOrders adds orders that were read from the store. It may be called from any
// goroutine.
func (m *Manager) AddOrders(orders []model.VersionOrder) {
	m.opts.Pool.Post(managerKey, worker.Func(func() {
		for _, o := range orders {
			m.addOrder(o)
		}
		if m.tickStopped && len(m.movers) > 0 {
			m.tickStopped = false
			m.tick()
		}
	}))
}

// addOrder starts a mover for a new order. The target receives no requests until the
// record gives it a share.
func (m *Manager) addOrder(o model.VersionOrder) {
	mv := m.movers[o.Service]
	current, _, inForce := m.opts.Moves.Get(o.Service)
	var last model.VersionOrder
	switch {
	case mv != nil:
		last = mv.order
	case inForce:
		last = current.VersionOrder
	}
	switch {
	case o.Era > last.Era && last.Revision > 0:
		switch compareRestored(o, last, mv.earlierOrders()) {
		case orderKnown:
			m.adoptOrder(o, last)
			return
		case orderReplaced:
			m.opts.Log.WithField("service", o.Service).WithField("target", o.Target).WithField("revision", o.Revision).
				Info("version order was replaced before the restore of the store and is ignored")
			return
		}
	case mv != nil && !o.After(last):
		return
	}
	m.movers[o.Service] = &mover{manager: m, order: o, rewrite: m.restoredEra > 0, earlier: mv.earlierOrders().with(last)}
	m.opts.Log.WithField("service", o.Service).WithField("target", o.Target).WithField("revision", o.Revision).
		WithField("within_ms", o.Within.Milliseconds()).Info("version move is ordered")
	m.apply(model.VersionMove{VersionOrder: o, State: model.MoveOpen, Reason: "ordered"})
}

func (m *Manager) tick() {
	for _, mv := range m.movers {
		mv.tick(time.Now())
	}
	m.opts.Pool.After(tickInterval, managerKey, worker.Func(m.tick))
}

// apply applies a record on this instance and sends it to the others, unless a newer
// one is known.
func (m *Manager) apply(mv model.VersionMove) {
	if !m.opts.Moves.Apply(mv, time.Now()) {
		return
	}
	m.opts.Log.WithField("service", mv.Service).WithField("target", mv.Target).WithField("revision", mv.Revision).
		WithField("state", string(mv.State)).WithField("share", mv.Share).WithField("step", mv.Step).
		WithField("cause", mv.Reason).Info("version move in force")
	m.opts.OnChange()
}

// mover runs the move of one service.
type mover struct {
	manager      *Manager
	order        model.VersionOrder
	callInFlight bool
	earlier      orders // that order has replaced
	// rewrite means that a restored store may lack the record: it is read, and written again
	// if it is not the one in force.
	rewrite     bool
	notBefore   time.Time
	storedKnown bool      // stored is the store's content; false before a read and after a failed call
	stored      Record    // record as last read or written
	storedAt    time.Time // local time at which stored was received
	analysis    *analysis // nil unless this instance judges
}

// analysis holds the judge of a move and the evidence that it has read.
type analysis struct {
	judge          *rollout.Judge
	startedAt      time.Time
	lastTotals     map[string]move.VersionCounts // by route, at the last call to observe
	step           uint64                        // step since which targetRequests counts
	targetRequests uint64                        // ended requests of the target since that step
	target, old    outcomes                      // since the order
	rate           float64                       // ended requests per second since rateFrom, at its last update
	rateFrom       time.Time
	rateEnded      uint64 // ended requests at rateFrom
}

// ratePeriod is the time over which the rate of requests is measured.
const ratePeriod = 2 * time.Second

// allRoutes names the sum over all routes to the judge. A fault of the version shows
// there sooner than on each of several routes with little traffic.
const allRoutes = "all routes"

// tick reads the record, or advances the move on the instance that judges.
func (mv *mover) tick(now time.Time) {
	current, _, _ := mv.manager.opts.Moves.Get(mv.order.Service)
	ended := !current.Is(mv.order) || current.State != model.MoveOpen
	judges := mv.manager.opts.IsJudge()
	if !judges {
		mv.analysis = nil
	}
	if mv.callInFlight || now.Before(mv.notBefore) || !mv.manager.opts.ReadsStore() || (ended && mv.endIsStored(current)) {
		return
	}
	if !mv.storedKnown || !judges {
		mv.read(now)
		return
	}
	mv.advance(current, now)
}

// endIsStored reports whether an ended move needs no further store call: the store's
// record already says that the move has ended, or a newer order has replaced the move.
func (mv *mover) endIsStored(current model.VersionMove) bool {
	return current.After(mv.order) || (current.State == model.MoveFinished && !mv.rewrite) ||
		(mv.storedKnown && mv.stored.Revision > 0 && mv.stored.Move.Is(current.VersionOrder) && mv.stored.Move.State == current.State)
}

// read reads and applies the store's record.
func (mv *mover) read(now time.Time) {
	mv.callInFlight = true
	mv.notBefore = now.Add(pollInterval)
	call := func(ctx context.Context) (Record, error) { return mv.manager.opts.Records.Read(ctx, mv.order.Service) }
	worker.Call(mv.manager.opts.Pool, managerKey, callTimeout, call, func(got Record, err error) {
		mv.callInFlight = false
		if err == nil {
			err = mv.manager.checkEra(got)
		}
		if err != nil {
			mv.callFailed("read", err)
			return
		}
		mv.applyStored(got)
		mv.notBefore = time.Time{}
		if !mv.manager.opts.IsJudge() {
			mv.notBefore = now.Add(pollInterval)
		}
	})
}

// applyStored keeps a record that was read or written, and applies it unless it
// belongs to an older order.
func (mv *mover) applyStored(got Record) {
	got.Move.VersionOrder = mv.keptOrder(got.Move.VersionOrder)
	mv.storedKnown, mv.stored = true, got
	mv.storedAt = time.Now()
	if got.Revision > 0 && !mv.order.After(got.Move.VersionOrder) {
		mv.manager.apply(got.Move)
	}
	if current, _, _ := mv.manager.opts.Moves.Get(mv.order.Service); !mv.isBehind(current) {
		mv.rewrite = false
	}
}

// callFailed logs a failed store call. The record is read again after retryInterval,
// or at once after a conflict.
func (mv *mover) callFailed(operation string, err error) {
	mv.storedKnown = false
	mv.notBefore = time.Now().Add(retryInterval)
	if errors.Is(err, store.ErrConflict) {
		mv.notBefore = time.Time{}
	}
	mv.manager.opts.Log.WithField("service", mv.order.Service).WithField("call", operation).WithError(err).Warn("record of the version move not reached")
}

// advance takes the next step of the move, if one is due. If the move is taken back,
// the target loses its traffic at once; it receives more only after the store has the
// step.
func (mv *mover) advance(current model.VersionMove, now time.Time) {
	if mv.rewrite && mv.isBehind(current) {
		mv.manager.opts.Log.WithField("service", current.Service).WithField("target", current.Target).
			WithField("state", string(current.State)).WithField("step", current.Step).Info("record of the version move is written again after a restore of the store")
		mv.write(current)
		return
	}
	if current.State != model.MoveOpen {
		mv.write(current) // the move was taken back here, which the store does not have yet
		return
	}
	clock := mv.stored.StoreTime + now.Sub(mv.storedAt)
	if current.Step == 0 {
		current.Started, current.Since = clock, clock
	}
	t := mv.observe(current, now)
	s := decisionInput{
		move:           current,
		now:            clock,
		exposure:       mv.manager.opts.MaxExposure,
		allowance:      mv.manager.opts.Allowance,
		suspicion:      t.judge.Suspicion(),
		targetRequests: t.targetRequests,
		target:         t.target,
		old:            t.old,
		rate:           t.rate,
		oldInFlight:    mv.oldInFlight(current, now),
	}
	if verdict, bad := t.judge.Verdict(); bad {
		s.verdict = verdict.String()
	}
	next, changed := decide(s)
	if !changed {
		return
	}
	if next.State == model.MoveTakenBack {
		mv.manager.apply(next)
	}
	mv.write(next)
}

// write writes the record if its row still has the last known revision.
func (mv *mover) write(next model.VersionMove) {
	mv.callInFlight = true
	revision := mv.stored.Revision
	call := func(ctx context.Context) (Record, error) { return mv.manager.opts.Records.Write(ctx, next, revision) }
	worker.Call(mv.manager.opts.Pool, managerKey, callTimeout, call, func(got Record, err error) {
		mv.callInFlight = false
		if err == nil {
			err = mv.manager.checkEra(got)
		}
		if err != nil {
			mv.callFailed("write", err)
			return
		}
		mv.applyStored(got)
	})
}

// observe passes the counts since its last call to the judge. It creates the analysis
// if there is none.
func (mv *mover) observe(current model.VersionMove, now time.Time) *analysis {
	t := mv.analysis
	if t == nil {
		t = &analysis{judge: rollout.NewJudge(append(mv.routes(), allRoutes)), startedAt: now, step: current.Step, rateFrom: now}
		mv.analysis = t
	}
	if t.step != current.Step {
		t.step, t.targetRequests = current.Step, 0
		t.judge.ShareChanged()
	}
	totals := mv.manager.opts.Moves.Totals(mv.order.Service)
	// The batch time counts from the start of the analysis instead of the time of
	// day, which may jump.
	batch := rollout.Batch{At: time.Unix(0, 0).Add(now.Sub(t.startedAt))}
	all := rollout.RouteCounts{Route: allRoutes}
	for route, both := range totals {
		oldDelta, newDelta := evidenceCounts(both.Old.Since(t.lastTotals[route].Old)), evidenceCounts(both.New.Since(t.lastTotals[route].New))
		batch.Routes = append(batch.Routes, rollout.RouteCounts{Route: route, Old: oldDelta, New: newDelta})
		all.Old.Requests += oldDelta.Requests
		all.Old.Failures += oldDelta.Failures
		all.New.Requests += newDelta.Requests
		all.New.Failures += newDelta.Failures
	}
	batch.Routes = append(batch.Routes, all)
	t.lastTotals = totals
	t.targetRequests += all.New.Requests
	t.target.add(all.New)
	t.old.add(all.Old)
	t.measureRate(now)
	t.judge.Observe(batch)
	return t
}

// measureRate updates the rate after each ratePeriod.
func (t *analysis) measureRate(now time.Time) {
	if now.Sub(t.rateFrom) < ratePeriod {
		return
	}
	ended := t.target.ended + t.old.ended
	t.rate = float64(ended-t.rateEnded) / now.Sub(t.rateFrom).Seconds()
	t.rateFrom, t.rateEnded = now, ended
}

func (o *outcomes) add(c evidence.Counts) {
	o.ended += c.Requests
	o.bad += c.Failures
}

func evidenceCounts(c move.Counts) evidence.Counts {
	return evidence.Counts{Requests: c.Requests, Failures: c.Failures}
}

// routes returns the names of the routes to the service.
func (mv *mover) routes() []string {
	current := mv.manager.opts.Rules.Current()
	if current == nil {
		return nil
	}
	var names []string
	for _, route := range current.Routes {
		for _, target := range route.Targets {
			if target.Service == mv.order.Service {
				names = append(names, route.Name)
				break
			}
		}
	}
	return names
}

// oldInFlight returns the number of requests in flight on other versions than the
// target, as far as the instances of this cell have reported them.
func (mv *mover) oldInFlight(current model.VersionMove, now time.Time) int {
	totals := mv.manager.opts.Commitments.Totals(now)
	inFlight := 0
	for _, row := range mv.manager.opts.Upstreams.Serving(mv.order.Service) {
		if row.Upstream.Version != current.Target {
			inFlight += totals[row.Upstream.ID].Requests
		}
	}
	return inFlight
}
