package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/plot"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// Instance is a running instance.
type Instance interface {
	// Address is the IP:port for callers.
	Address() string
	// Ready reports whether the instance can serve requests.
	Ready() bool
	// Stop stops the instance without draining it.
	Stop()
	// ControlBytes is the number of bytes that the instance sent to others.
	ControlBytes() uint64
}

// StartInstance starts an instance with a number, the address of the store as IP:port, and
// a policy.
type StartInstance func(number int, store string, policy forward.Policy) (Instance, error)

const (
	readyTimeout = 10 * time.Second
	readyCheck   = 20 * time.Millisecond
	columnTime   = 500 * time.Millisecond // time of one column of the picture
	copyInterval = 200 * time.Millisecond // between parts of a copy of an engine's memory
)

var outcomeKinds = []plot.Outcome{
	Served: {Name: "served", Colour: "#4c9f70"}, Late: {Name: "late", Colour: "#e0b03a"},
	Refused: {Name: "refused", Colour: "#8e8e8e"}, Lost: {Name: "lost", Colour: "#c0392b"},
}

// Result is the result of the run with one policy.
type Result struct {
	Policy                 string
	Counts                 [outcomeCount]int
	FirstEventTimes        []time.Duration // to the first event of streams, sorted
	PromptTokensComputed   int             // prompt tokens that engines computed
	PromptTokensRecomputed int             // prompt tokens that any engine had computed before
	RepeatedRuns           int             // runs of one attempt beyond its first
	ControlBytes           uint64          // sent between instances
	StoreCalls             int
	TimelineSVG            []byte // SVG
}

// RunPolicies runs the experiment once for each policy, one run after another.
func RunPolicies(ctx context.Context, c Config, start StartInstance) ([]Result, error) {
	var results []Result
	for _, name := range c.Policies {
		r := &run{config: c, policy: name, start: start, random: rand.New(rand.NewPCG(c.Seed, 1)), callers: newCallers(c)}
		result, err := r.execute(ctx)
		if err != nil {
			return results, trace.Wrap(err, "policy %s", name)
		}
		results = append(results, result)
	}
	return results, ctx.Err()
}

// run is the run of the experiment with one policy. mu guards the fields below it.
type run struct {
	config  Config
	policy  string
	start   StartInstance
	callers *callers
	fleet   *fleet.Fleet

	mu                  sync.Mutex
	random              *rand.Rand
	workers             []*fleet.Worker // all that were started, also those that crashed
	liveWorkers         map[string][]fleet.WorkerOptions
	instances           []Instance // nil where the instance is stopped
	stoppedControlBytes uint64     // sent by instances that have stopped
	workersAdded        int
	bars                []plot.Bar
}

func (r *run) execute(ctx context.Context) (Result, error) {
	var err error
	if r.fleet, err = fleet.Start("127.0.0.1:0"); err != nil {
		return Result{}, err
	}
	defer func() { _ = r.fleet.Close() }() // the run is over
	r.liveWorkers = map[string][]fleet.WorkerOptions{}
	if err := r.startWorkers(); err != nil {
		return Result{}, err
	}
	r.fleet.Store.Put("op", "config", fmt.Appendf(nil, fleet.Rules, 1))
	r.instances = make([]Instance, r.config.Fleet.Instances)
	defer r.stopInstances()
	for i := range r.instances {
		if err := r.startInstance(i); err != nil {
			return Result{}, err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	r.updateAddresses()
	faultCtx, cancel := context.WithCancel(ctx)
	var faults sync.WaitGroup
	for _, f := range r.config.Faults {
		faults.Go(func() { r.runFault(faultCtx, f) })
	}
	r.callers.run(ctx)
	cancel()
	faults.Wait()
	return r.result(), nil
}

func (r *run) startWorkers() error {
	f := r.config.Fleet
	for i := range f.Engines + f.Desks {
		opts := fleet.WorkerOptions{
			Service: "engine", Zone: zoneOf(i), Slots: f.EngineSlots, Events: f.Events, Interval: f.EventTime,
			PrefillTime: f.ReadTime, SerialPrefill: true, KVCopyInterval: copyInterval,
		}
		if i >= f.Engines {
			opts = fleet.WorkerOptions{Service: "desk", Zone: zoneOf(i), Slots: f.EngineSlots, WorkTime: f.WorkTime}
		}
		if err := r.addWorker(opts); err != nil {
			return err
		}
	}
	return nil
}

// zoneOf returns the failure domain of worker i, one of three in turn.
func zoneOf(i int) string { return string(rune('a' + i%3)) }

func (r *run) addWorker(opts fleet.WorkerOptions) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workersAdded++
	opts.ID = fmt.Sprintf("%s%d", opts.Service, r.workersAdded)
	w, err := r.fleet.Add(opts)
	if err != nil {
		return err
	}
	r.workers = append(r.workers, w)
	r.liveWorkers[opts.Service] = append(r.liveWorkers[opts.Service], opts)
	return nil
}

func (r *run) startInstance(i int) error {
	in, err := r.start(i, r.fleet.StoreAddress(), policies[r.policy])
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances[i] = in
	return nil
}

func (r *run) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		ready := 0
		for _, in := range r.instances {
			if in.Ready() {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
		pause(ctx, readyCheck)
	}
	return trace.LimitExceeded("not all instances are ready within %v", readyTimeout)
}

// updateAddresses gives the addresses of the running instances to the callers.
func (r *run) updateAddresses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, in := range r.instances {
		if in != nil {
			addresses = append(addresses, in.Address())
		}
	}
	r.callers.setAddresses(addresses)
}

