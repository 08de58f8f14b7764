package measure

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/watch"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

// BenchmarkControl measures the tasks of a control process whose cost grows with
// the fleet; docs/CAPACITY.md has their intervals. There are 640 instances for
// 3,500 upstreams.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{20, 500, 3500} {
		doc := fleetDocument(n)
		instances := fleetInstances(max(n*640/3500, 4))
		src := documentYAML(doc)
		run := func(name string, op func() error) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := op(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
		run("parse the document", func() error {
			_, err := envdoc.Decode(src)
			return err
		})
		table := upstream.NewTable()
		run("configure upstreams", func() error {
			table.Configure(doc.Upstreams)
			return nil
		})
		run("assign watchers", func() error {
			watch.Assign(doc.Upstreams, instances)
			return nil
		})
		run("encode the document for the entry process", func() error {
			_, err := encodeMessage(peerwire.EncodeView(view.View{Document: doc}))
			return err
		})
		directory, stop := startDirectory(b, doc, instances)
		run("read the list of machines", func() error {
			_, err := directory.List(context.Background())
			return err
		})
		stop()
		counts := evidence.NewTable()
		fillEvidence(counts, len(instances))
		run("read the evidence of one move", func() error {
			counts.Sums(model.VersionKey{Serves: "model-00", Version: "0.0"}, model.VersionKey{Serves: "model-00", Version: "1.0"})
			return nil
		})
	}
}

func fleetInstances(n int) []model.Instance {
	var all []model.Instance
	for i := range n {
		all = append(all, model.Instance{
			ID:             model.InstanceID(fmt.Sprintf("instance-%03d", i)),
			Incarnation:    1,
			Region:         fmt.Sprintf("region-%d", i%4),
			FailureDomain:  model.FailureDomain(fmt.Sprintf("domain-%d", i%9)),
			CallerAddress:  "10.0.0.1:8080",
			EntryAddress:   "10.0.0.1:8081",
			ControlAddress: "10.0.0.1:8082",
			State:          model.InstanceLive,
		})
	}
	return all
}

// startDirectory starts a stand-in platform that lists the machines, and returns
// its directory and the function that stops it.
func startDirectory(b *testing.B, doc *model.Document, instances []model.Instance) (*platform.Directory, func()) {
	b.Helper()
	server := httptest.NewServer(standin.New(standin.Options{}))
	client, err := platform.New(platform.Options{BaseURL: server.URL, Timeout: 10 * time.Second})
	if err != nil {
		b.Fatal(err)
	}
	directory := platform.NewDirectory(client)
	for _, in := range instances {
		if err := directory.RegisterInstance(context.Background(), in); err != nil {
			b.Fatal(err)
		}
	}
	for _, u := range doc.Upstreams {
		if err := directory.RegisterUpstream(context.Background(), u, false); err != nil {
			b.Fatal(err)
		}
	}
	return directory, func() {
		client.Close()
		server.Close()
	}
}

// fillEvidence fills the table with an hour of evidence on one version move, at
// most the 16,000 rows that rollout keeps.
func fillEvidence(table *evidence.Table, instances int) {
	for row := range min(60*2*instances, 16_000) {
		r := evidenceRow(row/2%instances, 0, row%2)
		r.Key.Minute -= int64(row / 2 / instances)
		table.Merge(r.Key, r.Counts)
	}
}
