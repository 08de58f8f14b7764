// Package suspicion keeps requests that kill engines from doing so more than
// three times, without refusing requests that ran beside them.
package suspicion

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// CodeKillsEngines is the code of the refusal of a request that killed three
// engines, or waited in vain for its last run.
const CodeKillsEngines = "request_kills_engines"

// Gate asks an instance for a fingerprint's last run. After an error the
// permit may have been granted; the same holder may ask again.
type Gate interface {
	Permit(ctx context.Context, fp suspect.Fingerprint, holder suspect.Holder) (bool, error)
}

// Options configure a Manager. All fields are required except Planned.
type Options struct {
	Pool     *worker.Pool
	Suspects *suspect.Table
	// Gates returns the live instances in rendezvous order of the fingerprint,
	// this one included.
	Gates func(fp suspect.Fingerprint) []Gate
	// Planned reports whether the engine was told to stop or announced that it
	// leaves. Such an end is no death.
	Planned func(upstream model.UpstreamID, incarnation uint64) bool
}

// Manager judges requests and places suspects.
type Manager struct {
	Options
}

// New returns a Manager.
func New(opts Options) *Manager {
	if opts.Planned == nil {
		opts.Planned = func(model.UpstreamID, uint64) bool { return false }
	}
	return &Manager{Options: opts}
}

// Running is a request on an engine and the tokens that it has produced.
type Running struct {
	Fingerprint suspect.Fingerprint
	Position    int
}

// Check returns the verdict on a fingerprint.
func (m *Manager) Check(fp suspect.Fingerprint) Verdict {
	deaths, _ := m.Suspects.Count(fp, time.Now())
	return verdict(deaths)
}

// EngineDied records the death of an engine with the requests that this
// instance ran on it. incarnation is the one that these attempts ran on; all
// instances must name the same, since a death counts once for each.
func (m *Manager) EngineDied(upstream model.UpstreamID, incarnation uint64, running []Running) {
	if m.Planned(upstream, incarnation) {
		return
	}
	now := time.Now()
	var rows suspect.Rows
	for _, r := range running {
		rows.Deaths = append(rows.Deaths, suspect.Death{
			ID:          suspect.DeathID{Upstream: upstream, Incarnation: incarnation},
			Fingerprint: r.Fingerprint,
			Position:    r.Position,
			At:          now,
		})
	}
	m.Suspects.Merge(rows, now)
}

// Progressed clears the fingerprint if the position is beyond its deaths.
func (m *Manager) Progressed(fp suspect.Fingerprint, position int) {
	m.Suspects.Progress(fp, position, false, time.Now())
}

// Finished clears the fingerprint.
func (m *Manager) Finished(fp suspect.Fingerprint) {
	m.Suspects.Progress(fp, 0, true, time.Now())
}

// Started counts an attempt, of a suspect or not. Until Stopped, repeats of
// the fingerprint on this instance go to the same engine.
func (m *Manager) Started(fp suspect.Fingerprint, upstream model.UpstreamID) {
	m.Suspects.Started(fp, upstream, time.Now())
}

// Unused takes a placement back for which no attempt was started. A permit
// that it holds becomes free.
func (m *Manager) Unused(fp suspect.Fingerprint, where Placement) {
	if where.Upstream != "" {
		m.Suspects.Unused(fp, where.Upstream, where.permit, time.Now())
	}
}

// Stopped ends an attempt, however it ended.
func (m *Manager) Stopped(fp suspect.Fingerprint, upstream model.UpstreamID) {
	m.Suspects.Stopped(fp, upstream, time.Now())
}

// Occupied returns the engines on which a suspect runs. Requests that are free
// should go elsewhere as far as possible.
func (m *Manager) Occupied() map[model.UpstreamID]bool {
	occupied := map[model.UpstreamID]bool{}
	for _, h := range m.Suspects.Hosts(time.Now()) {
		occupied[h.ID.Upstream] = true
	}
	return occupied
}

// lastChances returns the running fingerprints that one more death refuses.
func (m *Manager) lastChances() map[suspect.Fingerprint]bool {
	last := map[suspect.Fingerprint]bool{}
	for _, h := range m.Suspects.Hosts(time.Now()) {
		last[h.ID.Fingerprint] = m.Check(h.ID.Fingerprint) == NeedsPermit
	}
	return last
}

// Explained reports whether a request that died there has died elsewhere too,
// so that the death does not count against the engine's version.
func (m *Manager) Explained(upstream model.UpstreamID, incarnation uint64) bool {
	list := m.Suspects.Among(suspect.DeathID{Upstream: upstream, Incarnation: incarnation})
	return slices.ContainsFunc(list, func(fp suspect.Fingerprint) bool { return m.Check(fp) >= NeedsPermit })
}

// Grant is the gate's side: it gives a fingerprint's permit to one holder, as
// often as that one asks, and to no second one until it is given back.
func (m *Manager) Grant(fp suspect.Fingerprint, holder suspect.Holder) bool {
	if m.Check(fp) == Refused {
		return false
	}
	return m.Suspects.Grant(fp, holder, time.Now())
}
