package gossip

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

const (
	simNodes     = 6 // in two regions
	simUpstreams = 4
)

// simNode is one control process of the simulation.
type simNode struct {
	store      *Store
	tables     Tables
	generation uint64            // of the last document seen, to detect a return to an older one
	epochs     map[string]uint64 // highest stop epoch seen of each model
}

// sim runs stores in rounds without goroutines, so that a failing case replays
// exactly.
type sim struct {
	t               *rapid.T
	rnd             *rand.Rand
	rounds          int
	now             time.Time
	nodes           [simNodes]*simNode
	down            [simNodes]bool
	cut             [simNodes][simNodes]bool
	document        *model.Document
	epoch           uint64
	sequence        uint64
	stopEpochs      map[string]uint64
	reportSequences [2]map[model.UpstreamID]uint64 // for each region, the newest report that its nodes must have
}

func newTables() Tables {
	return Tables{
		Documents: document.NewTable(), Instances: instance.NewTable(), Upstreams: upstream.NewTable(),
		Stops: stop.NewTable(), Evidence: evidence.NewTable(),
	}
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1_800_000_000, 0), stopEpochs: map[string]uint64{}, reportSequences: [2]map[model.UpstreamID]uint64{{}, {}}}
	for i := range s.nodes {
		s.start(i)
	}
	s.edit(0)
	return s
}

func (s *sim) start(i int) {
	in := model.Instance{
		ID:             model.InstanceID(fmt.Sprintf("i%d", i)),
		Incarnation:    uint64(s.now.UnixNano()) + 1,
		Region:         []string{"r0", "r1"}[i%2],
		ControlAddress: fmt.Sprint(i),
	}
	tables := newTables()
	s.nodes[i] = &simNode{store: NewStore(in, tables), tables: tables, epochs: map[string]uint64{}}
	s.down[i] = false
}

// edit puts a new document in force at one node.
func (s *sim) edit(i int) {
	next := &model.Document{Generation: 1, Hash: "h1"}
	if s.document != nil {
		next.Generation = s.document.Generation + 1
		next.Hash = fmt.Sprintf("h%d", next.Generation)
	}
	for u := range simUpstreams {
		next.Upstreams = append(next.Upstreams, model.Upstream{ID: upstreamID(u), Version: fmt.Sprint(next.Generation % uint64(u+2))})
	}
	s.document = next
	s.nodes[i].tables.Documents.Apply(next)
	s.nodes[i].tables.Upstreams.Configure(next.Upstreams)
}

func upstreamID(u int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("u%d", u)) }

func (s *sim) report(i, u int) {
	s.sequence++
	r := upstream.Report{Upstream: upstreamID(u), Incarnation: 1, Sequence: s.sequence, Health: upstream.HealthUp}
	wide := s.sequence%2 == 0
	s.reportSequences[i%2][r.Upstream] = s.sequence
	if wide {
		s.reportSequences[1-i%2][r.Upstream] = s.sequence
	}
	s.nodes[i].tables.Upstreams.Apply(r)
	s.nodes[i].store.PublishReport(Report{Report: r, CrossRegion: wide})
}

func (s *sim) stop(i int) {
	s.epoch++
	key := model.VersionKey{Serves: fmt.Sprintf("m%d", s.epoch%3), Version: "v"}
	s.stopEpochs[key.Serves] = s.epoch
	s.nodes[i].store.Announce(Delta{Stops: []model.Stop{{Key: key, Epoch: s.epoch}}}, s.now)
}

// round runs the exchanges of each node with the others of its region and,
// every fourth time, with one of the other region.
func (s *sim) round() {
	s.now = s.now.Add(RoundInterval)
	for i, n := range s.nodes {
		if s.down[i] {
			continue
		}
		n.store.Tick(s.now)
		s.exchange(i, (i+2)%simNodes)
		s.exchange(i, (i+4)%simNodes)
		if s.rounds%remoteRounds == 0 {
			s.exchange(i, (i+1+2*s.rnd.IntN(simNodes/2))%simNodes)
		}
	}
	s.rounds++
	s.checkNoReversal()
}

