package forward

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// fakeSend is a send that the manager started, with its receiver.
type fakeSend struct {
	Send
	Receiver
	cancelled bool
}

// event delivers the event at the position.
func (s *fakeSend) event(p Position) {
	s.EventsArrived([]Event{{Position: p, Raw: []byte(fmt.Sprintf("id: %d\n\n", p))}})
	synctest.Wait()
}

// fakeReply records what the caller got.
type fakeReply struct {
	heads   []Header // of streams that began
	events  string
	answer  *Answer
	refused *model.Refusal
	// refusedAt is the time of the refusal. A test that waits for it must not read refused
	// meanwhile: the bubble's clock does not order that read before the write.
	refusedAt time.Time
	ended     bool
	broken    bool
}

func (f *fakeReply) Answer(a Answer)         { f.answer = &a }
func (f *fakeReply) Begin(_ int, h Header)   { f.heads = append(f.heads, h) }
func (f *fakeReply) Events(raw []byte)       { f.events += string(raw) }
func (f *fakeReply) End()                    { f.ended = true }
func (f *fakeReply) Abort()                  { f.broken = true }
func (f *fakeReply) Refuse(r *model.Refusal) { f.refused, f.refusedAt = r, time.Now() }

// fakeBudget allows all sends until it is used up.
type fakeBudget struct{ usedUp atomic.Bool }

func (*fakeBudget) CountRequest(string)      {}
func (f *fakeBudget) TakeResend(string) bool { return !f.usedUp.Load() }

// harness is a manager over a fake sender and a pool of its own. All of its methods
// run in a synctest bubble.
type harness struct {
	t                 *testing.T
	m                 *Manager
	pool              *worker.Pool
	upstreams         *upstream.Table
	moves             *move.Table
	instances         int
	submitted         int
	mu                sync.Mutex  // guards sends, their cancelled, failedConnections, copyHolders and suspectBroadcasts, which the pool's workers append to
	sends             []*fakeSend // read through sent
	foundUpstreams    []model.Upstream
	leftUpstreams     []model.UpstreamID // upstreams that said that they leave
	discardedHandles  []string           // handles of discarded copies
	copyHolders       []model.UpstreamID // holders of the copies made on request
	copyError         error              // the result of copy requests; nil means that they succeed
	budget            fakeBudget
	failedConnections []model.UpstreamID // upstreams whose connection failures were published; read through connectionFailures
	probesFail        atomic.Bool        // probes get no answer
	probeTime         time.Duration      // until a probe is answered
	engineState       EngineState        // what probed engines report
	cachedParts       map[model.UpstreamID][]CachedPart
	promptQueries     int // calls of CachedParts
	crashedUpstreams  map[model.UpstreamID]bool
	suspects          *suspect.Table
	otherRunsTrials   bool   // another instance runs the trials
	suspectBroadcasts []bool // for each call of PublishCrashes, whether it was for all instances; read through crashBroadcasts
}

// Start implements Sender.
func (b *harness) Start(s Send, to Receiver) func() {
	send := &fakeSend{Send: s, Receiver: to}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sends = append(b.sends, send)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		send.cancelled = true
	}
}

// isCancelled reports whether the send was cancelled, also while others are at work.
func (b *harness) isCancelled(s *fakeSend) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.cancelled
}

// sent returns what was sent so far.
func (b *harness) sent() []*fakeSend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sends
}

func (b *harness) connectionFailed(id model.UpstreamID, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedConnections = append(b.failedConnections, id)
}

func (b *harness) connectionFailures() []model.UpstreamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedConnections
}

func (b *harness) publishCrashes(_ suspect.Rows, widely bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectBroadcasts = append(b.suspectBroadcasts, widely)
}

func (b *harness) crashBroadcasts() []bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspectBroadcasts
}

// Probe implements Sender.
func (b *harness) Probe(_ model.Upstream, timeout time.Duration, answered func(EngineState, error)) {
	if b.probesFail.Load() {
		time.AfterFunc(timeout, func() { answered(EngineState{}, errors.New("no answer")) })
		return
	}
	if b.probeTime > 0 {
		time.AfterFunc(b.probeTime, func() { answered(b.engineState, nil) })
		return
	}
	answered(b.engineState, nil)
}

// CheckStopped implements Sender.
func (b *harness) CheckStopped(up model.Upstream, _ time.Duration, answered func(bool)) {
	answered(b.crashedUpstreams[up.ID])
}

// CachedParts implements Sender.
func (b *harness) CachedParts(up model.Upstream, _ time.Duration, answered func([]CachedPart, error)) {
	b.promptQueries++
	answered(b.cachedParts[up.ID], nil)
}

// RequestCopy implements Sender.
func (b *harness) RequestCopy(_ model.Upstream, _ model.RequestID, to model.Upstream, _ time.Duration, copied func(string, error)) {
	b.mu.Lock()
	b.copyHolders = append(b.copyHolders, to.ID)
	b.mu.Unlock()
	if b.copyError != nil {
		copied("", b.copyError)
		return
	}
	copied("handle-"+string(to.ID), nil)
}

// DiscardCopy implements Sender.
func (b *harness) DiscardCopy(_ model.Upstream, handle string) {
	b.discardedHandles = append(b.discardedHandles, handle)
}

