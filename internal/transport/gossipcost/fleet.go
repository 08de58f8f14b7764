package gossipcost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/watch"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// process has the parts of one control process.
type process struct {
	id     model.InstanceID
	pool   *worker.Pool
	tables gossip.Tables
	gossip *gossip.Manager
	watch  *watch.Manager
}

// fleet is a set of control processes.
type fleet struct {
	options   Options
	net       *network
	processes []*process
}

// startPeriod is the time over which the starts of the processes are spread.
const startPeriod = 2 * time.Second

func startFleet(o Options) *fleet {
	f := &fleet{options: o, net: &network{managers: map[string]*gossip.Manager{}}}
	doc := f.document()
	for i := range o.Instances {
		f.processes = append(f.processes, f.newProcess(i, doc))
	}
	for _, p := range f.processes {
		p.gossip.Start()
		p.watch.Start()
		p.countRequests(o.Moves)
		time.Sleep(startPeriod / time.Duration(o.Instances))
	}
	return f
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.pool.Close()
	}
}

// document returns the document that all processes start with. They share one
// copy, so the measured memory of a process does not include a document of its own.
func (f *fleet) document() *model.Document {
	d := &model.Document{Generation: 1, Hash: "1"}
	for i := range f.options.Upstreams {
		d.Upstreams = append(d.Upstreams, model.Upstream{
			ID:      model.UpstreamID(fmt.Sprintf("worker-%04d", i)),
			Kind:    model.KindEngine,
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Region:  region(i, f.options),
			Serves:  fmt.Sprintf("model-%d", i%11),
			Version: "v1",
		})
	}
	return d
}

func region(i int, o Options) string { return fmt.Sprintf("region-%d", i%o.Regions) }

func (f *fleet) newProcess(i int, doc *model.Document) *process {
	address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	self := model.Instance{
		ID:             model.InstanceID(fmt.Sprintf("entry-%04d", i)),
		Incarnation:    uint64(time.Now().UnixNano()),
		Region:         region(i, f.options),
		FailureDomain:  model.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
		ControlAddress: address,
	}
	p := &process{id: self.ID, pool: worker.NewPool(worker.Options{Workers: 1}), tables: gossip.Tables{
		Documents: document.NewTable(),
		Instances: instance.NewTable(),
		Upstreams: upstream.NewTable(),
		Stops:     stop.NewTable(),
		Evidence:  evidence.NewTable(),
	}}
	p.tables.Documents.Apply(doc)
	p.tables.Upstreams.Configure(doc.Upstreams)
	for m := range f.options.Moves {
		p.tables.Stops.SetShare(model.Share{Serves: movingModel(m), Target: "v2", Previous: "v1", Share: 0.1, Revision: 1})
	}
	seeds := []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"}
	p.gossip = gossip.NewManager(gossip.Options{Self: self, Pool: p.pool, Peers: link{f.net}, Tables: p.tables, Seeds: seeds})
	p.watch = watch.NewManager(watch.Options{
		Self: self.ID, Pool: p.pool, Documents: p.tables.Documents, Instances: p.tables.Instances,
		Upstreams: p.tables.Upstreams, Prober: prober{}, Publisher: p.gossip,
	})
	f.net.mu.Lock()
	f.net.managers[address] = p.gossip
	f.net.mu.Unlock()
	return p
}

func movingModel(m int) string { return fmt.Sprintf("model-%d", m) }

// countRequests adds evidence of one request on both versions of each move, ten
// times a second.
func (p *process) countRequests(moves int) {
	const key = "requests"
	now := time.Now()
	for m := range moves {
		for _, version := range []string{"v1", "v2"} {
			p.tables.Evidence.Observe(evidence.Key{
				Instance: p.id,
				Version:  model.VersionKey{Serves: movingModel(m), Version: version},
				Route:    "generate",
				Minute:   now.Unix() / 60,
			}, evidence.Observation{FirstWait: rand.N(500 * time.Millisecond), Pace: rand.N(60 * time.Millisecond)})
		}
	}
	if moves > 0 {
		p.pool.After(100*time.Millisecond, key, worker.Func(func() { p.countRequests(moves) }))
	}
}

// prober answers each probe with a random load.
type prober struct{}

// Probe implements watch.Prober.
func (prober) Probe(_ context.Context, _ model.Upstream) (upstream.Report, error) {
	return upstream.Report{
		Incarnation: 1_764_000_000_000_000_000,
		Health:      upstream.HealthUp,
		Running:     rand.IntN(40),
		Waiting:     rand.IntN(10),
		TokenTime:   time.Duration(rand.IntN(40)) * time.Millisecond,
		PrefillRate: float64(rand.IntN(100_000)),
	}, nil
}
