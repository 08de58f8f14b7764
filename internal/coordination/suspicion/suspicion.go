// Package suspicion limits to three the engines that one request can kill, without
// refusing the requests that ran on the same engines. A suspect is a request, named
// by its fingerprint, that ran on an engine when its process died. A first death
// places it in quarantine. After the second death it needs a permit for one more
// run, which a permit issuer grants to one holder at a time. After the third it is refused.
package suspicion

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// CodeKillsEngines is the refusal code of a request that killed three engines, or
// found no engine that its verdict allows before its deadline.
const CodeKillsEngines = "request_kills_engines"

// PermitIssuer requests from an instance the permit for the last run of a fingerprint.
// After an error the permit may have been granted, and the same holder may ask
// again.
type PermitIssuer interface {
	RequestPermit(ctx context.Context, fp suspect.Fingerprint, holder suspect.Holder) (bool, error)
}

// Options configure a Manager. All fields are required except PlannedShutdown.
type Options struct {
	Pool     *worker.Pool
	Suspects *suspect.Table
	// PermitIssuers returns the permit issuers of the live instances, including this one, in the
	// order of their rendezvous hash with the fingerprint.
	PermitIssuers func(fp suspect.Fingerprint) []PermitIssuer
	// PlannedShutdown reports whether the engine was ordered to stop or announced its
	// shutdown. Such an end does not count as a death.
	PlannedShutdown func(upstream model.UpstreamID, incarnation uint64) bool
}

// Manager counts engine deaths against requests and places suspects on engines.
type Manager struct {
	Options
}

// New returns a Manager.
func New(opts Options) *Manager {
	if opts.PlannedShutdown == nil {
		opts.PlannedShutdown = func(model.UpstreamID, uint64) bool { return false }
	}
	return &Manager{Options: opts}
}

// Running is a request that runs on an engine.
type Running struct {
	Fingerprint suspect.Fingerprint
	Position    int // number of tokens produced
}

// Check returns the verdict for a fingerprint.
func (m *Manager) Check(fp suspect.Fingerprint) Verdict {
	deaths, _ := m.Suspects.CountDeaths(fp, time.Now())
	return verdictFor(deaths)
}

// EngineDied records the death of an engine and the requests that this instance
// ran on it. incarnation is the incarnation of the engine that the attempts ran
// on. All instances must report the same one for a death, since each incarnation
// counts as one death.
func (m *Manager) EngineDied(upstream model.UpstreamID, incarnation uint64, running []Running) {
	if m.PlannedShutdown(upstream, incarnation) {
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

// RecordProgress removes the suspicion from the fingerprint if position is greater
// than every position at which an engine died while running it.
func (m *Manager) RecordProgress(fp suspect.Fingerprint, position int) {
	m.Suspects.RecordProgress(fp, position, false, time.Now())
}

// Finished removes the suspicion from the fingerprint.
func (m *Manager) Finished(fp suspect.Fingerprint) {
	m.Suspects.RecordProgress(fp, 0, true, time.Now())
}

// AttemptStarted records the start of an attempt, whether or not the fingerprint is a
// suspect. Until Stopped is called, this instance places repeats of the
// fingerprint on the same engine.
func (m *Manager) AttemptStarted(fp suspect.Fingerprint, upstream model.UpstreamID) {
	m.Suspects.AttemptStarted(fp, upstream, time.Now())
}

// ReleasePlacement releases a placement for which no attempt was started, with its permit
// if it has one.
func (m *Manager) ReleasePlacement(fp suspect.Fingerprint, where Placement) {
	if where.Upstream != "" {
		m.Suspects.CancelClaim(fp, where.Upstream, where.permit, time.Now())
	}
}

// AttemptStopped records the end of an attempt, whatever its result.
func (m *Manager) AttemptStopped(fp suspect.Fingerprint, upstream model.UpstreamID) {
	m.Suspects.AttemptStopped(fp, upstream, time.Now())
}

// EnginesRunningSuspects returns the engines that run a suspect. Requests with the verdict
// Unrestricted should run on other engines where possible.
func (m *Manager) EnginesRunningSuspects() map[model.UpstreamID]bool {
	occupied := map[model.UpstreamID]bool{}
	for _, h := range m.Suspects.Hosts(time.Now()) {
		occupied[h.ID.Upstream] = true
	}
	return occupied
}

// nearRefusal returns the running fingerprints that are refused after one more
// death.
func (m *Manager) nearRefusal() map[suspect.Fingerprint]bool {
	near := map[suspect.Fingerprint]bool{}
	for _, h := range m.Suspects.Hosts(time.Now()) {
		near[h.ID.Fingerprint] = m.Check(h.ID.Fingerprint) == NeedsPermit
	}
	return near
}

// ExplainedBySuspect reports whether a request that ran on the engine when it died also ran
// in another engine death. That request explains the death, which therefore does
// not count against the engine's version.
func (m *Manager) ExplainedBySuspect(upstream model.UpstreamID, incarnation uint64) bool {
	list := m.Suspects.FingerprintsOf(suspect.DeathID{Upstream: upstream, Incarnation: incarnation})
	return slices.ContainsFunc(list, func(fp suspect.Fingerprint) bool { return m.Check(fp) >= NeedsPermit })
}

// GrantPermit implements the permit issuer of this instance. It grants the permit for a
// fingerprint to one holder, again each time that this holder asks, and to no
// other holder until the permit is released.
func (m *Manager) GrantPermit(fp suspect.Fingerprint, holder suspect.Holder) bool {
	if m.Check(fp) == Refused {
		return false
	}
	return m.Suspects.Grant(fp, holder, time.Now())
}
