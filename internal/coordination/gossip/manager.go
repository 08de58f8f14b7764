package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Key is the worker key under which all gossip runs.
const Key worker.Key = "gossip"

// Rounds and sizes of design section 9.
const (
	peersPerRound   = 2
	foreignEvery    = 4 // rounds between two exchanges with another region: 2 s
	urgentPeers     = 3
	exchangeTimeout = time.Second
	// maxWaiting bounds the exchanges that wait for the worker. 640 instances
	// that started at once with the same three seeds queued without bound.
	maxWaiting = 64
	// smallFleet is the number of instances of other regions up to which each
	// exchange compares all regions.
	smallFleet = 64
)

// Peers sends an exchange to the control process at an address. It blocks on
// the network.
type Peers interface {
	Exchange(ctx context.Context, address string, e Exchange) (Exchange, error)
}

// Options are the parts that a Manager works with.
type Options struct {
	Self      model.Instance
	Pool      *worker.Pool
	Peers     Peers
	Tables    Tables
	Directory *membership.Directory // gets the silent regions; may be nil
	Seeds     []string              // control addresses from the settings
	Lister    membership.Lister     // the platform's list; may be nil
	// ListInterval is the time between two calls of Lister; zero means 2 s.
	ListInterval time.Duration
	Random       *rand.Rand // nil takes a random seed
}

// Manager runs the rounds of gossip on a worker pool. Its methods are safe
// for concurrent use.
type Manager struct {
	opts     Options
	store    *Store
	seeds    *membership.Seeds
	partners partners
	busy     map[string]bool    // addresses with an exchange under way
	near     []model.InstanceID // peers of this round that are left
	round    int
	waiting  atomic.Int32 // exchanges that wait for the worker
	metrics  *metrics
}

