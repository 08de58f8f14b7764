package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/locality"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// placementManager returns a manager with the given number of engines in five failure
// domains, with the work of a cell of 16 instances on them.
func placementManager(engines int) (*Manager, *activeRequest) {
	table := upstream.NewTable()
	commitments := commitment.NewTable(time.Hour)
	all := make([]model.Upstream, engines)
	for i := range all {
		all[i] = fakeUpstream("engine", model.FailureDomain(fmt.Sprint(i%5)), i)
	}
	table.Configure(all)
	for from := range 15 {
		work := map[model.UpstreamID]commitment.Work{}
		for n := range 3 {
			work[all[(from*37+n*11)%engines].ID] = commitment.Work{Requests: 1, MemoryTokens: 5800}
		}
		commitments.SetRemote(model.InstanceID(fmt.Sprint(from)), work, time.Now())
	}
	m := New(Options{
		Upstreams: table, Commitments: commitments, Locations: location.NewTable(), Outcomes: outcome.NewTable(),
		Moves: move.NewTable(), Suspects: suspect.NewTable("self"), FailureDomain: "0", Policy: EarliestFinish,
		PrefersEngine: func(address string) bool { return address[len(address)-1] == '0' },
		Log:           &log.Logger{Handler: discard.Default},
	})
	r := &activeRequest{m: m, req: &Request{ID: "r", Work: GenerationWork{PromptTokens: 5000, OutputTokens: 800}}}
	r.service = testRules().Services[0]
	return m, r
}

// BenchmarkPlacement measures the choice of the engine for a stream.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{16, 128, 512, 3500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			m, r := placementManager(engines)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := m.pickEngine(r, r.demand()); !ok {
					b.Fatal("no engine was chosen")
				}
			}
		})
	}
}

// BenchmarkPlannedPlacement measures the choice of the engine for a stream while shares of
// work that leaves the failure domain are known.
func BenchmarkPlannedPlacement(b *testing.B) {
	for _, engines := range []int{16, 128, 512, 3500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			m, r := placementManager(engines)
			shares := locality.Shares{Active: true, Home: "0", HomeCells: 10, At: time.Now().Add(time.Hour)}
			for _, domain := range []model.FailureDomain{"1", "2", "3", "4"} {
				shares.Targets = append(shares.Targets, locality.Target{Domain: domain, Share: 0.1, Load: 0.5})
			}
			m.localities.current.Store(&map[string]locality.Shares{"engine": shares})
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := m.pickEngine(r, r.demand()); !ok {
					b.Fatal("no engine was chosen")
				}
			}
		})
	}
}

// BenchmarkLocalityPlan measures the plan of the shares of one service, which is made once
// a second.
func BenchmarkLocalityPlan(b *testing.B) {
	for _, engines := range []int{16, 128, 512, 3500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			m, r := placementManager(engines)
			none := func() int { return 0 }
			m.opts.Demand, m.opts.CellMembers, m.opts.OtherCells = demand.NewTable(), none, none
			b.ReportAllocs()
			for b.Loop() {
				m.localityView(r.service, m.opts.Commitments.Totals(time.Now()), time.Now())
			}
		})
	}
}

// BenchmarkHolderCheck measures the check whether the holder of a running stream's copy
// may have failed.
func BenchmarkHolderCheck(b *testing.B) {
	for _, engines := range []int{16, 512, 3500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			m, _ := placementManager(engines)
			row := m.opts.Upstreams.Serving("engine")[0]
			b.ReportAllocs()
			for b.Loop() {
				if m.mayHaveFailed(row, time.Now()) {
					b.Fatal("a sound engine is suspected")
				}
			}
		})
	}
}