// exchange delivers the three messages of an exchange, unless a cut link stops
// them.
func (s *sim) exchange(a, b int) {
	if a == b || s.down[b] || s.cut[a][b] {
		return
	}
	from, to := s.nodes[a].store, s.nodes[b].store
	digest := from.Digest(to.self.region, s.rnd.IntN(2) == 0)
	reply := to.Handle(Exchange{Digest: digest}, s.now)
	if s.cut[b][a] {
		return
	}
	if push := from.MergeReply(digest, reply, s.now); push != nil {
		to.Handle(Exchange{Delta: push}, s.now)
	}
}

func (s *sim) checkNoReversal() {
	for i, n := range s.nodes {
		if d := n.tables.Documents.Current(); d != nil {
			if d.Generation < n.generation {
				s.t.Fatalf("node %d went from document %d to %d", i, n.generation, d.Generation)
			}
			n.generation = d.Generation
		}
		for _, st := range n.tables.Stops.Stops() {
			if st.Epoch < n.epochs[st.Key.Serves] {
				s.t.Fatalf("node %d went back to epoch %d of %s", i, st.Epoch, st.Key.Serves)
			}
			n.epochs[st.Key.Serves] = st.Epoch
		}
	}
}

func (s *sim) step() {
	i := rapid.IntRange(0, simNodes-1).Draw(s.t, "node")
	j := rapid.IntRange(0, simNodes-1).Draw(s.t, "other")
	action := rapid.IntRange(0, 11).Draw(s.t, "action")
	switch {
	case action == 0:
		s.cut[i][j] = true
	case action == 1:
		s.cut[i][j], s.cut[j][i] = true, true
	case action == 2:
		s.cut = [simNodes][simNodes]bool{}
	case action == 3 && i > 0: // node 0 stays up: it can have the only copy of a change
		s.down[i] = true
	case action == 4 && s.down[i]:
		s.start(i)
	case action == 5:
		s.edit(0)
	case action == 6:
		s.stop(0)
	case action <= 8:
		s.report(0, j%simUpstreams)
	case action == 9:
		for range 22 {
			s.round()
		}
	default:
		s.round()
	}
}

// checkConverged compares the state of each running node with all changes that
// were made.
func (s *sim) checkConverged() {
	for i, n := range s.nodes {
		assert.DeepEqual(s.t, n.tables.Documents.Current(), s.document)
		for _, st := range n.tables.Stops.Stops() {
			assert.Equal(s.t, st.Epoch, s.stopEpochs[st.Key.Serves])
		}
		assert.Equal(s.t, len(n.tables.Stops.Stops()), len(s.stopEpochs), "node %d", i)
		for id, sequence := range s.reportSequences[i%2] {
			row, _ := n.tables.Upstreams.Get(id)
			assert.Equal(s.t, row.Report.Sequence, sequence, "node %d, upstream %s", i, id)
		}
		for j, other := range s.nodes {
			in, ok := n.tables.Instances.Get(other.store.self.id.ID)
			assert.Assert(s.t, ok && in.State == model.InstanceLive, "node %d sees node %d as %+v", i, j, in)
			assert.Equal(s.t, in.Incarnation, other.store.Self().Incarnation)
		}
	}
}

// Guards against a document or stop that reverts, and against stores that do
// not converge after restarts and link cuts in one or both directions.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.step()
		}
		s.cut = [simNodes][simNodes]bool{}
		for i := range s.nodes {
			if s.down[i] {
				s.start(i)
			}
		}
		for range 30 {
			s.round()
		}
		s.checkConverged()
	})
}

// Guards against a changed row that is lost between two documents.
func TestDocumentSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.Custom(func(t *rapid.T) []model.Model {
			names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 6).Draw(t, "names")
			models := make([]model.Model, 0, len(names))
			for _, n := range names {
				models = append(models, model.Model{Name: n})
			}
			return models
		})
		from := &model.Document{Generation: 1, Models: rows.Draw(t, "from")}
		to := &model.Document{Generation: 2, Models: rows.Draw(t, "to")}
		got := applyStep(from, diffDocuments(from, to))
		assert.DeepEqual(t, got.Models, to.Models)
		assert.Assert(t, applyStep(to, diffDocuments(from, to)) == nil, "a step must not fit another document")
	})
}

// TestMain sets a fixed seed, and a number of cases that run in seconds with
// the race detector. Flags of the command line override both.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
	os.Exit(m.Run())
}
