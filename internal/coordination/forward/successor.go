package forward

import "github.com/sequoiavalve/sequoiavalve/internal/state/model"

// findSuccessor probes the upstream that now has the address of a lost engine. An
// engine that restarted has a new ID. The store announces the new ID, but not during
// an outage of the store. Only engines answer probes, so if all engines belong to
// one service, an upstream that answers belongs to the lost engine's service.
func (m *Manager) findSuccessor(lost model.Upstream, service model.BackendService, id model.UpstreamID) {
	if id == "" || service.Engine == nil || !m.hasOnlyEngineService(service.Name) {
		return
	}
	successor := lost
	successor.ID = id
	m.opts.Sender.Probe(successor, probeTimeout, func(_ EngineState, err error) {
		if err == nil {
			m.opts.SuccessorFound(successor)
		}
	})
}

// hasOnlyEngineService reports whether no service other than the named one has engines.
func (m *Manager) hasOnlyEngineService(name string) bool {
	for _, s := range m.opts.Rules.Current().Services {
		if s.Engine != nil && s.Name != name {
			return false
		}
	}
	return true
}
