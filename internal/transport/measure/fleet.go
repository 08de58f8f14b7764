// Package measure runs the measurements that docs/MEASUREMENTS.md keeps:
// resume latency, recomputed work and relay cost. Where there is a baseline, it is
// a simpler version in this repository. Engines are in-process stand-ins behind
// HTTP connections on loopback.
package measure

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/engine"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

const (
	modelName = "m"
	version   = "v1"
)

// fleet is a relay in front of in-process engines.
type fleet struct {
	pool        *worker.Pool
	engines     []*standin.Engine
	servers     []*httptest.Server
	generations *generation.Table
	upstreams   *upstream.Table
	client      *engine.Client
	relay       *relay.Manager
}

// newFleet starts n engines and a relay. decide decides what happens after an
// engine is lost; nil means the relay's own decision.
func newFleet(n int, opts standin.Options, decide func(continuation.Situation) continuation.Action) *fleet {
	f := &fleet{pool: worker.NewPool(worker.Options{}), generations: generation.NewTable(), upstreams: upstream.NewTable(), client: engine.New()}
	doc := &model.Document{Generation: 1, Models: []model.Model{{Name: modelName}}}
	opts.Model, opts.Version = modelName, version
	for i := range n {
		e := standin.New(opts)
		s := httptest.NewServer(e)
		f.engines = append(f.engines, e)
		f.servers = append(f.servers, s)
		doc.Upstreams = append(doc.Upstreams, model.Upstream{
			ID:      model.UpstreamID(fmt.Sprintf("e%d", i)),
			Kind:    model.KindEngine,
			Address: strings.TrimPrefix(s.URL, "http://"),
			Serves:  modelName,
			Version: version,
		})
	}
	docs := document.NewTable()
	docs.Apply(doc)
	f.upstreams.Configure(doc.Upstreams)
	router := routing.New(routing.Options{
		Documents: docs, Upstreams: f.upstreams, Stops: stop.NewTable(), Prefixes: prefix.NewTable(),
	})
	f.relay = relay.New(relay.Options{
		Pool:        f.pool,
		Generations: f.generations,
		Upstreams:   f.upstreams,
		Router:      router,
		Engines:     f.client,
		Admission:   admitAll{f.pool},
		Copier:      noCopies{},
		Guard: suspicion.New(suspicion.Options{
			Pool:          f.pool,
			Suspects:      suspect.NewTable("measure"),
			PermitIssuers: func(suspect.Fingerprint) []suspicion.PermitIssuer { return nil },
		}),
		Observe: func(model.Upstream, evidence.Observation) {},
		NewLine: func(id model.RequestID) model.LineID { return replication.NewLine("measure", id) },
		Decide:  decide,
		Retain:  time.Minute,
		Log:     &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	return f
}

func (f *fleet) close() {
	f.client.Close()
	for i, e := range f.engines {
		f.servers[i].CloseClientConnections()
		e.Close()
		f.servers[i].Close()
	}
	f.pool.Close()
}

// computedWork returns the tokens and prompt bytes that all engines computed.
func (f *fleet) computedWork() (tokens, prefill int64) {
	for _, e := range f.engines {
		s := e.Stats()
		tokens += s.Tokens
		prefill += s.PrefillBytes
	}
	return tokens, prefill
}

// runningEngine returns the index of the engine that runs the request now, -1 if
// there is none, and the position of the first token that it produces.
func (f *fleet) runningEngine(id model.RequestID) (engine, first int) {
	r, ok := f.generations.Get(id)
	if !ok || !r.Attempt.Open {
		return -1, 0
	}
	if _, err := fmt.Sscanf(string(r.Attempt.Upstream), "e%d", &engine); err != nil {
		return -1, 0
	}
	return engine, r.Attempt.First
}

// admitAll admits every generation at once.
type admitAll struct{ pool *worker.Pool }

func (a admitAll) Enter(spec model.GenerationSpec, admitted func(*model.Refusal)) {
	a.pool.Post(worker.Key(spec.Request), worker.Func(func() { admitted(nil) }))
}

func (admitAll) Leave(model.RequestID) {}

// noCopies makes no copies of token logs.
type noCopies struct{}

func (noCopies) GenerationOpened(generation.Record) {}
func (noCopies) TokensAccepted(model.RequestID)     {}
func (noCopies) GenerationEnded(model.RequestID)    {}
