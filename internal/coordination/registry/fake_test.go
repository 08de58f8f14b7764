package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
)

var errDown = errors.New("store is down")

// fakeStore is one instance's connection to the store, with faults.
type fakeStore struct {
	content     *storeContent
	entryReads  atomic.Int32 // reads of the entries
	calls       atomic.Int32
	wholeRules  atomic.Int32 // reads of all rules
	listReads   atomic.Int32 // reads of the list of instances
	unreachable atomic.Bool
	hangs       atomic.Bool // reads get no answer
	silentRules atomic.Bool // reads of the rules that have begun get no answer
	rulesHang   atomic.Bool // reads of the rules get no answer, others do
	staleConns  atomic.Bool // reads get no answer on connections that were opened before
	// changeTransferTime is how long one change takes to arrive, in nanoseconds. A
	// read from a revision receives each change since then.
	changeTransferTime atomic.Int64
	writesHang         atomic.Bool // announcements get no answer
	changesGone        atomic.Bool // reads of changes since a revision find their history gone
	tablesGone         atomic.Bool // reads of whole tables get the same answer
	// announceTime is how long an announcement is queued until it takes effect, in
	// nanoseconds.
	announceTime atomic.Int64
}

// storeContent is the content of the store, which all fakeStores share. mu guards
// the other fields.
type storeContent struct {
	mu        sync.Mutex
	era       Era
	revision  Revision
	rules     *model.RoutingRules
	entries   map[model.UpstreamID]Entry
	instances []model.Instance
}

// change runs f with the lock held.
func (w *storeContent) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *storeContent) currentRevision() Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

func (w *storeContent) currentEra() Era {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// historyGone returns the error of a read whose history is gone, after a short while.
func (s *fakeStore) historyGone(ctx context.Context, after Revision) error {
	if after > 0 && s.changesGone.Load() || after == 0 && s.tablesGone.Load() {
		wait.Sleep(ctx, time.Millisecond)
		return ErrHistoryGone
	}
	return nil
}

func (s *fakeStore) Published(ctx context.Context, after Revision, d time.Duration) (Published, error) {
	s.calls.Add(1)
	if after == 0 {
		s.wholeRules.Add(1)
	}
	if s.staleConns.Load() {
		defer s.CloseIdle()
		return Published{}, hang(ctx)
	}
	if err := s.historyGone(ctx, after); err != nil {
		return Published{}, err
	}
	if s.unreachable.Load() {
		return Published{}, errDown
	}
	silent := s.silentRules.Load
	if silent() {
		silent = func() bool { return false } // a later read has a connection of its own
	}
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); ctx.Err() == nil && after == s.content.currentRevision() && time.Now().Before(end); {
		wait.Sleep(ctx, step)
	}
	if s.hangs.Load() || s.rulesHang.Load() || silent() {
		return Published{}, hang(ctx)
	}
	if err := s.transfer(ctx, after); err != nil {
		return Published{}, err
	}
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	return Published{Era: s.content.era, Revision: s.content.revision, Rules: s.content.rules}, nil
}

// hang waits for an answer that does not begin, as long as the client of a store does.
func hang(ctx context.Context) error {
	wait.Sleep(ctx, SilenceLimit)
	return context.DeadlineExceeded
}

// transfer waits until the changes after the revision have arrived, or all rows for
// revision 0.
func (s *fakeStore) transfer(ctx context.Context, after Revision) error {
	changes := Revision(1)
	if after > 0 {
		changes = s.content.currentRevision() - after
	}
	wait.Sleep(ctx, time.Duration(int64(changes)*s.changeTransferTime.Load()))
	return ctx.Err()
}

func (s *fakeStore) Entries(ctx context.Context, after Revision) (Entries, error) {
	s.entryReads.Add(1)
	s.calls.Add(1)
	if s.staleConns.Load() {
		defer s.CloseIdle()
		return Entries{}, hang(ctx)
	}
	if s.hangs.Load() {
		return Entries{}, hang(ctx)
	}
	if err := s.historyGone(ctx, after); err != nil {
		return Entries{}, err
	}
	if s.unreachable.Load() {
		return Entries{}, errDown
	}
	if err := s.transfer(ctx, after); err != nil {
		return Entries{}, err
	}
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	got := Entries{Era: s.content.era, Revision: s.content.revision, Snapshot: true}
	for _, e := range s.content.entries {
		got.Changed = append(got.Changed, e)
	}
	return got, nil
}

func (s *fakeStore) Instances(ctx context.Context, after Revision, d time.Duration) (InstanceChanges, error) {
	s.listReads.Add(1)
	if err := s.historyGone(ctx, after); err != nil {
		return InstanceChanges{}, err
	}
	if s.unreachable.Load() {
		return InstanceChanges{}, errDown
	}
	if after > 0 {
		wait.Sleep(ctx, d) // a change is seen at the end of the wait
	}
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	return InstanceChanges{Era: s.content.era, Revision: 1, Snapshot: true, Changed: slices.Clone(s.content.instances)}, nil
}

func (s *fakeStore) Announce(ctx context.Context, in model.Instance, _ Revision) (Announcement, error) {
	if s.writesHang.Load() {
		wait.Sleep(ctx, time.Hour)
		return Announcement{}, ctx.Err()
	}
	wait.Sleep(ctx, time.Duration(s.announceTime.Load()))
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	for i, row := range s.content.instances {
		if row.ID == in.ID {
			in.Incarnation = max(in.Incarnation, row.Incarnation)
			s.content.instances[i] = in
			return Announcement{Incarnation: in.Incarnation, Era: s.content.era}, nil
		}
	}
	s.content.instances = append(s.content.instances, in)
	return Announcement{Incarnation: in.Incarnation, Era: s.content.era}, nil
}

