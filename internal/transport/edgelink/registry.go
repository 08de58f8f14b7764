package edgelink

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

// Poll implements registry.Peers.
func (l *Link) Poll(ctx context.Context, from model.Instance, known registry.Cursor, current *model.RoutingRules, wait time.Duration) (registry.Delta, error) {
	request, err := peerwire.EncodeNewsAsk(known, wait)
	if err != nil {
		return registry.Delta{}, err
	}
	reply, err := l.client.Request(ctx, from.ControlAddress, request)
	if err != nil {
		return registry.Delta{}, err
	}
	return peerwire.DecodeNews(reply, current)
}

// ServeNews returns the handler of requests for registry changes.
func ServeNews(news func(ctx context.Context, known registry.Cursor, wait time.Duration) registry.Delta) peer.Handler {
	packer := &rulesPacker{packed: map[rulesPair][]byte{}}
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		ask, err := peerwire.DecodeNewsAsk(m)
		if err != nil {
			return err
		}
		delta := news(ctx, ask.Cursor, ask.Wait)
		var packed []byte
		if ask.Packed && delta.Rules != nil {
			if packed, err = packer.pack(delta.Rules, delta.RulesBase); err != nil {
				return err
			}
		}
		reply, err := peerwire.EncodeNews(delta, packed)
		if err != nil {
			return err
		}
		return w.Write(reply)
	})
}

// rulesPair are the revisions of rules and of the rules to which they were packed as
// a difference.
type rulesPair struct{ rules, base uint64 }

// rulesPacker packs each change of the rules once for all instances that poll.
// mu guards the other fields and is held while rules are packed; no other lock is
// taken under it.
type rulesPacker struct {
	mu     sync.Mutex
	newest uint64
	packed map[rulesPair][]byte // of the newest rules
}

func (p *rulesPacker) pack(rules, base *model.RoutingRules) ([]byte, error) {
	pair := rulesPair{rules: rules.Revision}
	if base != nil {
		pair.base = base.Revision
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if rules.Revision > p.newest {
		p.newest = rules.Revision
		clear(p.packed)
	}
	if packed, known := p.packed[pair]; known {
		return packed, nil
	}
	packed, err := peerwire.PackRules(rules, base)
	if err == nil && rules.Revision == p.newest {
		p.packed[pair] = packed
	}
	return packed, err
}
