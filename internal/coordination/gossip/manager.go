package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
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
	Random    *rand.Rand            // nil takes a random seed
}

// Manager runs the rounds of gossip on a worker pool. Its methods are safe
// for concurrent use.
type Manager struct {
	opts     Options
	store    *Store
	seeds    *membership.Seeds
	partners partners
	busy     map[string]bool // addresses with an exchange under way
	round    int
}

// NewManager returns a manager that knows only its own instance.
func NewManager(opts Options) *Manager {
	if opts.Random == nil {
		opts.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Manager{
		opts:     opts,
		store:    NewStore(opts.Self, opts.Tables),
		seeds:    membership.NewSeeds(opts.Seeds),
		partners: partners{rnd: opts.Random, region: opts.Self.Region},
		busy:     map[string]bool{},
	}
}

// Start begins the rounds, spread over the interval, and the reading of the
// platform's list.
func (m *Manager) Start() {
	m.opts.Pool.After(rand.N(RoundInterval), Key, worker.Func(m.run))
	if m.opts.Lister != nil {
		membership.Poll(m.opts.Pool, Key, m.opts.Lister, m.listed)
	}
}

// HandleExchange answers a peer. It is called by network goroutines.
func (m *Manager) HandleExchange(ctx context.Context, e Exchange) (Exchange, error) {
	return worker.Do(ctx, m.opts.Pool, Key, func() Exchange {
		reply := m.store.Handle(e, time.Now())
		m.flush()
		return reply
	})
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
	if m.opts.Directory != nil {
		m.opts.Directory.SetSilentRegions(m.store.SilentRegions(now))
	}
	members := m.store.Members()
	m.partners.refresh(members, now)
	for _, id := range m.partners.pick(m.partners.near, peersPerRound) {
		m.exchangeWith(members, id)
	}
	if m.round%foreignEvery == 0 {
		m.foreignRound(members)
	}
	m.round++
	m.flush()
}

// foreignRound talks to another region, and to one address at which an
// instance may have come back.
func (m *Manager) foreignRound(members []model.Instance) {
	for _, id := range m.partners.pick(m.partners.far, 1) {
		m.exchangeWith(members, id)
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
			m.store.addState(Status{Origin{l.ID, l.Incarnation}, model.InstanceLeaving}, now)
		}
	}
	m.flush()
}

func (m *Manager) exchangeWith(members []model.Instance, id model.InstanceID) {
	i := slices.IndexFunc(members, func(in model.Instance) bool { return in.ID == id })
	if i >= 0 {
		m.exchange(members[i].ControlAddress, members[i].Region)
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
	members := m.store.Members()
	m.partners.refresh(members, time.Now())
	for _, id := range m.partners.urgent() {
		if document {
			m.exchangeWith(members, id)
		}
		if i := slices.IndexFunc(members, func(in model.Instance) bool { return in.ID == id }); i >= 0 && !urgent.Empty() {
			m.call(members[i].ControlAddress, Exchange{Delta: urgent}, func(Exchange, error) {})
		}
	}
}