// NewManager returns a manager that knows only its own instance.
func NewManager(opts Options) *Manager {
	if opts.Random == nil {
		opts.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.ListInterval == 0 {
		opts.ListInterval = 2 * time.Second
	}
	return &Manager{
		opts:     opts,
		store:    NewStore(opts.Self, opts.Tables),
		seeds:    membership.NewSeeds(opts.Seeds),
		partners: partners{rnd: opts.Random, region: opts.Self.Region},
		busy:     map[string]bool{},
		metrics:  newMetrics(),
	}
}

// Start begins the rounds, spread over the interval, and the reading of the
// platform's list.
func (m *Manager) Start() {
	m.opts.Pool.After(rand.N(RoundInterval), Key, worker.Func(m.run))
	if m.opts.Lister != nil {
		membership.Poll(m.opts.Pool, Key, m.opts.Lister, m.opts.ListInterval, m.listed)
	}
}

// ErrBusy means that too many exchanges wait. The peer asks again in a later
// round.
var ErrBusy = errors.New("too many exchanges wait")

// HandleExchange answers a peer. It is called by network goroutines. Under
// overload it refuses early, and skips exchanges whose peer no longer waits.
func (m *Manager) HandleExchange(ctx context.Context, e Exchange) (Exchange, error) {
	if m.waiting.Add(1) > maxWaiting {
		m.waiting.Add(-1)
		return Exchange{}, ErrBusy
	}
	return worker.Do(ctx, m.opts.Pool, Key, func() Exchange {
		m.waiting.Add(-1)
		if ctx.Err() != nil {
			return Exchange{}
		}
		reply := m.store.Handle(e, time.Now())
		m.flush()
		return reply
	})
}

// Ages returns for each other instance the time since it was last heard of. It
// is called by network goroutines.
func (m *Manager) Ages(ctx context.Context, now time.Time) (map[model.InstanceID]time.Duration, error) {
	return worker.Do(ctx, m.opts.Pool, Key, func() map[model.InstanceID]time.Duration { return m.store.Ages(now) })
}

// Announce spreads stops, shares, leaving upstreams, deaths and clears that
// this instance found out. It merges them into the tables too.
func (m *Manager) Announce(d Delta) {
	m.post(func() { m.store.Announce(d, time.Now()) })
}

// PublishReport spreads an upstream's report, to other regions too if wide.
func (m *Manager) PublishReport(r upstream.Report, wide bool) {
	m.post(func() { m.store.PublishReport(Report{Report: r, Wide: wide}) })
}

// WithdrawReport stops sending this instance's reports on an upstream.
func (m *Manager) WithdrawReport(id model.UpstreamID) {
	m.opts.Pool.Post(Key, worker.Func(func() { m.store.WithdrawReport(id) }))
}

// DocumentChanged spreads the document in the table at once.
func (m *Manager) DocumentChanged() { m.post(func() {}) }

// Leave says that this instance leaves.
func (m *Manager) Leave() { m.post(func() { m.store.LeaveSelf(time.Now()) }) }

func (m *Manager) post(f func()) {
	m.opts.Pool.Post(Key, worker.Func(func() {
		f()
		m.flush()
	}))
}

// run is one round.
func (m *Manager) run() {
	m.opts.Pool.After(RoundInterval, Key, worker.Func(m.run))
	now := time.Now()
	m.store.Tick(now)
	m.metrics.observe(m.store, now)
	if m.opts.Directory != nil {
		m.opts.Directory.SetSilentRegions(m.store.SilentRegions(now))
	}
	members := m.store.Members()
	m.partners.refresh(members, now)
	m.near = m.partners.pick(m.partners.near, peersPerRound)
	m.nextNear()
	if m.round%foreignEvery == 0 {
		m.foreignRound(members)
	}
	m.round++
	m.flush()
}

// nextNear talks to the next peer of the round. The peers of one round follow
// one another: two digests made at the same time would fetch the same entries
// twice.
func (m *Manager) nextNear() {
	if len(m.near) == 0 {
		return
	}
	m.exchangeWith(m.near[0])
	m.near = m.near[1:]
	if len(m.near) > 0 {
		m.opts.Pool.After(RoundInterval/peersPerRound, Key, worker.Func(m.nextNear))
	}
}

// foreignRound talks to another region, and to one address at which an
// instance may have come back.
func (m *Manager) foreignRound(members []model.Instance) {
	for _, id := range m.partners.pick(m.partners.far, 1) {
		m.exchangeWith(id)
	}
	if address := m.seeds.Next(m.store.Known); address != "" {
		m.exchange(address, "")
	}
	var dead []model.Instance
	for _, in := range members {
		if in.State == model.InstanceDead {
			dead = append(dead, in)
		}
	}
	if len(dead) > 0 {
		in := dead[m.opts.Random.IntN(len(dead))]
		m.exchange(in.ControlAddress, in.Region)
	}
}

// listed takes the platform's list.
func (m *Manager) listed(list []membership.Listed) {
	m.seeds.SetListed(list)
	now := time.Now()
	for _, l := range list {
		if l.Leaving && l.Incarnation != 0 {
			m.store.addState(Status{l.ID, l.Incarnation, model.InstanceLeaving}, now)
		}
	}
	m.flush()
}

func (m *Manager) exchangeWith(id model.InstanceID) {
	if in, ok := m.store.Member(id); ok {
		m.exchange(in.ControlAddress, in.Region)
	}
}

// exchange compares with one peer: digest, reply, and what the peer lacks.
func (m *Manager) exchange(address, region string) {
	if address == "" || m.busy[address] {
		return
	}
	m.busy[address] = true
	digest := m.store.Digest(region, m.allRegions())
	m.call(address, Exchange{Digest: digest}, func(reply Exchange, err error) {
		delete(m.busy, address)
		if err != nil {
			return
		}
		if push := m.store.MergeReply(digest, reply, time.Now()); push != nil {
			m.call(address, Exchange{Delta: push}, func(Exchange, error) {})
		}
		m.flush()
	})
}

// allRegions says whether the next exchange compares all regions.
func (m *Manager) allRegions() bool {
	others := len(m.store.origins) - len(m.store.roster(m.store.self.region).list)
	return others <= smallFleet || m.round%foreignEvery == 0
}

func (m *Manager) call(address string, e Exchange, then func(Exchange, error)) {
	worker.Call(m.opts.Pool, Key, exchangeTimeout, func(ctx context.Context) (Exchange, error) {
		return m.opts.Peers.Exchange(ctx, address, e)
	}, then)
}

// flush passes on at once what must not wait for a round.
func (m *Manager) flush() {
	urgent, document := m.store.TakeUrgent(), m.store.DocumentChanged()
	if urgent.Empty() && !document {
		return
	}
	for _, id := range m.partners.urgent() {
		if document {
			m.exchangeWith(id)
		}
		if in, ok := m.store.Member(id); ok && !urgent.Empty() {
			m.call(in.ControlAddress, Exchange{Delta: urgent}, func(Exchange, error) {})
		}
	}
}
