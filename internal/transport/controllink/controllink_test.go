package controllink

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
)

// Guards against a view or a report that is lost between encoding and handler.
func TestViewsAndReportsOverQUIC(t *testing.T) {
	instances := instance.NewTable()
	tables := view.Tables{
		Documents: document.NewTable(),
		Instances: instances,
		Upstreams: upstream.NewTable(),
		Stops:     stop.NewTable(),
		Suspects:  suspect.NewTable("a"),
		Directory: membership.NewDirectory(instances),
	}
	reports := make(chan view.Report, 1)
	link := start(t, peer.Mux{
		peerwire.KindView:   ServeViews(tables, func(bool) {}),
		peerwire.KindReport: ServeReports(func(r view.Report) { reports <- r }),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	views := make(chan view.View, 1)
	go link.Follow(ctx, func(v view.View) { views <- v })
	tables.Documents.Apply(&model.Document{Generation: 3})
	got := <-views
	for got.Document == nil {
		got = <-views
	}
	assert.Equal(t, got.Document.Generation, uint64(3))

	stops := stop.NewTable()
	stops.Add(model.Stop{Key: model.VersionKey{Serves: "m", Version: "2"}, Epoch: 4})
	reporter := &view.Reporter{
		Self: "a", Evidence: evidence.NewTable(), Stops: stops, Upstreams: upstream.NewTable(), Suspects: suspect.NewTable("a"),
	}
	go link.SendReports(ctx, reporter, func() bool { return false })
	assert.DeepEqual(t, (<-reports).Stops, stops.Stops())
}

// Guards against an entry process that still shows its view as current after the
// control process is lost.
func TestAgeGrowsAfterTheControlProcessIsLost(t *testing.T) {
	ended := make(chan struct{})
	link := start(t, peer.Mux{peerwire.KindView: peer.HandlerFunc(
		func(_ context.Context, _ peer.Peer, _ peerwire.Message, w peer.MessageWriter) error {
			m, err := peerwire.EncodeView(view.View{Document: &model.Document{Generation: 1}})
			if err != nil {
				return err
			}
			if err := w.Write(m); err != nil {
				return err
			}
			<-ended
			return nil
		})})
	_, ok := link.Age(time.Now())
	assert.Assert(t, !ok)
	views := make(chan view.View, 1)
	lost := make(chan error, 1)
	go func() { lost <- link.followOnce(t.Context(), func(v view.View) { views <- v }) }()
	<-views
	age, ok := link.Age(time.Now().Add(time.Hour))
	assert.Assert(t, ok && age == 0, "age %v while connected", age)
	close(ended)
	assert.Assert(t, <-lost != nil)
	age, ok = link.Age(time.Now().Add(time.Hour))
	assert.Assert(t, ok && age >= time.Hour, "age %v after the loss", age)
}

// start serves the handlers and returns a link to them.
func start(t *testing.T, handlers peer.Mux) *Link {
	t.Helper()
	ca, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	f, err := ca.Issue("a")
	assert.NilError(t, err)
	options := peer.Options{Address: "127.0.0.1:0", CertFile: f.Cert, KeyFile: f.Key, CAFile: f.CA}
	server, err := peer.NewServer(options, handlers)
	assert.NilError(t, err)
	client, err := peer.NewClient(options)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return &Link{Client: client, ControlAddress: server.Address(), Log: &log.Logger{Handler: discard.New()}}
}
