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
	permitTimeout = 500 * time.Millisecond // for one gate's answer
	// settleTime is twice the time in which a notice spreads (1 s): a claim
	// reaches another instance, and what that one claimed before comes back.
	settleTime = 2 * time.Second
	retryEvery = 200 * time.Millisecond
	// quarantineWait bounds the wait for an engine without a suspect. Others
	// clear within a prefill and one token, and output must go on within 5 s.
	quarantineWait = time.Second
	// refusalWait is the time in which a notice spreads: the fingerprint may have
	// been cleared on another instance.
	refusalWait = time.Second
	// lastChanceWait bounds the wait for an engine that no suspect with two
	// deaths uses. With a prefill after it, output still goes on within 5 s.
	lastChanceWait = 4 * time.Second
	placeLimit     = 30 * time.Second // for a request without a deadline
)

// PlaceRequest asks where a request may run.
type PlaceRequest struct {
	ID          model.RequestID
	Fingerprint suspect.Fingerprint
	// Engines returns the engines that may take the request now. It is called
	// again after each wait, without a lock held.
	Engines  func() []model.UpstreamID
	Deadline time.Time // latest time of an answer; zero means 30 s from now
	Ran      bool      // an attempt of this request was handed to an engine
}

// Placement says where a request runs.
type Placement struct {
	Upstream  model.UpstreamID // empty: any engine, see Manager.Occupied
	Exclusive bool             // nothing else should be sent to it meanwhile
	permit    suspect.Holder   // zero without a permit of its own
}

// placing is one request that waits for its engine. Items under the request's
// key alone touch its fields.
type placing struct {
	m       *Manager
	req     PlaceRequest
	started time.Time
	holder  suspect.Holder // under which permits are asked for
	permit  bool           // a gate granted the holder the permit
	lost    bool           // a gate did not answer and may have granted it
	refused time.Time      // when the verdict became Refused; zero if it is not
	then    func(Placement, *model.Refusal)
}

// Place finds an engine for a request before each attempt. then is called
// once, on a worker under the request's key. Unless refused, then calls at
// once either Started, and Stopped follows when the attempt ends, or Unused.
func (m *Manager) Place(req PlaceRequest, then func(Placement, *model.Refusal)) {
	p := &placing{m: m, req: req, started: time.Now(), then: then}
	p.newHolder()
	if req.Deadline.IsZero() {
		p.req.Deadline = p.started.Add(placeLimit)
	}
	m.Pool.Post(worker.Key(req.ID), worker.Func(p.step))
}

// step acts on the current verdict, which may change while a request waits.
func (p *placing) step() {
	v := p.m.Check(p.req.Fingerprint)
	if v != NeedsPermit {
		p.release()
	}
	if v != Free && time.Now().After(p.req.Deadline) {
		p.release()
		p.refuse()
		return
	}
	if v == Refused {
		p.confirm()
		return
	}
	p.refused = time.Time{}
	if upstream, ok := p.together(); ok {
		p.release()
		p.then(Placement{Upstream: upstream}, nil)
		return
	}
	switch {
	case v == Free:
		p.then(Placement{}, nil)
	case v == Quarantine:
		p.quarantine()
	case p.permit:
		p.claim()
	default:
		p.ask(p.m.Gates(p.req.Fingerprint))
	}
}

// confirm refuses the request once a clear mark must have arrived.
func (p *placing) confirm() {
	now := time.Now()
	if p.refused.IsZero() {
		p.refused = now
	}
	if left := refusalWait - now.Sub(p.refused); left > 0 {
		p.later(min(left, retryEvery), p.step)
		return
	}
	p.refuse()
}

// together returns the engine on which this instance runs the fingerprint, so
// that copies take down one engine and not several.
func (p *placing) together() (model.UpstreamID, bool) {
	upstream, ok := p.m.Suspects.Running(p.req.Fingerprint)
	return upstream, ok && slices.Contains(p.req.Engines(), upstream)
}

// quarantine takes an engine without a suspect, or after quarantineWait
// shares one, at first not with a suspect that one more death refuses.
func (p *placing) quarantine() {
	engines, waited := p.req.Engines(), time.Since(p.started)
	var last map[suspect.Fingerprint]bool
	if waited < lastChanceWait {
		last = p.m.lastChances()
	}
	upstream, ok := p.m.Suspects.Claim(p.req.Fingerprint, false, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		if id, ok := chooseAlone(engines, p.req.Fingerprint, hosts); ok {
			return id, true
		}
		if waited < quarantineWait {
			return "", false
		}
		return chooseShared(engines, p.req.Fingerprint, hosts, last)
	})
	if !ok {
		p.later(retryEvery, p.step)
		return
	}
	p.then(Placement{Upstream: upstream}, nil)
}

