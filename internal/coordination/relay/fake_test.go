package relay

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
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
)

const (
	fakePrefill  = 50 * time.Millisecond
	fakeInterval = 20 * time.Millisecond
)

// fakeEngines simulates a fleet of engines. Each token contains its version,
// stream and position, so that tokens of different streams always differ.
type fakeEngines struct {
	mu       sync.Mutex
	engines  map[model.UpstreamID]*fakeEngine
	computed int // tokens produced by all engines
	wg       sync.WaitGroup
}

type fakeEngine struct {
	dead, frozen bool
	failStatus   bool
	rejects      bool // requests to continue an answer
	streams      map[model.StreamID]*fakeStream
}

type fakeStream struct {
	first, next, max int // positions
	cancelled        bool
	events           Events // nil while no connection is attached
	misbehave        string // fault of the next token: "", "duplicate", "skip", "cross", "short", "truncate"
}

func fakeToken(version string, stream model.StreamID, position int) string {
	return fmt.Sprintf("%s|%s|%d ", version, stream, position)
}

func (f *fakeEngines) engine(id model.UpstreamID) *fakeEngine {
	e, ok := f.engines[id]
	if !ok {
		e = &fakeEngine{streams: map[model.StreamID]*fakeStream{}}
		f.engines[id] = e
	}
	return e
}

// Start implements Engines.
func (f *fakeEngines) Start(up model.Upstream, req StreamRequest, events Events) string {
	f.start(up, req, events)
	return ""
}

func (f *fakeEngines) start(up model.Upstream, req StreamRequest, events Events) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(up.ID)
	if e.dead {
		f.deliverLater(func() { events.Lost(continuation.LossDial, continuation.Detail{}) })
		return
	}
	if e.failStatus {
		f.deliverLater(func() { events.Lost(continuation.LossStatus, continuation.Detail{Cause: "500"}) })
		return
	}
	n := len(req.Continue)
	if e.rejects && n > 0 {
		f.deliverLater(func() {
			events.Lost(continuation.LossRejected, continuation.Detail{Cause: "status 400", EngineMessage: "the engine's text"})
		})
		return
	}
	s := &fakeStream{first: n, next: n, max: req.Spec.Sampling.MaxTokens, events: events}
	e.streams[req.Stream] = s
	f.wg.Go(func() { f.produce(e, s, up, req.Stream) })
}

func (f *fakeEngines) deliverLater(fn func()) {
	f.wg.Go(func() {
		time.Sleep(time.Millisecond)
		fn()
	})
}

// produce emits tokens until the stream ends, is cancelled or its engine dies.
func (f *fakeEngines) produce(e *fakeEngine, s *fakeStream, up model.Upstream, id model.StreamID) {
	time.Sleep(fakePrefill)
	for f.produceNext(e, s, up, id) {
		time.Sleep(fakeInterval)
	}
}

func (f *fakeEngines) produceNext(e *fakeEngine, s *fakeStream, up model.Upstream, id model.StreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.dead || s.cancelled || e.streams[id] != s {
		return false
	}
	if e.frozen {
		return true
	}
	if s.next == s.max {
		if s.events != nil {
			s.events.Ended(string(id), s.max, "length")
		}
		return false
	}
	f.emit(s, up, id)
	return true
}

func (f *fakeEngines) emit(s *fakeStream, up model.Upstream, id model.StreamID) {
	position := s.next
	s.next++
	f.computed++
	if s.events == nil {
		return
	}
	sent, text := string(id), fakeToken(up.Version, id, position)
	switch s.misbehave {
	case "duplicate":
		s.events.Tokens(sent, position, []string{text})
	case "skip":
		position++
	case "cross":
		sent = "other." + sent
		text = fakeToken(up.Version, model.StreamID(sent), position)
	case "short":
		s.events.Ended(sent, position-1, "stop")
	case "truncate":
		s.events.Lost(continuation.LossTruncated, continuation.Detail{})
		s.events = nil
	}
	s.misbehave = ""
	if s.events != nil {
		s.events.Tokens(sent, position, []string{text})
	}
}

// Attach implements Engines.
func (f *fakeEngines) Attach(up model.Upstream, req StreamRequest, after int, _ time.Duration, events Events) string {
	f.attach(up, req, after, events)
	return ""
}

func (f *fakeEngines) attach(up model.Upstream, req StreamRequest, after int, events Events) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(up.ID)
	s, ok := e.streams[req.Stream]
	switch {
	case e.dead:
		f.deliverLater(func() { events.Lost(continuation.LossDial, continuation.Detail{}) })
	case !ok || s.cancelled:
		f.deliverLater(func() { events.Lost(continuation.LossNoStream, continuation.Detail{}) })
	default:
		s.events = events
		s.replay(up, req.Stream, max(after-1, s.first))
		if s.next == s.max {
			events.Ended(string(req.Stream), s.max, "length")
		}
	}
}

// replay sends the tokens from a position on in one batch. The batch may contain
// tokens that the receiver already has.
func (s *fakeStream) replay(up model.Upstream, id model.StreamID, from int) {
	var tokens []string
	for p := from; p < s.next; p++ {
		tokens = append(tokens, fakeToken(up.Version, id, p))
	}
	if len(tokens) > 0 {
		s.events.Tokens(string(id), from, tokens)
	}
}

