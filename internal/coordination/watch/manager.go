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

// Key is the worker key under which all watching runs.
const Key worker.Key = "watch"

// Prober asks an upstream for its health and load. It blocks on the network.
// The report needs Incarnation, Health and the load figures; a zero At means
// when the probe began.
type Prober interface {
	Probe(ctx context.Context, u model.Upstream) (upstream.Report, error)
}

// Publisher spreads reports to other instances. gossip.Manager implements it.
type Publisher interface {
	PublishReport(r upstream.Report, wide bool)
	WithdrawReport(id model.UpstreamID) // others watch it now
}

// Options are the parts that a Manager works with.
type Options struct {
	Self      model.InstanceID
	Pool      *worker.Pool
	Documents *document.Table
	Instances *instance.Table
	Upstreams *upstream.Table
	Prober    Prober
	Publisher Publisher
}

// Manager probes the upstreams that fall to this instance.
type Manager struct {
	opts     Options
	targets  map[model.UpstreamID]*target
	assigned map[model.UpstreamID]model.Upstream
	regional map[string]int // upstreams of each region
	version  uint64         // of the instance table at the last look
	others   uint64         // hash of the instances at the last assignment
	document *model.Document
	second   uint64 // number of the current second
}

// NewManager returns a manager that watches nothing yet.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, targets: map[model.UpstreamID]*target{}}
}

// Start begins to watch after a while: an instance that knows no other yet
// would take all upstreams and publish them.
func (m *Manager) Start() {
	m.opts.Pool.After(settleTime, Key, worker.Func(m.run))
}

// run is one second of watching.
func (m *Manager) run() {
	m.opts.Pool.After(ProbeInterval, Key, worker.Func(m.run))
	m.reassign()
	m.second++
	turns := uint64(1 + (len(m.assigned)-1)/maxProbesPerSecond)
	for id, u := range m.assigned {
		hash := xxhash.Sum64String(string(id))
		if (hash>>32+m.second)%turns == 0 {
			// The offset spreads the probes over the second.
			offset := time.Duration(hash % uint64(ProbeInterval))
			m.opts.Pool.After(offset, Key, worker.Func(func() { m.probe(u) }))
		}
	}
}

// reassign computes the own upstreams after a change of instances or of the
// document.
func (m *Manager) reassign() {
	version, doc := m.opts.Instances.Version(), m.opts.Documents.Current()
	if doc == nil || (version == m.version && doc == m.document) {
		return
	}
	instances := m.opts.Instances.All()
	others := candidateHash(instances)
	same := others == m.others && doc == m.document
	m.version, m.others, m.document = version, others, doc
	if same {
		return
	}
	m.assigned, m.regional = map[model.UpstreamID]model.Upstream{}, map[string]int{}
	for _, a := range Assign(doc.Upstreams, instances) {
		m.regional[a.Upstream.Region]++
		if rank := slices.Index(a.Watchers, m.opts.Self); rank >= 0 {
			m.take(a.Upstream, rank)
		}
	}
	for id := range m.targets {
		if _, ok := m.assigned[id]; !ok {
			delete(m.targets, id)
			m.opts.Publisher.WithdrawReport(id)
		}
	}
}

func (m *Manager) take(u model.Upstream, rank int) {
	m.assigned[u.ID] = u
	if t, ok := m.targets[u.ID]; ok {
		t.rank = rank
		return
	}
	m.targets[u.ID] = &target{rank: rank, heard: time.Now()}
}

// probe asks one upstream, unless the last probe is still under way.
func (m *Manager) probe(u model.Upstream) {
	t, ok := m.targets[u.ID]
	if !ok || t.busy {
		return
	}
	t.busy = true
	began := time.Now()
	worker.Call(m.opts.Pool, Key, probeTimeout, func(ctx context.Context) (upstream.Report, error) {
		return m.opts.Prober.Probe(ctx, u)
	}, func(r upstream.Report, err error) {
		t.busy = false
		if m.targets[u.ID] == t {
			if r.At.IsZero() {
				r.At = began
			}
			m.probed(u, t, r, err)
		}
	})
}

// probed takes the result of a probe.
func (m *Manager) probed(u model.Upstream, t *target, r upstream.Report, err error) {
	row, ok := m.opts.Upstreams.Get(u.ID)
	if !ok {
		return
	}
	now, known := time.Now(), row.Report
	t.note(known, now)
	if err == nil {
		if t.succeeded(known, r) {
			m.report(u, t, known, r, now)
		}
		return
	}
	if t.failed(known) {
		down := known // At stays: the load is the known one
		down.Health = upstream.HealthDown
		m.report(u, t, known, down, now)
	}
}

// report stores a report and publishes it if others need it. The second
// watcher stores only what it publishes: its own figures would hide those of
// the first one, and it could not tell that the first one is lost.
func (m *Manager) report(u model.Upstream, t *target, old, r upstream.Report, now time.Time) {
	publish, wide := t.publishes(changed(old, r), m.regional[u.Region], len(m.document.Upstreams), now)
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
	t.published = now
	if wide {
		t.publishedWide = now
	}
	row, _ := m.opts.Upstreams.Get(u.ID)
	m.opts.Publisher.PublishReport(row.Report, wide)
}

// changed reports whether a report brings another health. An upstream that
// left stays so for its incarnation.
func changed(old, r upstream.Report) bool {
	if r.Incarnation != old.Incarnation {
		return true
	}
	return r.Health != old.Health && old.Health != upstream.HealthLeaving
}
