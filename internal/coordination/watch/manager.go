package watch

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Key is the worker key under which all work items of this package run.
const Key worker.Key = "watch"

// Prober asks an upstream for its health and load. It blocks on the network.
// The report needs Incarnation, Health and the load figures; if At is zero, the
// start of the probe is used.
type Prober interface {
	Probe(ctx context.Context, u model.Upstream) (upstream.Report, error)
}

// Publisher sends reports to other instances. gossip.Manager implements it.
type Publisher interface {
	PublishReport(r upstream.Report, wide bool)
	WithdrawReport(id model.UpstreamID) // other instances watch the upstream now
}

// Options configure a Manager.
type Options struct {
	Self      model.InstanceID
	Pool      *worker.Pool
	Documents *document.Table
	Instances *instance.Table
	Upstreams *upstream.Table
	Prober    Prober
	Publisher Publisher
}

// Manager probes the upstreams that are assigned to this instance.
type Manager struct {
	opts              Options
	targets           map[model.UpstreamID]*target
	assigned          map[model.UpstreamID]model.Upstream
	upstreamsByRegion map[string]int // number of upstreams in each region
	instancesVersion  uint64         // version of the instance table when it was last read
	candidatesHash    uint64         // candidateHash at the last assignment
	document          *model.Document
	ticks             uint64 // number of calls of tick so far
}

// NewManager returns a manager; watching begins after Start.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, targets: map[model.UpstreamID]*target{}}
}

// Start begins to watch after startDelay: an instance that does not know the
// others yet would assign all upstreams to itself and publish reports on them.
func (m *Manager) Start() {
	m.opts.Pool.After(startDelay, Key, worker.Func(m.tick))
}

// tick runs every ProbeInterval: it updates the assignment and schedules the
// probes of one second.
func (m *Manager) tick() {
	m.opts.Pool.After(ProbeInterval, Key, worker.Func(m.tick))
	m.reassign()
	m.ticks++
	ticksPerRound := uint64(1 + (len(m.assigned)-1)/maxProbesPerSecond)
	for id, u := range m.assigned {
		hash := xxhash.Sum64String(string(id))
		if (hash>>32+m.ticks)%ticksPerRound == 0 {
			// The offset spreads the probes over the second.
			offset := time.Duration(hash % uint64(ProbeInterval))
			m.opts.Pool.After(offset, Key, worker.Func(func() { m.probe(u) }))
		}
	}
}

// reassign recomputes the upstreams that this instance watches after a change of
// the instances or of the document.
func (m *Manager) reassign() {
	version, doc := m.opts.Instances.Version(), m.opts.Documents.Current()
	if doc == nil || (version == m.instancesVersion && doc == m.document) {
		return
	}
	instances := m.opts.Instances.All()
	candidates := candidateHash(instances)
	unchanged := candidates == m.candidatesHash && doc == m.document
	m.instancesVersion, m.candidatesHash, m.document = version, candidates, doc
	if unchanged {
		return
	}
	m.assigned, m.upstreamsByRegion = map[model.UpstreamID]model.Upstream{}, map[string]int{}
	for _, a := range Assign(doc.Upstreams, instances) {
		m.upstreamsByRegion[a.Upstream.Region]++
		if rank := slices.Index(a.Watchers, m.opts.Self); rank >= 0 {
			m.assign(a.Upstream, rank)
		}
	}
	for id := range m.targets {
		if _, ok := m.assigned[id]; !ok {
			delete(m.targets, id)
			m.opts.Publisher.WithdrawReport(id)
		}
	}
}

func (m *Manager) assign(u model.Upstream, rank int) {
	m.assigned[u.ID] = u
	if t, ok := m.targets[u.ID]; ok {
		t.rank = rank
		return
	}
	m.targets[u.ID] = &target{rank: rank, sequenceChangedAt: time.Now()}
}

// probe probes one upstream, unless its last probe is still in flight.
func (m *Manager) probe(u model.Upstream) {
	t, ok := m.targets[u.ID]
	if !ok || t.probing {
		return
	}
	t.probing = true
	began := time.Now()
	worker.Call(m.opts.Pool, Key, probeTimeout, func(ctx context.Context) (upstream.Report, error) {
		return m.opts.Prober.Probe(ctx, u)
	}, func(r upstream.Report, err error) {
		t.probing = false
		if m.targets[u.ID] == t {
			if r.At.IsZero() {
				r.At = began
			}
			m.handleResult(u, t, r, err)
		}
	})
}

// handleResult handles the result of a probe.
func (m *Manager) handleResult(u model.Upstream, t *target, r upstream.Report, err error) {
	row, ok := m.opts.Upstreams.Get(u.ID)
	if !ok {
		return
	}
	now, known := time.Now(), row.Report
	t.observeTable(known, now)
	if err == nil {
		if t.recordSuccess(known, r) {
			m.storeReport(u, t, known, r, now)
		}
		return
	}
	if t.recordFailure(known) {
		down := known // At stays, because the load figures are those of the last report
		down.Health = upstream.HealthDown
		m.storeReport(u, t, known, down, now)
	}
}

// storeReport stores a report and publishes it if other instances need it. The
// second watcher stores only what it publishes: otherwise its own figures would
// replace those of the first watcher, and it could not detect that the first
// watcher is lost.
func (m *Manager) storeReport(u model.Upstream, t *target, old, r upstream.Report, now time.Time) {
	publish, wide := t.shouldPublish(healthChanged(old, r), m.upstreamsByRegion[u.Region], len(m.document.Upstreams), now)
	if t.rank > 0 && !publish {
		return
	}
	r.Upstream = u.ID
	r.Sequence = nextSequence(0, t.rank, now)
	if r.Incarnation == old.Incarnation {
		r.Sequence = nextSequence(old.Sequence, t.rank, now)
	}
	if r.At.After(now) {
		r.At = now // an engine's clock may be ahead
	}
	if !m.opts.Upstreams.Apply(r) || !publish {
		return
	}
	t.lastPublished = now
	if wide {
		t.lastPublishedWide = now
	}
	row, _ := m.opts.Upstreams.Get(u.ID)
	m.opts.Publisher.PublishReport(row.Report, wide)
}

// healthChanged reports whether r changes the health, or is of another
// incarnation. A leaving upstream stays leaving for the rest of its incarnation.
func healthChanged(old, r upstream.Report) bool {
	if r.Incarnation != old.Incarnation {
		return true
	}
	return r.Health != old.Health && old.Health != upstream.HealthLeaving
}
