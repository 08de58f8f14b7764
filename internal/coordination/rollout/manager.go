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
	// tickInterval is the time between looks at one move. A tick without the
	// lease reads two tables and makes no call.
	tickInterval  = time.Second
	pruneInterval = time.Minute
	// maxEvidenceRows bounds the rows of single instances in the evidence
	// table, as far as openMinutes allows. Small traffic keeps the whole horizon.
	maxEvidenceRows = 16_000
	// openMinutes is the age up to which rows of single instances arrive: gossip
	// passes them on for 3 minutes, publishes them up to 1 minute late, and 1 is
	// for clocks that differ. With 640 instances and all 11 models in a move it
	// leaves 84,480 rows.
	openMinutes = 5
	// GenerateRoute is the evidence route of engines.
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
	// Candidates returns the live instances that may decide moves.
	Candidates func() []model.InstanceID
}

// Manager runs the moves of the document in force. Its fields are used only
// by items of managerKey.
type Manager struct {
	cfg     Config
	movers  map[string]*mover
	ticker  *worker.Timer
	pruned  time.Time
	stopped bool
}

// NewManager returns a manager that does nothing until Start.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, movers: map[string]*mover{}}
}

// Start begins to run the moves.
func (m *Manager) Start() {
	m.cfg.Pool.Post(managerKey, worker.Func(m.tick))
}

// Stop releases the leases. It is called before a planned stop.
func (m *Manager) Stop() {
	m.cfg.Pool.Post(managerKey, worker.Func(func() {
		m.stopped = true
		m.ticker.Stop()
		for _, mv := range m.movers {
			mv.post(mv.close)
		}
	}))
}

func (m *Manager) tick() {
	if m.stopped {
		return
	}
	now := time.Now()
	if doc := m.cfg.Documents.Current(); doc != nil {
		m.runMoves(doc)
	}
	if now.Sub(m.pruned) >= pruneInterval {
		m.pruned = now
		m.cfg.Evidence.FoldBefore(firstOpen(m.cfg.Evidence.RowsByMinute(), minuteOf(now)))
		m.cfg.Evidence.DropBefore(minuteOf(now) - horizon)
	}
	m.ticker = m.cfg.Pool.After(tickInterval, managerKey, worker.Func(m.tick))
}

// runMoves ticks a mover for each model and service of the document.
func (m *Manager) runMoves(doc *model.Document) {
	wanted := subjects(doc)
	for _, s := range wanted {
		mv, ok := m.movers[s.serves]
		if !ok {
			mv = newMover(m.cfg, s.serves)
			m.movers[s.serves] = mv
		}
		mv.post(func() { mv.tick(doc, s) })
	}
	for name, mv := range m.movers {
		if _, ok := wanted[name]; !ok {
			mv.post(mv.close)
			delete(m.movers, name)
		}
	}
}

// subject is a model or service with its plan.
type subject struct {
	serves string
	plan   model.VersionPlan
	routes []string
}

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

// RouteName returns the evidence route of a service's route.
func RouteName(method, path string) string {
	return method + " " + path
}

// firstOpen returns the first minute whose rows of single instances stay in
// the evidence table; of earlier ones only the sums stay.
func firstOpen(rows map[int64]int, now int64) int64 {
	kept := 0
	for minute := now; minute > now-horizon; minute-- {
		kept += rows[minute]
		if kept > maxEvidenceRows && minute < now-openMinutes {
			return minute + 1
		}
	}
	return now - horizon
}

func newMover(cfg Config, serves string) *mover {
	mv := &mover{
		cfg:    cfg,
		serves: serves,
		key:    worker.Key("rollout/" + serves),
		log:    log.WithField("part", "rollout").WithField("serves", serves),
		rng:    rand.New(rand.NewPCG(xxhash.Sum64String(string(cfg.Self)), xxhash.Sum64String(serves))),
		added:  newStopCounter(evidencePooled),
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
