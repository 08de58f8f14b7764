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

// Parameters of the gossip rounds, see design section 9.
const (
	peersPerRound   = 2
	remoteRounds    = 4 // rounds from one exchange with another region to the next: 2 s
	urgentFanout    = 3 // partners that an urgent change is sent to
	exchangeTimeout = time.Second
	// maxQueuedExchanges bounds the exchanges that wait for the worker. Without
	// the bound, the queue grew without limit when 640 instances started at once
	// with the same three seeds.
	maxQueuedExchanges = 64
	// allRegionsLimit is the number of instances in other regions up to which
	// each exchange compares all regions.
	allRegionsLimit = 64
)

// Peers sends an exchange to the control process at an address. It blocks on
// the network.
type Peers interface {
	Exchange(ctx context.Context, address string, e Exchange) (Exchange, error)
}

// Options holds the settings and dependencies of a Manager.
type Options struct {
	Self      model.Instance
	Pool      *worker.Pool
	Peers     Peers
	Tables    Tables
	Directory *membership.Directory // receives the silent regions; may be nil
	Seeds     []string              // control addresses from the settings
	Lister    membership.Lister     // reads the platform's list of instances; may be nil
	// ListInterval is the time between two calls of Lister; zero means 2 s.
	ListInterval time.Duration
	Random       *rand.Rand // nil means a generator with a random seed
}

// Manager runs the rounds of gossip on a worker pool. Its methods are safe
// for concurrent use.
type Manager struct {
	opts       Options
	store      *Store
	seeds      *membership.Seeds
	partners   partners
	exchanging map[string]bool    // addresses with an exchange in flight
	roundPeers []model.InstanceID // peers still to be contacted in this round
	round      int
	queued     atomic.Int32 // exchanges that wait for the worker
	metrics    *metrics
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
		opts:       opts,
		store:      NewStore(opts.Self, opts.Tables),
		seeds:      membership.NewSeeds(opts.Seeds),
		partners:   partners{rnd: opts.Random, region: opts.Self.Region},
		exchanging: map[string]bool{},
		metrics:    newMetrics(),
	}
}

// Start schedules the first round after a random part of the interval, so that
// the rounds of different instances are spread out, and starts polling the
// platform's list of instances.
func (m *Manager) Start() {
	m.opts.Pool.After(rand.N(RoundInterval), Key, worker.Func(m.runRound))
	if m.opts.Lister != nil {
		membership.Poll(m.opts.Pool, Key, m.opts.Lister, m.opts.ListInterval, m.handleListing)
	}
}

// ErrBusy means that too many exchanges are queued. The peer tries again in a
// later round.
var ErrBusy = errors.New("too many exchanges wait")

// HandleExchange answers a peer's exchange. It is called by network
// goroutines. Under overload it returns ErrBusy at once, and it skips a queued
// exchange whose peer no longer waits for the reply.
func (m *Manager) HandleExchange(ctx context.Context, e Exchange) (Exchange, error) {
	if m.queued.Add(1) > maxQueuedExchanges {
		m.queued.Add(-1)
		return Exchange{}, ErrBusy
	}
	return worker.Do(ctx, m.opts.Pool, Key, func() Exchange {
		m.queued.Add(-1)
		if ctx.Err() != nil {
			return Exchange{}
		}
		reply := m.store.Handle(e, time.Now())
		m.flush()
		return reply
	})
}

// Ages returns for each other instance the time since its last heartbeat. It
// is called by network goroutines.
func (m *Manager) Ages(ctx context.Context, now time.Time) (map[model.InstanceID]time.Duration, error) {
	return worker.Do(ctx, m.opts.Pool, Key, func() map[model.InstanceID]time.Duration { return m.store.Ages(now) })
}

// Announce merges stops, shares, leaving upstreams, engine deaths and clears
// that this instance detected into the tables, and sends them to partners at
// once.
func (m *Manager) Announce(d Delta) {
	m.post(func() { m.store.Announce(d, time.Now()) })
}

// PublishReport publishes a report on an upstream, to other regions too if
// wide.
func (m *Manager) PublishReport(r upstream.Report, wide bool) {
	m.post(func() { m.store.PublishReport(Report{Report: r, CrossRegion: wide}) })
}

// WithdrawReport stops sending this instance's reports on an upstream.
func (m *Manager) WithdrawReport(id model.UpstreamID) {
	m.opts.Pool.Post(Key, worker.Func(func() { m.store.WithdrawReport(id) }))
}

