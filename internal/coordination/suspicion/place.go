package suspicion

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

const (
	permitTimeout = 500 * time.Millisecond // for the answer of one permit issuer
	// claimSettleTime is the wait between a claim and the run under it. It is twice
	// the time in which gossip reaches all instances (1 s): the claim reaches the
	// other instances, and their conflicting claims reach this one.
	claimSettleTime = 2 * time.Second
	retryInterval   = 200 * time.Millisecond
	// quarantineWait limits the wait for an engine without a suspect. Other
	// suspects are cleared after a prefill and one token, and output must resume
	// within 5 s.
	quarantineWait = time.Second
	// clearMarkWait is the time in which gossip reaches all instances. A refusal
	// waits for it, as another instance may have cleared the fingerprint.
	clearMarkWait = time.Second
	// nearRefusalWait limits the wait for an engine that runs no suspect with two
	// deaths. A prefill after it still fits the 5 s within which output must resume.
	nearRefusalWait     = 4 * time.Second
	defaultPlaceTimeout = 30 * time.Second // for a request without a deadline
)

// PlaceRequest asks where a request may run.
type PlaceRequest struct {
	ID          model.RequestID
	Fingerprint suspect.Fingerprint
	// Engines returns the engines that may take the request now. It is called
	// again after each wait, without a lock held.
	Engines        func() []model.UpstreamID
	Deadline       time.Time // latest time for the placement; zero means 30 s from now
	HandedToEngine bool      // an attempt of this request was already handed to an engine
}

// Placement says on which engine a request may run.
type Placement struct {
	Upstream  model.UpstreamID // empty: any engine, see Manager.EnginesRunningSuspects
	Exclusive bool             // no other request should be sent to the engine during the run
	permit    suspect.Holder   // zero if the run has no permit of its own
}

// pendingPlacement is a request that waits for an engine. Its fields are accessed
// only on a worker under the request's key.
type pendingPlacement struct {
	m            *Manager
	req          PlaceRequest
	started      time.Time
	holder       suspect.Holder // in whose name the permit is requested
	permit       bool           // a permit issuer has granted the permit to the holder
	maybeGranted bool           // a permit issuer did not answer and may have granted the permit
	refusedSince time.Time      // when the verdict became Refused; zero for any other verdict
	then         func(Placement, *model.Refusal)
}

// Place finds an engine for a request before each attempt. It calls then once, on
// a worker under the request's key. Unless the request is refused, then must call
// either Unused, or Started followed by Stopped when the attempt ends.
func (m *Manager) Place(req PlaceRequest, then func(Placement, *model.Refusal)) {
	p := &pendingPlacement{m: m, req: req, started: time.Now(), then: then}
	p.newHolder()
	if req.Deadline.IsZero() {
		p.req.Deadline = p.started.Add(defaultPlaceTimeout)
	}
	m.Pool.Post(worker.Key(req.ID), worker.Func(p.step))
}

// step acts on the current verdict, which may change while the request waits.
func (p *pendingPlacement) step() {
	v := p.m.Check(p.req.Fingerprint)
	if v != NeedsPermit {
		p.releasePermit()
	}
	if v != Unrestricted && time.Now().After(p.req.Deadline) {
		p.releasePermit()
		p.refuse()
		return
	}
	if v == Refused {
		p.refuseAfterWait()
		return
	}
	p.refusedSince = time.Time{}
	if upstream, ok := p.currentEngine(); ok {
		p.releasePermit()
		p.then(Placement{Upstream: upstream}, nil)
		return
	}
	switch {
	case v == Unrestricted:
		p.then(Placement{}, nil)
	case v == Quarantine:
		p.placeInQuarantine()
	case p.permit:
		p.claimEngine()
	default:
		p.requestPermit(p.m.PermitIssuers(p.req.Fingerprint))
	}
}

// refuseAfterWait refuses the request after clearMarkWait, when a clear mark set
// on another instance would have arrived.
func (p *pendingPlacement) refuseAfterWait() {
	now := time.Now()
	if p.refusedSince.IsZero() {
		p.refusedSince = now
	}
	if left := clearMarkWait - now.Sub(p.refusedSince); left > 0 {
		p.runAfter(min(left, retryInterval), p.step)
		return
	}
	p.refuse()
}

// currentEngine returns the engine on which this instance already runs the
// fingerprint, so that copies of a request kill one engine and not several.
func (p *pendingPlacement) currentEngine() (model.UpstreamID, bool) {
	upstream, ok := p.m.Suspects.Running(p.req.Fingerprint)
	return upstream, ok && slices.Contains(p.req.Engines(), upstream)
}

