package e2e

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
	"gotest.tools/v3/assert"
)

// The refusal test runs edged processes of which the store turns some away for a time,
// while workers leave. The flags choose longer series than the one of CI.
var (
	refusalFirst  = flag.Uint64("refusal.first", 1, "first seed of series of refusals")
	refusalSeeds  = flag.Int("refusal.seeds", 1, "number of seeds from the first on")
	refusalRounds = flag.Int("refusal.rounds", 3, "refusals in a series")
	refusalLeave  = flag.Duration("refusal.leave", 0, "time from the beginning of a refusal at which workers leave; 0 draws it")
)

const (
	refusalInstances = 12
	// refusalInterval is the time between the beginnings of two refusals.
	refusalInterval = 8 * time.Second
	// refusedInstances is the number of instances that are turned away at once.
	refusedInstances = 4
	refusalWorkers   = 12
	// leavingWorkers is the number of workers that leave at once.
	leavingWorkers = 3
	// refusalCallers is the number of callers of an instance.
	refusalCallers = 3
)

// refusalLengths are the lengths that are drawn.
var refusalLengths = []time.Duration{time.Second, 1700 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond}

// refusal is a time in which the store turns instances away.
type refusal struct {
	instances []int
	status    int       // of its answers; 0: none, the mode of the links says how calls fail
	mode      proxyMode // of the links to the store
	length    time.Duration
	leave     time.Duration // from the beginning of the refusal to the leave of workers
}

func (r refusal) String() string {
	return fmt.Sprintf("[status %d, link %s at %v for %v, workers leave after %v]", r.status, r.mode, r.instances, r.length, r.leave)
}

func drawRefusal(random *rand.Rand) refusal {
	r := refusal{
		instances: []int{0, 1, 10, 11}, // the first ones by ID, which are the next to read the store
		mode:      modePass,
		length:    refusalLengths[random.IntN(len(refusalLengths))],
	}
	if random.IntN(2) == 0 {
		r.instances = random.Perm(refusalInstances)[:refusedInstances]
		slices.Sort(r.instances)
	}
	switch random.IntN(4) {
	case 0:
		r.mode = modeReset
	case 1:
		r.mode = modeDead
	case 2:
		r.status = http.StatusTooManyRequests
	default:
		r.status = http.StatusServiceUnavailable
	}
	r.leave = time.Duration(random.Int64N(int64(r.length + 400*time.Millisecond))).Round(time.Millisecond)
	if *refusalLeave > 0 {
		r.leave = *refusalLeave
	}
	return r
}

// storeGate is the way of one instance to the store, which may refuse its calls.
type storeGate struct {
	store  http.Handler
	status atomic.Int32 // of all answers; 0: calls pass
	server *http.Server
	link   *proxy
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if status := g.status.Load(); status > 0 {
		w.WriteHeader(int(status))
		return
	}
	g.store.ServeHTTP(w, r)
}

func startGate(t *testing.T, store http.Handler) *storeGate {
	t.Helper()
	g := &storeGate{store: store}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: time.Second}
	go func() { _ = g.server.Serve(listener) }() // returns after Close
	g.link, err = startProxy(listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		g.link.close()
		_ = g.server.Close()
	})
	return g
}

// refusalSeries is a deployment whose store turns instances away.
type refusalSeries struct {
	*edges
	random  *rand.Rand
	pauses  pauseWatch
	gates   []*storeGate
	started int                         // number of workers that have been added
	left    map[*fleet.Worker]time.Time // since when the store says that each worker leaves
	causes  map[*fleet.Worker]refusal   // beside which each worker has left
}

// Guards against a worker that gets requests after it has left, from instances that the store
// has turned away or that poll such instances (review/2).
func TestGoneWorkersGetNoRequestsAfterRefusals(t *testing.T) {
	t.Parallel()
	for seed := *refusalFirst; seed < *refusalFirst+uint64(*refusalSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := startRefusalSeries(t, rand.New(rand.NewPCG(seed, 31)))
			stop := make(chan struct{})
			var asking sync.WaitGroup
			for i := range s.procs {
				for n := range refusalCallers {
					asking.Go(func() { s.ask(i, n, stop) })
				}
			}
			asking.Go(func() { s.pauses.watch(stop) })
			for range *refusalRounds {
				s.play(drawRefusal(s.random))
			}
			close(stop)
			asking.Wait()
			s.check()
		})
	}
}

