package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// errLeaseEnded means that the lease ended before the order was sent.
var errLeaseEnded = errors.New("lease ended before the order was sent")

// Config configures a Manager.
type Config struct {
	Self      model.InstanceID
	Region    string
	Pool      *worker.Pool
	Leases    store.Rows[lease.Record]
	Documents *document.Table
	Engines   Engines
	// Candidates returns the live instances of the region.
	Candidates func() []model.InstanceID
	// LoadsPerSecond and LoadBurst limit the rate of orders to the weight
	// store's rate for this region.
	LoadsPerSecond float64
	LoadBurst      int
}

// Manager sends orders to the engines of one region while it holds the region's
// lease. Its fields are used only by items of key.
type Manager struct {
	cfg              Config
	key              worker.Key
	log              log.Interface
	rng              *rand.Rand
	keeper           *lease.Keeper
	loadLimiter      *rate.Limiter
	loadsPausedUntil time.Time // end of the weight store's Retry-After
	engines          map[model.UpstreamID]*engine
	callsInFlight    int
	tickTimer        *worker.Timer
	stopped          bool
}

// NewManager returns a manager that does nothing until Start.
func NewManager(cfg Config) *Manager {
	name := "orders/" + cfg.Region
	return &Manager{
		cfg: cfg,
		key: worker.Key(name),
		log: log.WithField("part", "order").WithField("region", cfg.Region),
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(string(cfg.Self)), xxhash.Sum64String(name))),
		keeper: lease.NewKeeper(lease.Config{
			Name: name, Self: cfg.Self, Pool: cfg.Pool, Rows: cfg.Leases, Candidates: cfg.Candidates,
		}),
		loadLimiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.LoadBurst),
		engines:     map[model.UpstreamID]*engine{},
	}
}

// Start begins to acquire the lease and to send orders while it is held.
func (m *Manager) Start() {
	m.keeper.Start()
	m.cfg.Pool.Post(m.key, worker.Func(m.tick))
}

// Stop releases the lease. It is called before a planned stop.
func (m *Manager) Stop() {
	m.keeper.Stop()
	m.cfg.Pool.Post(m.key, worker.Func(func() {
		m.stopped = true
		m.tickTimer.Stop()
	}))
}

func (m *Manager) tick() {
	if m.stopped {
		return
	}
	now := time.Now()
	if doc := m.cfg.Documents.Current(); doc != nil {
		m.configure(doc.Upstreams, now)
	}
	if fencing, held := m.keeper.Held(now); held {
		m.startDueCalls(fencing, now)
	}
	m.tickTimer = m.cfg.Pool.After(tickInterval, m.key, worker.Func(m.tick))
}

// configure adds, updates and removes entries of m.engines, so that it holds the
// document's engines in this region.
func (m *Manager) configure(upstreams []model.Upstream, now time.Time) {
	configured := map[model.UpstreamID]bool{}
	for _, u := range upstreams {
		if u.Kind != model.KindEngine || u.Region != m.cfg.Region {
			continue
		}
		configured[u.ID] = true
		if e, ok := m.engines[u.ID]; ok {
			e.update(u, now)
			continue
		}
		m.engines[u.ID] = &engine{upstream: u}
	}
	for id := range m.engines {
		if !configured[id] {
			delete(m.engines, id)
		}
	}
}

// startDueCalls starts the calls that are due, in the order of their due times.
func (m *Manager) startDueCalls(fencing uint64, now time.Time) {
	for _, e := range m.enginesByDue() {
		if e.fencing != fencing {
			e.beginTerm(fencing, now)
		}
		if m.callsInFlight >= maxInFlight || e.callInFlight || now.Before(e.nextCall) {
			continue
		}
		if e.stateRead && !e.lastState.Equal(desired(e.upstream, e.lastState)) {
			m.sendOrder(e, now)
		} else {
			m.readState(e)
		}
	}
}

func (m *Manager) enginesByDue() []*engine {
	list := make([]*engine, 0, len(m.engines))
	for _, e := range m.engines {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int {
		if c := a.nextCall.Compare(b.nextCall); c != 0 {
			return c
		}
		return strings.Compare(string(a.upstream.ID), string(b.upstream.ID))
	})
	return list
}

// beginCall and endCall mark a call to one engine as in flight and as finished.
func (m *Manager) beginCall(e *engine) {
	e.callInFlight = true
	m.callsInFlight++
}

func (m *Manager) endCall(e *engine) {
	e.callInFlight = false
	m.callsInFlight--
}

// readState reads the engine's state, compares it with the desired state and
// schedules the next call.
func (m *Manager) readState(e *engine) {
	m.beginCall(e)
	u, fencing := e.upstream, e.fencing
	call := func(ctx context.Context) (State, error) { return m.cfg.Engines.State(ctx, u) }
	worker.Call(m.cfg.Pool, m.key, stateTimeout, call, func(s State, err error) {
		m.endCall(e)
		if e.fencing != fencing {
			return
		}
		if err != nil {
			e.nextCall = m.dueAfter(retryInterval)
			return
		}
		e.stateRead, e.lastState = true, s
		if s.Equal(desired(e.upstream, s)) {
			e.nextCall = m.dueAfter(verifyInterval)
		} else {
			e.nextCall = time.Now()
		}
	})
}

// sendOrder asks for the desired state within the weight store's rate. The
// context ends with the holder's own term, and the lease is checked once more
// when the order is sent.
func (m *Manager) sendOrder(e *engine, now time.Time) {
	_, until, held := m.keeper.HeldUntil(now)
	if !held || now.Before(m.loadsPausedUntil) || !m.loadLimiter.AllowN(now, 1) {
		return
	}
	m.beginCall(e)
	u, fencing, want := e.upstream, e.fencing, desired(e.upstream, e.lastState)
	call := func(ctx context.Context) (struct{}, error) {
		if current, ok := m.keeper.Held(time.Now()); !ok || current != fencing {
			return struct{}{}, errLeaseEnded
		}
		return struct{}{}, m.cfg.Engines.Order(ctx, u, fencing, want)
	}
	timeout := min(maxOrderLifetime, until.Sub(now))
	worker.Call(m.cfg.Pool, m.key, timeout, call, func(_ struct{}, err error) {
		m.endCall(e)
		m.handleOrderResult(e, fencing, err)
	})
}

// handleOrderResult schedules a read of the engine's state after an order. It
// does so after any answer, because an order that failed may still take effect.
func (m *Manager) handleOrderResult(e *engine, fencing uint64, err error) {
	var retry *RetryAfterError
	if errors.As(err, &retry) {
		m.loadsPausedUntil = time.Now().Add(retry.After)
	}
	if e.fencing != fencing {
		return
	}
	e.stateRead = false
	e.nextCall = m.dueAfter(retryInterval)
	if err != nil {
		m.log.WithField("upstream", string(e.upstream.ID)).WithError(err).Warn("order failed")
	}
}

// dueAfter returns the current time plus the interval and a jitter of up to 20%.
func (m *Manager) dueAfter(d time.Duration) time.Time {
	return time.Now().Add(d + time.Duration(m.rng.Float64()*float64(d)/5))
}