// placeInQuarantine places the request on an engine without a suspect. After
// quarantineWait it also accepts an engine with other suspects, but until
// nearRefusalWait none with a suspect that is refused after one more death.
func (p *pendingPlacement) placeInQuarantine() {
	engines, waited := p.req.Engines(), time.Since(p.started)
	var nearRefusal map[suspect.Fingerprint]bool
	if waited < nearRefusalWait {
		nearRefusal = p.m.nearRefusal()
	}
	upstream, ok := p.m.Suspects.Claim(p.req.Fingerprint, false, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		if id, ok := chooseUnshared(engines, p.req.Fingerprint, hosts); ok {
			return id, true
		}
		if waited < quarantineWait {
			return "", false
		}
		return chooseShared(engines, p.req.Fingerprint, hosts, nearRefusal)
	})
	if !ok {
		p.runAfter(retryInterval, p.step)
		return
	}
	p.then(Placement{Upstream: upstream}, nil)
}

// requestPermit asks the permit issuers in order and stops at the first answer. If none
// answers, the next round asks for the same holder, so that it receives a permit
// that was granted in an answer which was lost.
func (p *pendingPlacement) requestPermit(issuers []PermitIssuer) {
	if len(issuers) == 0 {
		p.runAfter(retryInterval, p.step)
		return
	}
	permit := func(ctx context.Context) (bool, error) {
		return issuers[0].RequestPermit(ctx, p.req.Fingerprint, p.holder)
	}
	worker.Call(p.m.Pool, worker.Key(p.req.ID), permitTimeout, permit, func(granted bool, err error) {
		switch {
		case err != nil:
			p.maybeGranted = true
			p.requestPermit(issuers[1:])
		case granted:
			p.recordPermit()
		default:
			p.releasePermit()
			p.joinPermittedRun()
		}
	})
}

// recordPermit adds the granted permit to this instance's table, so that it is
// there before the permit issuer's row arrives by gossip.
func (p *pendingPlacement) recordPermit() {
	now := time.Now()
	p.permit = true
	p.m.Suspects.Merge(suspect.Rows{
		Permits: []suspect.Permit{{Fingerprint: p.req.Fingerprint, Holder: p.holder, At: now}},
	}, now)
	p.step()
}

// releasePermit releases the permit that the request has or, after a lost answer,
// may have. It is called before an attempt starts, so the fingerprint has not run
// under the permit. The release is a row of the table and reaches all instances
// by gossip, so it is not lost.
func (p *pendingPlacement) releasePermit() {
	if !p.permit && !p.maybeGranted {
		return
	}
	p.m.Suspects.Release(p.req.Fingerprint, p.holder, time.Now())
	p.permit, p.maybeGranted = false, false
	p.newHolder()
}

func (p *pendingPlacement) newHolder() {
	p.holder = suspect.Holder{Instance: p.m.Suspects.Self(), Nonce: rand.Uint64()}
}

// joinPermittedRun runs the request on the engine of another request's permitted
// run: if that engine dies, both runs count as one death. Until that run has
// started, the request waits; the run either clears the fingerprint or adds the
// death after which it is refused.
func (p *pendingPlacement) joinPermittedRun() {
	fp, engines := p.req.Fingerprint, p.req.Engines()
	upstream, ok := p.m.Suspects.Claim(fp, true, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		return choosePermitted(engines, fp, hosts)
	})
	if !ok {
		p.runAfter(retryInterval, p.step)
		return
	}
	p.then(Placement{Upstream: upstream, Exclusive: true}, nil)
}

// claimEngine claims an engine exclusively for the permitted run, and waits for
// claimSettleTime, after which conflicting claims of other instances have arrived.
func (p *pendingPlacement) claimEngine() {
	engines := p.req.Engines()
	upstream, ok := p.m.Suspects.Claim(p.req.Fingerprint, true, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		return chooseUnshared(engines, p.req.Fingerprint, hosts)
	})
	if !ok {
		p.runAfter(retryInterval, p.step)
		return
	}
	p.runAfter(claimSettleTime, func() { p.confirmClaim(upstream) })
}

// confirmClaim places the request if its claim won, and else starts again. During
// the wait another death or an earlier permit from another permit issuer may have arrived.
func (p *pendingPlacement) confirmClaim(upstream model.UpstreamID) {
	fp, now := p.req.Fingerprint, time.Now()
	claim := suspect.HostID{Upstream: upstream, Fingerprint: fp, By: p.m.Suspects.Self()}
	permitted := p.m.Suspects.HasPermit(fp, p.holder, now)
	if permitted && p.m.Check(fp) == NeedsPermit && claimWon(claim, p.m.Suspects.Hosts(now)) {
		p.then(Placement{Upstream: upstream, Exclusive: true, permit: p.holder}, nil)
		return
	}
	p.m.Suspects.EndClaim(fp, upstream, now)
	if !permitted {
		p.releasePermit()
	}
	p.step()
}

func (p *pendingPlacement) runAfter(wait time.Duration, item func()) {
	p.m.Pool.After(wait, worker.Key(p.req.ID), worker.Func(item))
}

func (p *pendingPlacement) refuse() {
	outcome := model.OutcomeNotRun
	if p.req.HandedToEngine {
		outcome = model.OutcomeUnknown
	}
	p.then(Placement{}, &model.Refusal{
		Code:    CodeKillsEngines,
		Message: "engines died while they ran this request",
		Outcome: outcome,
	})
}