func (r *run) stopInstances() {
	for i := range r.instances {
		r.stopInstance(i)
	}
}

func (r *run) stopInstance(i int) {
	r.mu.Lock()
	in := r.instances[i]
	r.instances[i] = nil
	if in != nil {
		r.stoppedControlBytes += in.ControlBytes()
	}
	r.mu.Unlock()
	if in != nil {
		in.Stop()
	}
}

// runFault waits for the start of a fault, applies it, and ends it. The picture
// shows the fault, with the error if it could not be applied or ended.
func (r *run) runFault(ctx context.Context, f Fault) {
	pause(ctx, f.At)
	if ctx.Err() != nil {
		return
	}
	undo, err := r.applyFault(f)
	label := f.Kind
	if err == nil {
		pause(ctx, f.For)
		err = undo()
	}
	if err != nil {
		label += ": " + err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bars = append(r.bars, plot.Bar{From: f.At, To: f.At + f.For, Label: label})
}

// applyFault applies a fault and returns the function that ends it.
func (r *run) applyFault(f Fault) (undo func() error, err error) {
	setStoreFault := func(fault fleet.Fault) func() error {
		r.fleet.Store.SetFault(fault)
		return func() error { r.fleet.Store.SetFault(fleet.FaultNone); return nil }
	}
	switch f.Kind {
	case EngineCrash:
		return r.crashWorkers("engine", f.Count)
	case DeskCrash:
		return r.crashWorkers("desk", f.Count)
	case InstanceStop:
		return r.stopRandomInstances(f.Count), nil
	case StoreBusy:
		return setStoreFault(fleet.FaultUnavailable), nil
	case StoreLost:
		return setStoreFault(fleet.FaultLoseAnswers), nil
	case StoreCompact:
		r.fleet.Store.Compact()
		return func() error { return nil }, nil
	default:
		return nil, trace.BadParameter("fault of unknown kind %q", f.Kind)
	}
}

// crashWorkers crashes workers of a service, the same ones for each policy. undo
// removes the entries of the crashed workers from the store, as if they had
// lapsed, and starts others in their place.
func (r *run) crashWorkers(service string, count int) (undo func() error, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.liveWorkers[service]
	count = min(count, len(candidates))
	r.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	crashed := slices.Clone(candidates[:count])
	r.liveWorkers[service] = slices.Clone(candidates[count:])
	for _, w := range r.fleet.Workers(service) {
		if slices.ContainsFunc(crashed, func(o fleet.WorkerOptions) bool { return o.ID == w.ID() }) {
			r.fleet.Crash(w)
		}
	}
	return func() error {
		for _, opts := range crashed {
			r.fleet.Store.Remove("servers", opts.ID)
			if err := r.addWorker(opts); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

// stopRandomInstances stops instances without draining them. undo starts them
// again.
func (r *run) stopRandomInstances(count int) (undo func() error) {
	r.mu.Lock()
	numbers := r.random.Perm(len(r.instances))[:min(count, len(r.instances))]
	r.mu.Unlock()
	for _, i := range numbers {
		r.stopInstance(i)
	}
	r.updateAddresses()
	return func() error {
		for _, i := range numbers {
			if err := r.startInstance(i); err != nil {
				return err
			}
		}
		r.updateAddresses()
		return nil
	}
}

func (r *run) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{Policy: r.policy, StoreCalls: r.fleet.Store.Calls(), ControlBytes: r.stoppedControlBytes}
	for _, in := range r.instances {
		if in != nil {
			out.ControlBytes += in.ControlBytes()
		}
	}
	timeline := plot.New(fmt.Sprintf("%s, seed %d: requests", r.policy, r.config.Seed), columnTime, r.config.Time, outcomeKinds)
	for _, s := range r.callers.observations {
		out.Counts[s.outcome]++
		timeline.Count(s.at, int(s.outcome))
		if s.stream && s.first > 0 {
			out.FirstEventTimes = append(out.FirstEventTimes, s.first)
		}
	}
	slices.Sort(out.FirstEventTimes)
	out.countRuns(r.workers, r.config.Load.PromptTokens)
	slices.SortFunc(r.bars, func(a, b plot.Bar) int { return int(a.From - b.From) })
	timeline.Bars = r.bars
	out.TimelineSVG = timeline.SVG()
	return out
}

// countRuns sums up the repeated runs and the prompt tokens of the workers.
func (out *Result) countRuns(workers []*fleet.Worker, tokens int) {
	runs, read := map[string]int{}, map[string]int{}
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.Request]++
			if run.Prefilled {
				read[run.PromptPrefix]++
			}
		}
	}
	for _, n := range runs {
		out.RepeatedRuns += n - 1
	}
	for _, n := range read {
		out.PromptTokensComputed += n * tokens
		out.PromptTokensRecomputed += (n - 1) * tokens
	}
}