func (s *fakeStore) CloseIdle() { s.staleConns.Store(false) }

func (s *fakeStore) Withdraw(_ context.Context, self model.Instance) (Era, error) {
	if s.unreachable.Load() {
		return 0, errDown
	}
	s.content.change(func() {
		s.content.instances = slices.DeleteFunc(s.content.instances, func(in model.Instance) bool { return in.ID == self.ID })
	})
	return s.content.currentEra(), nil
}

// member is one instance of a cell.
type member struct {
	*Manager
	store        *fakeStore
	rulesTable   *rules.Table
	upstreams    *upstream.Table
	pool         *worker.Pool
	unresponsive atomic.Bool // does not answer polls
}

// fakePeers implements Peers by direct calls to the other members.
type fakePeers map[model.InstanceID]*member

func (c fakePeers) Poll(ctx context.Context, from model.Instance, cursor Cursor, _ *model.RoutingRules, d time.Duration) (Delta, error) {
	other, running := c[from.ID]
	if !running || other.unresponsive.Load() {
		wait.Sleep(ctx, time.Hour)
		return Delta{}, ctx.Err()
	}
	return other.ServePoll(ctx, cursor, d), nil
}

// startCell starts one cell of instances that share a store.
func startCell(t *testing.T, w *storeContent, ids ...model.InstanceID) fakePeers {
	t.Helper()
	return startCells(t, w, len(ids), ids...)
}

// startCells starts instances in cells of the given size.
func startCells(t *testing.T, w *storeContent, size int, ids ...model.InstanceID) fakePeers {
	t.Helper()
	return startCellsWithin(w, size, defaultLeaveTimeout, ids...)
}

// startCellsWithin starts instances in cells of the given size that have the given bound
// for leaving upstreams.
func startCellsWithin(w *storeContent, size int, leaveTimeout time.Duration, ids ...model.InstanceID) fakePeers {
	c := fakePeers{}
	for i, id := range ids {
		w.instances = append(w.instances, model.Instance{ID: id, Incarnation: uint64(i + 1), State: model.InstanceLive})
	}
	for _, self := range w.instances {
		c[self.ID] = newMemberWithin(w, c, size, leaveTimeout, self)
	}
	for _, m := range c {
		m.Start()
	}
	return c
}

// defaultLeaveTimeout is the bound for leaving upstreams in most tests.
const defaultLeaveTimeout = 2 * time.Second

// newMember returns an instance that has not been started.
func newMember(w *storeContent, c fakePeers, size int, self model.Instance) *member {
	return newMemberWithin(w, c, size, defaultLeaveTimeout, self)
}

func newMemberWithin(w *storeContent, c fakePeers, size int, leaveTimeout time.Duration, self model.Instance) *member {
	m := &member{
		store:      &fakeStore{content: w},
		rulesTable: rules.NewTable(),
		upstreams:  upstream.NewTable(),
		pool:       worker.NewPool(worker.Options{Workers: 1}),
	}
	instances := instance.NewTable()
	m.Manager = New(Options{
		Pool:            m.pool,
		Store:           m.store,
		Peers:           c,
		Self:            self,
		Rules:           m.rulesTable,
		Upstreams:       m.upstreams,
		Instances:       instances,
		Moves:           move.NewTable(),
		OnVersionOrders: func([]model.VersionOrder) {},
		Members: func() []model.Instance {
			for part := range slices.Chunk(instances.All(), size) {
				if slices.ContainsFunc(part, func(in model.Instance) bool { return in.ID == self.ID }) {
					return part
				}
			}
			return nil
		},
		LeaveTimeout:    leaveTimeout,
		RenewInterval:   1200 * time.Millisecond,
		OnInstanceCount: func(int) {},
		Log:             &log.Logger{Handler: discard.Default},
	})
	return m
}

func (c fakePeers) close() {
	for _, m := range c {
		m.pool.Close()
	}
}

func entryOf(id model.UpstreamID, leaving bool, sequence uint64) Entry {
	return Entry{Upstream: model.Upstream{ID: id, Address: string(id), Serves: "s"}, Sequence: sequence, Leaving: leaving}
}

func newStoreContent() *storeContent {
	return &storeContent{
		revision: 10,
		rules:    &model.RoutingRules{Revision: 1},
		entries:  map[model.UpstreamID]Entry{"u1": entryOf("u1", false, 1), "u2": entryOf("u2", false, 1)},
	}
}

// inEachPhase runs the test on cells of the given size, at ten times that are step apart,
// because what an instance notices depends on the time since its last poll.
func inEachPhase(t *testing.T, step time.Duration, size int, ids []model.InstanceID, run func(t *testing.T, w *storeContent, c fakePeers, phase int)) {
	t.Helper()
	inEachPhaseWithin(t, defaultLeaveTimeout, step, size, ids, run)
}

// inEachPhaseWithin is inEachPhase with the given bound for leaving upstreams.
func inEachPhaseWithin(t *testing.T, leaveTimeout, step time.Duration, size int, ids []model.InstanceID, run func(t *testing.T, w *storeContent, c fakePeers, phase int)) {
	t.Helper()
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreContent()
			c := startCellsWithin(w, size, leaveTimeout, ids...)
			defer c.close()
			time.Sleep(5*time.Second + time.Duration(phase)*step)
			run(t, w, c, phase)
		})
	}
}
