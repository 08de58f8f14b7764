package main

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/admission"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/membership"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/routing"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/suspicion"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	callstate "github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/evidence"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/organisation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/prefix"
	"github.com/sequoiavalve/sequoiavalve/internal/state/stop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peerlink"
)

// tables are the shared tables of the process.
type tables struct {
	documents     *document.Table
	instances     *instance.Table
	upstreams     *upstream.Table
	prefixes      *prefix.Table
	stops         *stop.Table
	evidence      *evidence.Table
	organisations *organisation.Table
	suspects      *suspect.Table
	generations   *generation.Table
	calls         *callstate.Table
	directory     *membership.Directory
}

func newTables(self model.InstanceID) *tables {
	instances := instance.NewTable()
	return &tables{
		documents:     document.NewTable(),
		instances:     instances,
		upstreams:     upstream.NewTable(),
		prefixes:      prefix.NewTable(),
		stops:         stop.NewTable(),
		evidence:      evidence.NewTable(),
		organisations: organisation.NewTable(),
		suspects:      suspect.NewTable(self),
		generations:   generation.NewTable(),
		calls:         callstate.NewTable(),
		directory:     membership.NewDirectory(instances),
	}
}

// viewTables returns the tables that the views of the control process fill.
func (t *tables) viewTables() view.Tables {
	return view.Tables{
		Documents: t.documents,
		Instances: t.instances,
		Upstreams: t.upstreams,
		Stops:     t.stops,
		Suspects:  t.suspects,
		Directory: t.directory,
	}
}

// admitter adapts the admission manager to the relay.
type admitter struct{ manager *admission.Manager }

func (a admitter) Enter(spec model.GenerationSpec, admitted func(*model.Refusal)) {
	a.manager.Enter(admission.Request{
		ID:           spec.Request,
		Serves:       spec.Model,
		Organisation: spec.Organisation,
		Priority:     spec.Priority,
		Deadline:     spec.Deadline,
	}, admitted)
}

func (a admitter) Leave(id model.RequestID) { a.manager.Leave(id) }

// capacity returns the number of generations that this instance may run now.
func (e *entry) capacity(serves string) int {
	live := 0
	for _, in := range e.tables.instances.All() {
		if in.State == model.InstanceLive {
			live++
		}
	}
	slots := routing.Capacity(e.tables.upstreams.CountUsable(serves, time.Now()), live)
	return min(slots, e.settings.Limits.MaxStreams)
}

// stopAnnounced reports whether the engine announced that it would stop.
func (e *entry) stopAnnounced(id model.UpstreamID, incarnation uint64) bool {
	row, ok := e.tables.upstreams.Get(id)
	return ok && row.Report.Health == upstream.HealthLeaving && row.Report.Incarnation == incarnation
}

// permitIssuers returns a function that lists the instances which grant permits
// for a fingerprint, in the order in which they are asked.
func (e *entry) permitIssuers(client *peerlink.Client, localManager *suspicion.Manager) func(suspect.Fingerprint) []suspicion.PermitIssuer {
	return func(fp suspect.Fingerprint) []suspicion.PermitIssuer {
		return suspicion.PermitIssuers(fp, e.tables.instances.All(), func(in model.Instance) suspicion.PermitIssuer {
			if in.ID == e.settings.Instance {
				return suspicion.LocalPermitIssuer{Manager: localManager}
			}
			return client.Gate(in)
		})
	}
}

// observe counts one request as evidence on the version that served it.
func (e *entry) observe(up model.Upstream, route string, o evidence.Observation) {
	version := model.VersionKey{Serves: up.Serves, Version: up.Version}
	e.tables.evidence.Observe(evidence.Key{
		Instance: e.settings.Instance,
		Version:  version,
		Route:    route,
		Minute:   time.Now().Unix() / 60,
	}, o)
	e.detector.Observe(version, route, o.Failed)
}

// logStop logs that the detector stopped a version on this instance's own
// evidence. The reporter sends the stop to the control process.
func (e *entry) logStop(s model.Stop) {
	e.log.WithField("version", s.Key.Version).WithField("serves", s.Key.Serves).
		WithField("reason", s.Reason).Error("version gets no new work")
}

// pickService returns the function that chooses an upstream for a call.
func pickService(router *routing.Router, upstreams *upstream.Table) func(call.Request) (model.Upstream, bool) {
	return func(req call.Request) (model.Upstream, bool) {
		up, _, ok := router.Pick(routing.Placement{
			Serves:  req.Service,
			Version: router.ChooseVersion(req.Service, req.ID),
			Now:     time.Now(),
			Exclude: func(id model.UpstreamID) bool { return slices.Contains(req.Tried, id) },
		})
		if ok {
			// Pick counts the call as in flight, but the call manager does not
			// report when it ends. Calls are short, so it is released at once.
			upstreams.Release(up.ID)
		}
		return up, ok
	}
}

// endpoints answers which instances callers should use.
type endpoints struct {
	directory *membership.Directory
	self      model.InstanceID
	draining  *atomic.Bool
}

// Endpoints implements callers.Endpoints. While this instance drains it leaves
// itself out, as the directory may not show yet that it does.
func (e endpoints) Endpoints(callerKey string, now time.Time) ([]model.Instance, time.Duration) {
	answer := e.directory.Endpoints(callerKey, now)
	if !e.draining.Load() {
		return answer.Instances, answer.TTL
	}
	remaining := slices.DeleteFunc(answer.Instances, func(in model.Instance) bool { return in.ID == e.self })
	return remaining, answer.TTL
}