// ask asks the gates in order. A gate's answer is final for now; the next one
// is asked only if a gate does not answer. If none answers, the next round
// asks under the same holder and gets the permit that a lost answer granted.
func (p *placing) ask(gates []Gate) {
	if len(gates) == 0 {
		p.later(retryEvery, p.step)
		return
	}
	permit := func(ctx context.Context) (bool, error) { return gates[0].Permit(ctx, p.req.Fingerprint, p.holder) }
	worker.Call(p.m.Pool, worker.Key(p.req.ID), permitTimeout, permit, func(granted bool, err error) {
		switch {
		case err != nil:
			p.lost = true
			p.ask(gates[1:])
		case granted:
			p.granted()
		default:
			p.release()
			p.join()
		}
	})
}

// granted records the permit here too, which makes this instance know it
// before the gate's notice arrives.
func (p *placing) granted() {
	now := time.Now()
	p.permit = true
	p.m.Suspects.Merge(suspect.Rows{
		Permits: []suspect.Permit{{Fingerprint: p.req.Fingerprint, Holder: p.holder, At: now}},
	}, now)
	p.step()
}

// release gives back the permit that the request has or, after a lost answer,
// may have. It runs before any attempt is started, so that the fingerprint has
// not run under the permit. The notice spreads like all rows and is not lost.
func (p *placing) release() {
	if !p.permit && !p.lost {
		return
	}
	p.m.Suspects.Release(p.req.Fingerprint, p.holder, time.Now())
	p.permit, p.lost = false, false
	p.newHolder()
}

func (p *placing) newHolder() {
	p.holder = suspect.Holder{Instance: p.m.Suspects.Self(), Nonce: rand.Uint64()}
}

// join runs the request on the engine on which another instance uses the
// permit: if that engine dies, it is the same death. Until there is one, the
// request waits: the permitted run clears or condemns it.
func (p *placing) join() {
	fp, engines := p.req.Fingerprint, p.req.Engines()
	upstream, ok := p.m.Suspects.Claim(fp, true, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		return choosePermitted(engines, fp, hosts)
	})
	if !ok {
		p.later(retryEvery, p.step)
		return
	}
	p.then(Placement{Upstream: upstream, Exclusive: true}, nil)
}

// claim takes an engine for the permitted run alone, and waits until claims
// of other instances for the same engine must have arrived.
func (p *placing) claim() {
	engines := p.req.Engines()
	upstream, ok := p.m.Suspects.Claim(p.req.Fingerprint, true, time.Now(), func(hosts []suspect.Host) (model.UpstreamID, bool) {
		return chooseAlone(engines, p.req.Fingerprint, hosts)
	})
	if !ok {
		p.later(retryEvery, p.step)
		return
	}
	p.later(settleTime, func() { p.settled(upstream) })
}

// settled runs the request if its claim won, and else tries again. The wait
// may have brought another death, or an earlier permit of another gate.
func (p *placing) settled(upstream model.UpstreamID) {
	fp, now := p.req.Fingerprint, time.Now()
	own := suspect.HostID{Upstream: upstream, Fingerprint: fp, By: p.m.Suspects.Self()}
	permitted := p.m.Suspects.Permitted(fp, p.holder, now)
	if permitted && p.m.Check(fp) == NeedsPermit && holds(own, p.m.Suspects.Hosts(now)) {
		p.then(Placement{Upstream: upstream, Exclusive: true, permit: p.holder}, nil)
		return
	}
	p.m.Suspects.Unclaim(fp, upstream, now)
	if !permitted {
		p.release()
	}
	p.step()
}

func (p *placing) later(wait time.Duration, item func()) {
	p.m.Pool.After(wait, worker.Key(p.req.ID), worker.Func(item))
}

func (p *placing) refuse() {
	outcome := model.OutcomeNotRun
	if p.req.Ran {
		outcome = model.OutcomeUnknown
	}
	p.then(Placement{}, &model.Refusal{
		Code:    CodeKillsEngines,
		Message: "engines died while they ran this request",
		Outcome: outcome,
	})
}
