// Package exchange sends this instance's work in flight to the other instances of
// its cell, and receives theirs.
//
// Placements take the work of all instances into account: instances that saw only
// their own work would all send their requests to the same upstreams. An instance
// sends its state soon after a change, and also at a fixed interval, which serves
// as the heartbeat. Each message holds the full state and a sequence number, so a
// lost message does no harm. The package must not decide where work goes.
package exchange

import (
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/resend"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/commitment"
	"github.com/sequoiavalve/sequoiavalve/internal/state/demand"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/location"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/move"
	"github.com/sequoiavalve/sequoiavalve/internal/state/outcome"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// State is the state that an instance sends to the others.
type State struct {
	Instance    model.InstanceID
	Incarnation uint64
	Sequence    uint64 // rises with each state of an incarnation
	Leaving     bool   // takes no further callers
	Work        map[model.UpstreamID]commitment.Work
	Parts       map[string]model.UpstreamID        // upstreams of recently placed prompts, by the prompt's last part
	Failed      map[model.UpstreamID]time.Duration // time since the instance failed to connect
	MoveCounts  []move.Row                         // counts for the open version moves
	Outcomes    map[model.UpstreamID]outcome.Tally // of upstreams with recent bad outcomes
	Left        map[model.UpstreamID]uint64        // incarnations of upstreams that said that they leave
	Resends     resend.Balances                    // resends that the instance has saved
	// Demand is what the instance's callers ask, by service. It is nil in the states that
	// are sent because of a change.
	Demand map[string]demand.Demand
	// OtherCells are the summaries of the other cells, which only the first member of a
	// cell sends.
	OtherCells []demand.Summary
}

// CellDemand is the summary that the first member of a cell sends to those of the others.
type CellDemand struct {
	Instance model.InstanceID
	Cell     string
	Summary  demand.Summary
}

// MoveCounts are an instance's counts for the open version moves.
type MoveCounts struct {
	Instance model.InstanceID
	Rows     []move.Row
}

// Link sends states. Its methods do not block; a state may be lost.
type Link interface {
	Send(to model.Instance, s State)
	// SendMoveCounts sends counts, which may be lost.
	SendMoveCounts(to model.Instance, c MoveCounts)
	// SendCellDemand sends the summary of a cell, which may be lost.
	SendCellDemand(to []model.Instance, c CellDemand)
	// SendSuspects sends rows, which may be lost.
	SendSuspects(to []model.Instance, rows suspect.Rows)
	// ExchangeSuspects sends rows to an instance and calls received with the rows of
	// that instance, unless it does not answer.
	ExchangeSuspects(with model.Instance, rows suspect.Rows, received func(suspect.Rows))
}

const (
	// coalesceTime is the delay before a changed state is sent, so that changes in
	// quick succession are sent as one state.
	coalesceTime = 5 * time.Millisecond
	// heartbeatInterval is the time between the states that are sent without a
	// change.
	heartbeatInterval = time.Second
	// silentAfter is the time without a state from an instance after which the
	// instance is suspected. It allows for two lost heartbeats and the delivery of
	// the next one.
	silentAfter = 2500 * time.Millisecond
)

// failureTTL is how long a connection failure is sent. By then the other instances
// have received the failure or have failed to connect themselves.
const failureTTL = time.Second

// leftTTL is how long it is sent that an upstream leaves. The store has it by then.
const leftTTL = 3 * time.Second

// partTTL is how long a placed prompt is sent. It is longer than
// heartbeatInterval, so that each prompt is in at least one heartbeat.
const partTTL = 1200 * time.Millisecond

const key worker.Key = "exchange"

// Options configure a Manager.
type Options struct {
	Pool        *worker.Pool
	Self        model.Instance
	Instances   *instance.Table
	Members     func() []model.Instance // of this instance's cell
	OtherFirsts func() []model.Instance // first live members of the other cells
	CellName    func() string
	Commitments *commitment.Table
	Upstreams   *upstream.Table
	Locations   *location.Table
	Outcomes    *outcome.Table
	Moves       *move.Table
	Suspects    *suspect.Table
	Demand      *demand.Table
	Resends     *resend.Budgets
	// Judge returns the instance that judges version moves, and false if it is not
	// known.
	Judge func() (model.Instance, bool)
	Link  Link
	Log   log.Interface
}

// Manager exchanges states. The fields below opts are used only by items under key.
type Manager struct {
	opts            Options
	sequence        uint64
	leaving         bool
	sendScheduled   bool // a state is about to be sent
	peers           map[model.InstanceID]peerState
	connectFailures map[model.UpstreamID]time.Time // last connection failure of this instance to each upstream
	leftUpstreams   map[model.UpstreamID]leftUpstream
	suspectsAnswers int // instances that have answered with their suspects
}

// peerState identifies the newest state received from another instance.
type peerState struct {
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	silent      bool // logged as silent
}

// leftUpstream is an upstream that said to this instance that it leaves.
type leftUpstream struct {
	incarnation uint64
	at          time.Time
}

// New returns a Manager; sending begins with Start.
func New(opts Options) *Manager {
	opts.Log = opts.Log.WithField("part", "exchange")
	return &Manager{opts: opts, peers: map[model.InstanceID]peerState{}, connectFailures: map[model.UpstreamID]time.Time{}, leftUpstreams: map[model.UpstreamID]leftUpstream{}}
}

// Start begins to send states.
func (m *Manager) Start() {
	m.opts.Pool.Post(key, worker.Func(m.heartbeat))
	m.opts.Pool.Post(key, worker.Func(m.reportCellDemand))
}

// StateChanged reports that this instance's work or its outcomes changed, so that the
// state is sent soon. It may be called by items of any key.
func (m *Manager) StateChanged() {
	m.opts.Pool.Post(key, worker.Func(m.sendSoon))
}

// ConnectionFailed reports that this instance failed to connect to an upstream.
func (m *Manager) ConnectionFailed(id model.UpstreamID, at time.Time) {
	m.opts.Pool.Post(key, worker.Func(func() {
		m.connectFailures[id] = at
		m.sendSoon()
	}))
}

// UpstreamLeft reports that an upstream said to this instance that it leaves.
func (m *Manager) UpstreamLeft(id model.UpstreamID) {
	row, _ := m.opts.Upstreams.Get(id)
	m.opts.Pool.Post(key, worker.Func(func() {
		m.leftUpstreams[id] = leftUpstream{row.Report.Incarnation, time.Now()}
		m.sendSoon()
	}))
}

func (m *Manager) sendSoon() {
	if m.sendScheduled {
		return
	}
	m.sendScheduled = true
	m.opts.Pool.After(coalesceTime, key, worker.Func(m.send))
}

// Leave tells the others that this instance takes no further callers.
func (m *Manager) Leave() {
	m.opts.Pool.Post(key, worker.Func(func() {
		m.leaving = true
		m.send()
	}))
}

// heartbeat sends a state, marks silent instances and schedules the next
// heartbeat.
func (m *Manager) heartbeat() {
	m.sendState(true)
	m.sendMoveCounts()
	m.markSilent(time.Now())
	m.opts.Pool.After(heartbeatInterval, key, worker.Func(m.heartbeat))
}

func (m *Manager) send() { m.sendState(false) }

// sendState sends the state to the cell, with the demand if it is a heartbeat. The states
// between heartbeats are up to 200/s under load, and stay small without it.
func (m *Manager) sendState(heartbeat bool) {
	m.sendScheduled = false
	m.sequence++
	self, found := m.opts.Instances.Get(m.opts.Self.ID)
	if !found {
		self = m.opts.Self
	}
	s := State{
		Instance:    self.ID,
		Incarnation: self.Incarnation,
		Sequence:    m.sequence,
		Leaving:     m.leaving,
		Work:        m.opts.Commitments.Local(),
		Parts:       m.opts.Locations.LocalSince(time.Now().Add(-partTTL)),
		Failed:      m.failureAges(time.Now()),
		Outcomes:    m.opts.Outcomes.LocalReport(time.Now()),
		MoveCounts:  m.opts.Moves.LocalRows(),
		Left:        m.recentlyLeft(time.Now()),
		Resends:     m.opts.Resends.Balances(),
	}
	if heartbeat {
		s.Demand, s.OtherCells = m.heartbeatDemand(time.Now())
	}
	for _, in := range m.reachable(m.opts.Members()) {
		m.opts.Link.Send(in, s)
	}
}

// sendMoveCounts sends the counts for open version moves to the judge if that is in
// another cell: a bad version must be found before all cells together have sent it
// more requests than it may get.
func (m *Manager) sendMoveCounts() {
	rows := m.opts.Moves.LocalRows()
	judge, known := m.opts.Judge()
	if len(rows) == 0 || !known || judge.ID == m.opts.Self.ID {
		return
	}
	for _, in := range m.opts.Members() {
		if in.ID == judge.ID {
			return // the judge gets them with the state
		}
	}
	m.opts.Link.SendMoveCounts(judge, MoveCounts{Instance: m.opts.Self.ID, Rows: rows})
}

// ReceiveMoveCounts applies another instance's counts for the open version moves. It
// may be called from any goroutine.
func (m *Manager) ReceiveMoveCounts(c MoveCounts) { m.opts.Moves.SetRemote(c.Instance, c.Rows) }

// failureAges returns the ages of the failures that are still to be sent, and
// drops the others.
func (m *Manager) failureAges(now time.Time) map[model.UpstreamID]time.Duration {
	ages := make(map[model.UpstreamID]time.Duration, len(m.connectFailures))
	for id, at := range m.connectFailures {
		if now.Sub(at) > failureTTL {
			delete(m.connectFailures, id)
			continue
		}
		ages[id] = now.Sub(at)
	}
	return ages
}

// recentlyLeft returns the upstreams whose leaving is still to be sent, and drops the
// others.
func (m *Manager) recentlyLeft(now time.Time) map[model.UpstreamID]uint64 {
	left := make(map[model.UpstreamID]uint64, len(m.leftUpstreams))
	for id, l := range m.leftUpstreams {
		if now.Sub(l.at) > leftTTL {
			delete(m.leftUpstreams, id)
			continue
		}
		left[id] = l.incarnation
	}
	return left
}

// Receive applies another instance's state.
func (m *Manager) Receive(s State) {
	m.opts.Pool.Post(key, worker.Func(func() { m.receive(s, time.Now()) }))
}

func (m *Manager) receive(s State, now time.Time) {
	old, known := m.peers[s.Instance]
	if known && !isNewer(s, old) {
		return
	}
	m.peers[s.Instance] = peerState{incarnation: s.Incarnation, sequence: s.Sequence, receivedAt: now}
	if !known || old.silent || old.incarnation != s.Incarnation {
		m.opts.Log.WithField("instance", string(s.Instance)).WithField("incarnation", s.Incarnation).Info("instance is heard")
	}
	m.opts.Commitments.SetRemote(s.Instance, s.Work, now)
	m.opts.Outcomes.SetRemote(s.Instance, s.Outcomes, now)
	m.opts.Moves.SetRemote(s.Instance, s.MoveCounts)
	m.opts.Resends.SetRemote(s.Instance, s.Resends, now)
	m.receiveDemand(s, now)
	for part, up := range s.Parts {
		m.opts.Locations.SetRemote(part, up, now)
	}
	for id, incarnation := range s.Left {
		if row, known := m.opts.Upstreams.Get(id); known && row.Report.Incarnation == incarnation && m.opts.Upstreams.Leave(id) {
			m.opts.Log.WithField("upstream", string(id)).WithField("source", string(s.Instance)).Info("upstream leaves")
		}
	}
	for id, age := range s.Failed {
		at := now.Add(-age)
		m.opts.Upstreams.RecordFailure(id, at, at.Add(failureTTL))
	}
	in, found := m.opts.Instances.Get(s.Instance)
	if found && (!known || old.incarnation != s.Incarnation) {
		m.exchangeSuspects(in)
	}
	if !found || in.Incarnation != s.Incarnation {
		return
	}
	switch {
	case s.Leaving && in.State != model.InstanceLeaving:
		in.State = model.InstanceLeaving
		m.opts.Instances.Merge(in)
	case in.State == model.InstanceSuspected:
		m.opts.Instances.Restore(in.ID, in.Incarnation)
	}
}

func isNewer(s State, old peerState) bool {
	if s.Incarnation != old.incarnation {
		return s.Incarnation > old.incarnation
	}
	return s.Sequence > old.sequence
}

// markSilent marks as suspected the instances whose states have stopped arriving.
func (m *Manager) markSilent(now time.Time) {
	for id, peer := range m.peers {
		if peer.silent || now.Sub(peer.receivedAt) < silentAfter {
			continue
		}
		peer.silent = true
		m.peers[id] = peer
		m.opts.Log.WithField("instance", string(id)).WithField("silent_ms", now.Sub(peer.receivedAt).Milliseconds()).Warn("instance is silent")
		if in, found := m.opts.Instances.Get(id); found && in.Incarnation == peer.incarnation && in.State == model.InstanceLive {
			in.State = model.InstanceSuspected
			m.opts.Instances.Merge(in)
		}
	}
}