// domains are the failure domains of the fake upstreams.
var domains = []model.FailureDomain{"a", "b", "c"}

// withHarness runs the test on a manager with two upstreams of each service in
// each failure domain.
func withHarness(t *testing.T, run func(b *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &harness{t: t, pool: worker.NewPool(worker.Options{Workers: 2}), upstreams: upstream.NewTable(), moves: move.NewTable(), instances: 1, crashedUpstreams: map[model.UpstreamID]bool{}, suspects: suspect.NewTable("self")}
		defer b.pool.Close()
		table := rules.NewTable()
		table.Apply(testRules())
		var all []model.Upstream
		for _, domain := range domains {
			for i := range 2 {
				all = append(all, fakeUpstream("engine", domain, i), fakeUpstream("desk", domain, i))
			}
		}
		b.upstreams.Configure(all)
		b.m = New(Options{
			Pool:             b.pool,
			Rules:            table,
			Upstreams:        b.upstreams,
			Commitments:      commitment.NewTable(time.Second),
			Locations:        location.NewTable(),
			Outcomes:         outcome.NewTable(),
			Moves:            b.moves,
			Suspects:         b.suspects,
			Organisations:    organisation.NewTable(),
			Demand:           demand.NewTable(),
			PublishCrashes:   b.publishCrashes,
			RunsTrials:       func(suspect.Fingerprint) bool { return !b.otherRunsTrials },
			Sender:           b,
			Budget:           &b.budget,
			FailureDomain:    "a",
			PrefersEngine:    func(string) bool { return true },
			Instances:        func() int { return b.instances },
			Policy:           EarliestFinish,
			StateChanged:     func() {},
			SuccessorFound:   func(up model.Upstream) { b.foundUpstreams = append(b.foundUpstreams, up) },
			UpstreamLeft:     func(id model.UpstreamID) { b.leftUpstreams = append(b.leftUpstreams, id) },
			ConnectionFailed: b.connectionFailed,
			Log:              &log.Logger{Handler: discard.Default},
		})
		run(b)
	})
}

func fakeUpstream(service string, domain model.FailureDomain, i int) model.Upstream {
	id := fmt.Sprintf("%s-%s%d", service, domain, i)
	return model.Upstream{ID: model.UpstreamID(id), Address: id, Serves: service, FailureDomain: domain, Slots: 8}
}

func testRules() *model.RoutingRules {
	to := func(service string) []model.RouteTarget { return []model.RouteTarget{{Service: service, Weight: 1}} }
	return &model.RoutingRules{
		Revision: 1,
		Routes: []model.HostRoute{
			{
				Name: "log", Host: "h", Prefix: "/log/", Stream: true, Repeat: model.RepeatResume, Targets: to("engine"),
				MaxAttempts: 5, Timeout: 25 * time.Second, Objective: 4500 * time.Millisecond, MaxGap: 700 * time.Millisecond,
			},
			{
				Name: "tell", Host: "h", Prefix: "/tell/", Stream: true, Repeat: model.RepeatNever, Targets: to("engine"),
				MaxAttempts: 1, Timeout: 25 * time.Second, Objective: 4500 * time.Millisecond, MaxGap: 700 * time.Millisecond,
			},
			{
				Name: "book", Host: "h", Prefix: "/book/", Repeat: model.RepeatNever, Targets: to("desk"),
				MaxAttempts: 1, Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond,
			},
			{
				Name: "read", Host: "h", Prefix: "/read/", Repeat: model.RepeatAny, Targets: to("desk"),
				MaxAttempts: 2, Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond,
			},
		},
		Services: []model.BackendService{
			{Name: "engine", Engine: &model.EngineTraits{MemoryTokens: 55000, Copies: true, Moves: true}},
			{Name: "desk"},
		},
		Holders: []model.KeyHolder{{Organisation: "org", Keys: []string{"key"}}},
	}
}

// request returns a new request to the path.
func (b *harness) request(path string) *Request {
	defer func() { b.submitted++ }()
	return &Request{
		ID:         model.RequestID(fmt.Sprintf("r%d", b.submitted)),
		Host:       "h",
		Method:     "POST",
		Path:       path,
		Credential: "key",
		Arrived:    time.Now(),
		Deadline:   time.Now().Add(25 * time.Second),
		Work:       GenerationWork{PromptTokens: 5000, OutputTokens: 800},
	}
}

// submit sends a request to the path and waits until it is placed.
func (b *harness) submit(path string) (*fakeReply, func()) {
	reply := &fakeReply{}
	left := b.m.Submit(b.request(path), reply)
	synctest.Wait()
	return reply, left
}

// submitRequest sends the request and waits until it is placed.
func (b *harness) submitRequest(request *Request) *fakeReply {
	reply := &fakeReply{}
	b.m.Submit(request, reply)
	synctest.Wait()
	return reply
}

// lastSend returns the newest send.
func (b *harness) lastSend() *fakeSend {
	b.t.Helper()
	if len(b.sent()) == 0 {
		b.t.Fatal("nothing was sent")
	}
	return b.sent()[len(b.sent())-1]
}

// advance moves the bubble's clock forward and waits until all work is done.
func (b *harness) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