func startRefusalSeries(t *testing.T, random *rand.Rand) *refusalSeries {
	t.Helper()
	f, err := fleet.Start("127.0.0.1:0")
	assert.NilError(t, err)
	s := &refusalSeries{edges: &edges{t: t, fleet: f}, random: random, left: map[*fleet.Worker]time.Time{}, causes: map[*fleet.Worker]refusal{}}
	t.Cleanup(func() {
		for _, p := range s.procs {
			p.kill()
		}
		assert.Check(t, f.Close())
	})
	for range refusalWorkers {
		s.addWorker()
	}
	dir := t.TempDir()
	if *soakKeep != "" {
		dir = *soakKeep
	}
	for i := range refusalInstances {
		s.gates = append(s.gates, startGate(t, f.Store))
		s.startEdge(dir, i, s.gates[i].link.address())
	}
	s.publishRules()
	s.awaitReady()
	time.Sleep(settleTime)
	return s
}

func (s *refusalSeries) addWorker() {
	s.started++
	s.add(fleet.WorkerOptions{
		ID: fmt.Sprint("desk", s.started), Service: "desk", Zone: string(rune('a' + s.started%3)), Slots: 16, WorkTime: 5 * time.Millisecond,
	})
}

// ask sends requests to an instance until stop is closed.
func (s *refusalSeries) ask(instance, caller int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(askInterval):
		}
		request := fleet.CallerRequest{
			ID: fmt.Sprintf("%d-%d-%d", instance, caller, n), Address: fmt.Sprintf("127.0.0.1:%d", s.ports[instance].callers),
			Path: "/read/1", APIKey: "key", Deadline: 4 * time.Second, PromptTokens: 10, MaxOutputTokens: 1,
		}
		req, err := request.Request(s.t.Context())
		if err != nil {
			s.t.Error(err)
			return
		}
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // the runs at the workers alone count
			_ = resp.Body.Close()
		}
	}
}

// play turns some instances away, lets workers leave and adds others in their place.
func (s *refusalSeries) play(r refusal) {
	begin := time.Now()
	s.setGates(r.instances, r.status, r.mode)
	if r.leave < r.length {
		time.Sleep(r.leave)
		s.leave(r)
	}
	time.Sleep(time.Until(begin.Add(r.length)))
	s.setGates(r.instances, 0, modePass)
	if r.leave >= r.length {
		time.Sleep(time.Until(begin.Add(r.leave)))
		s.leave(r)
	}
	time.Sleep(time.Until(begin.Add(refusalInterval - drainBound/2)))
	for range leavingWorkers {
		s.addWorker()
	}
	time.Sleep(time.Until(begin.Add(refusalInterval)))
}

func (s *refusalSeries) setGates(instances []int, status int, mode proxyMode) {
	for _, i := range instances {
		s.gates[i].status.Store(int32(status))
		s.gates[i].link.setMode(mode)
	}
}

// leave makes workers leave: the entry of one says so, those of the others are removed.
func (s *refusalSeries) leave(r refusal) {
	workers := slices.DeleteFunc(s.fleet.Workers("desk"), func(w *fleet.Worker) bool { return !s.left[w].IsZero() })
	slices.SortFunc(workers, func(a, b *fleet.Worker) int { return strings.Compare(a.ID(), b.ID()) })
	s.random.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	for i, w := range workers[:leavingWorkers] {
		if i == 0 {
			s.fleet.DrainEntry(w)
		} else {
			s.fleet.RemoveEntry(w)
		}
		s.left[w], s.causes[w] = time.Now(), r
	}
}

// check checks that no worker got a request later than drainBound after it had left. It holds
// for the instances that are turned away too: the others know what the store says.
func (s *refusalSeries) check() {
	slack := pauseFactor * s.pauses.longest()
	latest := time.Duration(0)
	for w, left := range s.left {
		for _, run := range w.Runs() {
			late := run.Began.Sub(left)
			latest = max(latest, late)
			if late > drainBound+slack {
				s.t.Errorf("%s got request %s %d ms after it had left; %v", w.ID(), run.Request, late.Milliseconds(), s.causes[w])
			}
		}
	}
	s.t.Logf("%d workers left; last request %d ms later; longest pause %d ms", len(s.left), latest.Milliseconds(), s.pauses.longest().Milliseconds())
}
