package edgelink

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"gotest.tools/v3/assert"
)

// Guards against a reader whose link is full of rules: it sends each change to up to
// 22 instances, and with 1,400 routes the whole rules have 300 kB.
func TestReaderSendsOnlyTheRoutesThatChanged(t *testing.T) {
	base := &model.RoutingRules{Revision: 1}
	for i := range 1400 {
		base.Routes = append(base.Routes, model.HostRoute{
			Name: fmt.Sprintf("r-%08d", i), Host: "h.example", Prefix: fmt.Sprintf("/p%08d/", i), Repeat: model.RepeatAny,
			Timeout: time.Second, Targets: []model.RouteTarget{{Service: "s", Weight: 1}},
		})
	}
	next := &model.RoutingRules{Revision: 2, Routes: slices.Clone(base.Routes)}
	next.Routes[700].Targets = []model.RouteTarget{{Service: "t", Weight: 1}}
	news := func(_ context.Context, cursor registry.Cursor, _ time.Duration) registry.Delta {
		delta := registry.Delta{Rules: next}
		if cursor.RulesRevision == base.Revision {
			delta.RulesBase = base
		}
		return delta
	}
	link, client, server := connectTo(t, peer.Mux{peerwire.KindRegistry: ServeNews(news)}, nil, &log.Logger{Handler: discard.Default})
	reader := model.Instance{ID: "b", ControlAddress: server.Address()}

	delta, err := link.Poll(t.Context(), reader, registry.Cursor{RulesRevision: 1}, base, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, delta.Rules, next)
	received := client.Traffic().WireBytesReceived
	assert.Assert(t, received < 10_000, "%d bytes", received)

	delta, err = link.Poll(t.Context(), reader, registry.Cursor{}, nil, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, delta.Rules, next)

	t.Run("instance of an earlier build", func(t *testing.T) {
		ask := peerwire.Message{Kind: peerwire.KindRegistry, Body: []byte{0xa1, 0x03, 0x01}} // {3: 1}
		reply, err := client.Request(t.Context(), reader.ControlAddress, ask)
		assert.NilError(t, err)
		delta, err := peerwire.DecodeNews(reply, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, delta.Rules, next)
	})
}