// Cancel implements Engines.
func (f *fakeEngines) Cancel(up model.Upstream, stream model.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.engine(up.ID).streams[stream]; ok {
		s.cancelled = true
	}
}

// Detach implements Engines. The fake's streams have no grace time.
func (f *fakeEngines) Detach(stream model.StreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if s, ok := e.streams[stream]; ok {
			s.events = nil
		}
	}
}

// fault injects a fault into one engine.
func (f *fakeEngines) fault(id model.UpstreamID, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(id)
	switch kind {
	case "kill":
		e.dead = true
		f.cutConnections(e, continuation.LossReset)
		e.streams = map[model.StreamID]*fakeStream{}
	case "revive":
		e.dead, e.frozen, e.failStatus, e.rejects = false, false, false, false
	case "freeze":
		e.frozen = true
	case "cut":
		f.cutConnections(e, continuation.LossReset)
	case "leave":
		f.sendLoss(e, continuation.LossLeaving)
	case "fail":
		e.failStatus = true
	case "reject":
		e.rejects = true
	default:
		for _, s := range e.streams {
			s.misbehave = kind
		}
	}
}

func (f *fakeEngines) cutConnections(e *fakeEngine, kind continuation.Loss) {
	f.sendLoss(e, kind)
	for _, s := range e.streams {
		s.events = nil
	}
}

func (f *fakeEngines) sendLoss(e *fakeEngine, kind continuation.Loss) {
	for _, s := range e.streams {
		if s.events != nil {
			s.events.Lost(kind, continuation.Detail{})
		}
	}
}

// openAdmission admits every generation at once.
type openAdmission struct{ pool *worker.Pool }

func (a openAdmission) Enter(spec model.GenerationSpec, admitted func(*model.Refusal)) {
	a.pool.Post(key(spec.Request), worker.Func(func() { admitted(nil) }))
}

func (openAdmission) Leave(model.RequestID) {}

type noCopier struct{}

func (noCopier) GenerationOpened(generation.Record) {}
func (noCopier) TokensAccepted(model.RequestID)     {}
func (noCopier) GenerationEnded(model.RequestID)    {}

// openGuard allows every request on any engine.
type openGuard struct{ pool *worker.Pool }

func (g openGuard) Place(req suspicion.PlaceRequest, then func(suspicion.Placement, *model.Refusal)) {
	g.pool.Post(key(req.ID), worker.Func(func() { then(suspicion.Placement{}, nil) }))
}

func (openGuard) Check(suspect.Fingerprint) suspicion.Verdict               { return suspicion.Unrestricted }
func (openGuard) EnginesRunningSuspects() map[model.UpstreamID]bool         { return nil }
func (openGuard) AttemptStarted(suspect.Fingerprint, model.UpstreamID)      {}
func (openGuard) AttemptStopped(suspect.Fingerprint, model.UpstreamID)      {}
func (openGuard) ReleasePlacement(suspect.Fingerprint, suspicion.Placement) {}
func (openGuard) EngineDied(model.UpstreamID, uint64, []suspicion.Running)  {}
func (openGuard) RecordProgress(suspect.Fingerprint, int)                   {}
func (openGuard) Finished(suspect.Fingerprint)                              {}

// testbed is a relay with fake engines.
type testbed struct {
	pool    *worker.Pool
	fake    *fakeEngines
	table   *generation.Table
	manager *Manager
	stops   *stop.Table
}

// newTestbed returns a relay with n engines, which run the given versions in
// turn.
func newTestbed(n int, versions ...string) *testbed {
	pool := worker.NewPool(worker.Options{Workers: 4})
	docs, ups, stops := document.NewTable(), upstream.NewTable(), stop.NewTable()
	doc := &model.Document{Generation: 1, Models: []model.Model{{Name: "m"}}}
	for i := range n {
		doc.Upstreams = append(doc.Upstreams, model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("e%d", i)), Serves: "m", Version: versions[i%len(versions)],
		})
	}
	docs.Apply(doc)
	ups.Configure(doc.Upstreams)
	b := &testbed{pool: pool, fake: &fakeEngines{engines: map[model.UpstreamID]*fakeEngine{}}, table: generation.NewTable(), stops: stops}
	lines := 0
	var mu sync.Mutex
	b.manager = New(Options{
		Pool:        pool,
		Generations: b.table,
		Upstreams:   ups,
		Router:      routing.New(routing.Options{Documents: docs, Upstreams: ups, Stops: stops, Prefixes: prefix.NewTable()}),
		Engines:     b.fake,
		Admission:   openAdmission{pool},
		Copier:      noCopier{},
		Guard:       openGuard{pool},
		Observe:     func(model.Upstream, evidence.Observation) {},
		NewLine: func(model.RequestID) model.LineID {
			mu.Lock()
			defer mu.Unlock()
			lines++
			return model.LineID(fmt.Sprintf("l%d", lines))
		},
		Retain: time.Minute,
		Log:    &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	return b
}

func (b *testbed) close() {
	b.fake.mu.Lock()
	for _, e := range b.fake.engines {
		e.dead = true
	}
	b.fake.mu.Unlock()
	b.fake.wg.Wait()
	b.pool.Close()
}

// tokenVersion returns the version in a fake token.
func tokenVersion(token string) string {
	version, _, _ := strings.Cut(token, "|")
	return version
}