// DocumentChanged starts exchanges at once if the document in the table is
// new.
func (m *Manager) DocumentChanged() { m.post(func() {}) }

// Leave announces that this instance is leaving.
func (m *Manager) Leave() { m.post(func() { m.store.LeaveSelf(time.Now()) }) }

func (m *Manager) post(f func()) {
	m.opts.Pool.Post(Key, worker.Func(func() {
		f()
		m.flush()
	}))
}

// runRound runs one round and schedules the next one.
func (m *Manager) runRound() {
	m.opts.Pool.After(RoundInterval, Key, worker.Func(m.runRound))
	now := time.Now()
	m.store.Tick(now)
	m.metrics.observe(m.store, now)
	if m.opts.Directory != nil {
		m.opts.Directory.SetSilentRegions(m.store.SilentRegions(now))
	}
	members := m.store.Members()
	m.partners.refresh(members, now)
	m.roundPeers = m.partners.pick(m.partners.local, peersPerRound)
	m.exchangeWithNext()
	if m.round%remoteRounds == 0 {
		m.exchangeRemote(members)
	}
	m.round++
	m.flush()
}

// exchangeWithNext starts the exchange with the next peer of the round. The
// peers of one round are contacted one after another: two digests made at the
// same time would fetch the same entries twice.
func (m *Manager) exchangeWithNext() {
	if len(m.roundPeers) == 0 {
		return
	}
	m.exchangeWith(m.roundPeers[0])
	m.roundPeers = m.roundPeers[1:]
	if len(m.roundPeers) > 0 {
		m.opts.Pool.After(RoundInterval/peersPerRound, Key, worker.Func(m.exchangeWithNext))
	}
}

// exchangeRemote starts exchanges with a partner in another region, with a
// seed address that no known instance has, and with a dead instance, which may
// be reachable again.
func (m *Manager) exchangeRemote(members []model.Instance) {
	for _, id := range m.partners.pick(m.partners.remote, 1) {
		m.exchangeWith(id)
	}
	if address := m.seeds.Next(m.store.HasAddress); address != "" {
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

// handleListing merges the platform's list of instances.
func (m *Manager) handleListing(list []membership.ListedInstance) {
	m.seeds.SetListed(list)
	now := time.Now()
	for _, l := range list {
		if l.Leaving && l.Incarnation != 0 {
			m.store.addState(InstanceStatus{l.ID, l.Incarnation, model.InstanceLeaving}, now)
		}
	}
	m.flush()
}

func (m *Manager) exchangeWith(id model.InstanceID) {
	if in, ok := m.store.Member(id); ok {
		m.exchange(in.ControlAddress, in.Region)
	}
}

// exchange synchronises with one peer: it sends a digest, merges the reply,
// and sends what the peer is missing. It does nothing while another exchange
// with the address is in flight.
func (m *Manager) exchange(address, region string) {
	if address == "" || m.exchanging[address] {
		return
	}
	m.exchanging[address] = true
	digest := m.store.Digest(region, m.allRegions())
	m.send(address, Exchange{Digest: digest}, func(reply Exchange, err error) {
		delete(m.exchanging, address)
		if err != nil {
			return
		}
		if push := m.store.MergeReply(digest, reply, time.Now()); push != nil {
			m.send(address, Exchange{Delta: push}, func(Exchange, error) {})
		}
		m.flush()
	})
}

// allRegions reports whether the next exchange compares all regions.
func (m *Manager) allRegions() bool {
	remote := len(m.store.origins) - len(m.store.roster(m.store.self.region).origins)
	return remote <= allRegionsLimit || m.round%remoteRounds == 0
}

func (m *Manager) send(address string, e Exchange, done func(Exchange, error)) {
	worker.Call(m.opts.Pool, Key, exchangeTimeout, func(ctx context.Context) (Exchange, error) {
		return m.opts.Peers.Exchange(ctx, address, e)
	}, done)
}

// flush sends urgent changes to partners without waiting for a round, and
// starts exchanges with them if the document changed.
func (m *Manager) flush() {
	urgent, document := m.store.TakeUrgent(), m.store.DocumentChanged()
	if urgent.Empty() && !document {
		return
	}
	for _, id := range m.partners.urgentTargets() {
		if document {
			m.exchangeWith(id)
		}
		if in, ok := m.store.Member(id); ok && !urgent.Empty() {
			m.send(in.ControlAddress, Exchange{Delta: urgent}, func(Exchange, error) {})
		}
	}
}
