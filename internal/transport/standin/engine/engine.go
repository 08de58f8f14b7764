// Package engine is a stand-in for a model engine: continuous batching, a
// prefix cache, streams that outlive their connections, orders, a leaving
// notice, and faults that can be switched while it runs.
//
// One item of a worker pool advances the whole batch; a timer of the pool runs
// it when the next token is due. Handlers add streams to the batch and wait
// for tokens.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// Keys of the pool's items.
const (
	keySchedule worker.Key = "schedule"
	keyLoad     worker.Key = "load"
)

const (
	// poolWorkers suffices: items of two keys run at most.
	poolWorkers = 2
	// fetchTimeout bounds a fetch of weights with its waits for the rate.
	fetchTimeout = 10 * time.Minute
)

// Engine serves the engine API, FaultsPath, StatsPath and LeavePath. It is an
// http.Handler for a server of net/http, whose connections it can cut.
type Engine struct {
	opts    Options
	mux     *http.ServeMux
	pool    *worker.Pool
	batch   *batch
	control *control
	faults  *standin.Faults[Faults]
	timer   *worker.Timer // of keySchedule; used by its items only
}

// New starts an engine. Close stops it.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	random := rand.New(rand.NewPCG(opts.Seed, 1)) // guarded by the batch's lock
	lose := func() bool { return random.Float64() < opts.CacheEventLoss }
	e := &Engine{
		opts:    opts,
		mux:     http.NewServeMux(),
		pool:    worker.NewPool(worker.Options{Workers: poolWorkers}),
		batch:   newBatch(opts, lose, time.Now()),
		control: newControl(opts.state(), opts.Fencing),
		faults:  standin.NewFaults[Faults](opts.Seed),
	}
	e.faults.Set(opts.Faults)
	e.routes()
	return e
}

// Close cuts all streams and stops the engine's goroutines.
func (e *Engine) Close() {
	e.batch.kill(time.Now())
	e.pool.Close()
}

// Kill acts like the death of the process: it cuts all connections and loses
// all state but the counts. Each later request is cut until Restart.
func (e *Engine) Kill() {
	e.batch.kill(time.Now())
	e.control.reset(e.opts.state())
}

// Restart lets a killed engine serve again, as a new incarnation with the
// state of its options. Faults stay.
func (e *Engine) Restart() {
	e.batch.restart(time.Now())
}

// Leave gives notice that all streams are cut after the deadline. Until then
// the engine still accepts requests and counts them as AfterLeaving.
func (e *Engine) Leave(deadline time.Duration) {
	now := time.Now()
	incarnation := e.batch.status(now).incarnation
	if !e.batch.leave(now.Add(deadline)) {
		return
	}
	e.pool.After(deadline, keySchedule, worker.Func(func() {
		if e.batch.close(incarnation) && e.opts.Left != nil {
			e.opts.Left()
		}
	}))
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.faults.Set(faults)
	e.wake()
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	return e.batch.counts()
}

// Incarnation returns the number that changes with each restart.
func (e *Engine) Incarnation() uint64 {
	return e.batch.status(time.Now()).incarnation
}

// wake posts a run of schedule, as something changed.
func (e *Engine) wake() {
	e.pool.Post(keySchedule, worker.Func(e.schedule))
}

// schedule advances the batch and sets the timer for the next time. It runs as
// an item of keySchedule.
func (e *Engine) schedule() {
	e.timer.Stop()
	due, crash := e.batch.advance(pace{
		now:         time.Now(),
		tokenTime:   e.opts.TokenTime,
		prefillRate: e.opts.PrefillRate,
		faults:      e.faults.Get(),
	})
	if crash {
		e.crash()
		return
	}
	if !due.IsZero() {
		e.timer = e.pool.After(time.Until(due), keySchedule, worker.Func(e.schedule))
	}
}

func (e *Engine) crash() {
	if e.opts.Crash != nil {
		e.opts.Crash()
		return
	}
	e.Kill()
}

// load fetches the weights and then takes the time to load them.
func (e *Engine) load(load uint64, state engineapi.State) {
	fetch := func(ctx context.Context) (struct{}, error) {
		if e.opts.FetchWeights == nil {
			return struct{}{}, nil
		}
		return struct{}{}, e.opts.FetchWeights(ctx, state.Model+"/"+state.Version)
	}
	worker.Call(e.pool, keyLoad, fetchTimeout, fetch, func(_ struct{}, err error) {
		if err != nil {
			e.control.loadFailed(load)
			return
		}
		e.pool.After(e.opts.LoadTime, keyLoad, worker.Func(func() {
			if e.control.loaded(load) {
				e.batch.clearCache(time.Now())
			}
		}))
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := e.batch.status(time.Now())
	if now.dead {
		standin.CutConnection()
	}
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(now.incarnation, 10))
	w.Header().Set(engineapi.HeaderVersion, e.control.reply().Actual.Version)
	if now.leaving {
		w.Header().Set(engineapi.HeaderLeaving, "true")
	}
	e.mux.ServeHTTP(w, r)
}
