package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/lease"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
)

const (
	managerKey = worker.Key("rollout")
	// tickInterval is the time between two ticks of each mover. A tick of an
	// instance without the lease reads two tables and makes no store call.
	tickInterval  = time.Second
	pruneInterval = time.Minute
	// maxEvidenceRows bounds the rows of single instances in the evidence table,
	// except those of the last lateRowMinutes. With small traffic the rows of the
	// last horizonMinutes fit within the bound.
	maxEvidenceRows = 16_000
	// lateRowMinutes is the age up to which rows of single instances may still
	// arrive: gossip forwards them for 3 minutes and publishes them up to 1 minute
	// late, and 1 minute allows for clock differences between instances. With 640
	// instances and a move of each of 11 models, 84,480 rows are kept.
	lateRowMinutes = 5
	// GenerateRoute is the route under which the evidence of engines is counted.
	GenerateRoute = "generate"
)

// Config configures a Manager.
type Config struct {
	Self      model.InstanceID
	Pool      *worker.Pool
	Moves     store.Rows[Move]
	Leases    store.Rows[lease.Record]
	Documents *document.Table
	Stops     *stop.Table
	Evidence  *evidence.Table
	// Candidates returns the live instances that may hold the lease of a move.
	Candidates func() []model.InstanceID
}

// Manager runs the moves of the current document. Its fields are used only by
// worker items of managerKey.
type Manager struct {
	cfg      Config
	movers   map[string]*mover
	ticker   *worker.Timer
	prunedAt time.Time
	stopped  bool
}

// NewManager returns a manager that does nothing until Start.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, movers: map[string]*mover{}}
}

// Start starts the ticks.
func (m *Manager) Start() {
	m.cfg.Pool.Post(managerKey, worker.Func(m.tick))
}

// Stop ends the ticks and releases the leases. It is called before a planned stop
// of the process.
func (m *Manager) Stop() {
	m.cfg.Pool.Post(managerKey, worker.Func(func() {
		m.stopped = true
		m.ticker.Stop()
		for _, mv := range m.movers {
			mv.post(mv.releaseLease)
		}
	}))
}

// tick runs the movers, and each pruneInterval bounds the evidence table.
func (m *Manager) tick() {
	if m.stopped {
		return
	}
	now := time.Now()
	if doc := m.cfg.Documents.Current(); doc != nil {
		m.runMoves(doc)
	}
	if now.Sub(m.prunedAt) >= pruneInterval {
		m.prunedAt = now
		m.cfg.Evidence.FoldBefore(firstOpenMinute(m.cfg.Evidence.RowsByMinute(), minuteOf(now)))
		m.cfg.Evidence.DropBefore(minuteOf(now) - horizonMinutes)
	}
	m.ticker = m.cfg.Pool.After(tickInterval, managerKey, worker.Func(m.tick))
}

// runMoves runs a tick of the mover of each model and service of the document. It
// removes the movers of those that the document no longer has.
func (m *Manager) runMoves(doc *model.Document) {
	current := subjects(doc)
	for _, s := range current {
		mv, ok := m.movers[s.serves]
		if !ok {
			mv = newMover(m.cfg, s.serves)
			m.movers[s.serves] = mv
		}
		mv.post(func() { mv.tick(doc, s) })
	}
	for name, mv := range m.movers {
		if _, ok := current[name]; !ok {
			mv.post(mv.releaseLease)
			delete(m.movers, name)
		}
	}
}

// subject is a model or service of the document, with its plan and the routes that
// evidence is counted for.
type subject struct {
	serves string
	plan   model.VersionPlan
	routes []string
}

// subjects returns the models and services of the document by name.
func subjects(doc *model.Document) map[string]subject {
	all := map[string]subject{}
	for _, mo := range doc.Models {
		all[mo.Name] = subject{serves: mo.Name, plan: mo.Plan, routes: []string{GenerateRoute}}
	}
	for _, sv := range doc.Services {
		s := subject{serves: sv.Name, plan: sv.Plan}
		for _, r := range sv.Routes {
			s.routes = append(s.routes, RouteName(r.Method, r.Path))
		}
		all[sv.Name] = s
	}
	return all
}

// RouteName returns the name under which the evidence of a service's route is
// counted.
func RouteName(method, path string) string {
	return method + " " + path
}

// firstOpenMinute returns the first minute whose rows of single instances stay in
// the evidence table. Of earlier minutes only the sums over all instances stay.
func firstOpenMinute(rows map[int64]int, now int64) int64 {
	kept := 0
	for minute := now; minute > now-horizonMinutes; minute-- {
		kept += rows[minute]
		if kept > maxEvidenceRows && minute < now-lateRowMinutes {
			return minute + 1
		}
	}
	return now - horizonMinutes
}

func newMover(cfg Config, serves string) *mover {
	mv := &mover{
		cfg:        cfg,
		serves:     serves,
		key:        worker.Key("rollout/" + serves),
		log:        log.WithField("part", "rollout").WithField("serves", serves),
		rng:        rand.New(rand.NewPCG(xxhash.Sum64String(string(cfg.Self)), xxhash.Sum64String(serves))),
		addedStops: newStopCounter(evidencePooled),
	}
	mv.keeper = lease.NewKeeper(lease.Config{
		Name:       LeaseName(serves),
		Self:       cfg.Self,
		Pool:       cfg.Pool,
		Rows:       cfg.Leases,
		Candidates: cfg.Candidates,
	})
	return mv
}
