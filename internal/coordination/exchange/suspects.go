package exchange

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// firstSuspectExchanges is the number of instances that a started instance asks for
// what they know of crashes. More than one, as some may have just started too.
const firstSuspectExchanges = 3

// PublishSuspects sends rows about requests that crash upstreams to the cell. widely says
// that all instances get them: the first members of the other cells do, and pass them on
// to theirs. A message to each of them would need a connection to each, which is more
// than a small instance can open when an outage ends many upstreams.
func (m *Manager) PublishSuspects(rows suspect.Rows, widely bool) {
	m.opts.Pool.Post(key, worker.Func(func() {
		to := m.reachable(m.opts.Members())
		if widely {
			to = append(to, m.reachable(m.opts.OtherFirsts())...)
		}
		m.opts.Link.SendSuspects(to, rows)
	}))
}

// ReceiveSuspects merges the rows of another instance. Rows of another cell that are new
// here are passed on to the cell.
func (m *Manager) ReceiveSuspects(from model.InstanceID, rows suspect.Rows) {
	m.opts.Pool.Post(key, worker.Func(func() {
		isNew := m.opts.Suspects.Merge(rows, time.Now())
		members := m.opts.Members()
		if isNew && !slices.ContainsFunc(members, func(in model.Instance) bool { return in.ID == from }) {
			m.opts.Link.SendSuspects(m.reachable(members), rows)
		}
	}))
}

// reachable returns the other instances of a list that can be sent messages.
func (m *Manager) reachable(list []model.Instance) []model.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in model.Instance) bool {
		return in.ID == m.opts.Self.ID || in.State == model.InstanceDead || in.ControlAddress == ""
	})
}

// exchangeSuspects exchanges what this instance and one that has just been heard know
// of requests that crash upstreams. Those rows are sent only when they change, so a
// started instance has missed the earlier ones.
func (m *Manager) exchangeSuspects(with model.Instance) {
	rows := m.opts.Suspects.Snapshot(time.Now())
	if rows.Empty() && m.suspectsAnswers >= firstSuspectExchanges {
		return
	}
	m.opts.Link.ExchangeSuspects(with, rows, func(got suspect.Rows) {
		m.opts.Pool.Post(key, worker.Func(func() {
			m.suspectsAnswers++
			m.opts.Suspects.Merge(got, time.Now())
		}))
	})
}
