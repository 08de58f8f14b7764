// Package engine is a stand-in for a model engine: continuous batching, a
// prefix cache, streams that outlive their connections, orders, a leaving
// notice, and faults that can be switched while it runs.
//
// A single work item of a worker pool advances the whole batch; a timer of the pool
// posts the item when the next token is due. Handlers add streams to the batch and wait
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
	// poolWorkers is the number of keys: items of one key run one at a time.
	poolWorkers = 2
	// fetchTimeout bounds a fetch of weights, including the waits for the rate
	// limit of the weight store.
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
	timer   *worker.Timer // posts the next item of keySchedule; used only by items of that key
}

// New starts an engine. Close stops it.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	random := rand.New(rand.NewPCG(opts.Seed, 1)) // guarded by the batch's lock
	dropEvent := func() bool { return random.Float64() < opts.CacheEventLoss }
	e := &Engine{
		opts:    opts,
		mux:     http.NewServeMux(),
		pool:    worker.NewPool(worker.Options{Workers: poolWorkers}),
		batch:   newBatch(opts, dropEvent, time.Now()),
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

// Kill simulates the death of the process: it cuts all connections and discards
// all state except the counts. The connections of later requests are cut until
// Restart.
func (e *Engine) Kill() {
	e.batch.kill(time.Now())
	e.control.reset(e.opts.state())
}

// Restart lets a killed engine serve again, as a new incarnation with the state
// from its options. Faults stay in force.
func (e *Engine) Restart() {
	e.batch.restart(time.Now())
}

// Leave announces that all streams are cut after the deadline. Until then
// the engine still accepts requests and counts them as AfterLeaving.
func (e *Engine) Leave(deadline time.Duration) {
	now := time.Now()
	incarnation := e.batch.status(now).incarnation
	if !e.batch.leave(now.Add(deadline)) {
		return
	}
	e.pool.After(deadline, keySchedule, worker.Func(func() {
		if e.batch.close(incarnation) && e.opts.OnLeft != nil {
			e.opts.OnLeft()
		}
	}))
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.faults.Set(faults)
	e.postSchedule()
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	return e.batch.statsSnapshot()
}

// Incarnation returns the number that changes with each restart.
func (e *Engine) Incarnation() uint64 {
	return e.batch.status(time.Now()).incarnation
}

// postSchedule posts a run of schedule after a change of the batch or the faults.
func (e *Engine) postSchedule() {
	e.pool.Post(keySchedule, worker.Func(e.schedule))
}

// schedule advances the batch and sets the timer for its next run. It runs only as
// an item of keySchedule.
func (e *Engine) schedule() {
	e.timer.Stop()
	due, crash := e.batch.advance(stepParams{
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
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
		return
	}
	e.Kill()
}

// load fetches the weights and completes the load after LoadTime.
func (e *Engine) load(loadID uint64, state engineapi.State) {
	fetch := func(ctx context.Context) (struct{}, error) {
		if e.opts.FetchWeights == nil {
			return struct{}{}, nil
		}
		return struct{}{}, e.opts.FetchWeights(ctx, state.Model+"/"+state.Version)
	}
	worker.Call(e.pool, keyLoad, fetchTimeout, fetch, func(_ struct{}, err error) {
		if err != nil {
			e.control.abandonLoad(loadID)
			return
		}
		e.pool.After(e.opts.LoadTime, keyLoad, worker.Func(func() {
			if e.control.finishLoad(loadID) {
				e.batch.clearCache(time.Now())
			}
		}))
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := e.batch.status(time.Now())
	if current.dead {
		standin.CutConnection()
	}
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(current.incarnation, 10))
	w.Header().Set(engineapi.HeaderVersion, e.control.reply().Actual.Version)
	if current.leaving {
		w.Header().Set(engineapi.HeaderLeaving, "true")
	}
	e.mux.ServeHTTP(w, r)
}
