package peerlink

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer/devcert"
)

// entry has the parts of an entry process that replicate token logs.
type entry struct {
	in      model.Instance
	pool    *worker.Pool
	table   *generation.Table
	manager *replication.Manager
	server  *peer.Server
	client  *peer.Client
}

func startEntries(t *testing.T, names ...model.InstanceID) []*entry {
	t.Helper()
	ca, err := devcert.New(t.TempDir())
	assert.NilError(t, err)
	instances := instance.NewTable()
	var entries []*entry
	for _, name := range names {
		entries = append(entries, startEntry(t, ca, instances, name))
	}
	return entries
}

func startEntry(t *testing.T, ca *devcert.Authority, instances *instance.Table, name model.InstanceID) *entry {
	t.Helper()
	f, err := ca.Issue(string(name))
	assert.NilError(t, err)
	options := peer.Options{Address: "127.0.0.1:0", CertFile: f.Cert, KeyFile: f.Key, CAFile: f.CA}
	client, err := peer.NewClient(options)
	assert.NilError(t, err)
	e := &entry{pool: worker.NewPool(worker.Options{Workers: 2}), table: generation.NewTable(), client: client}
	holder := replication.NewHolder(replication.HolderOptions{Pool: e.pool})
	e.manager = replication.NewManager(replication.Options{
		Self: name, Pool: e.pool, Table: e.table, Instances: instances, Peers: NewClient(client), Holder: holder,
	})
	join := func(model.RequestID) func() { return func() {} }
	logs := EntryServer{Holder: holder, Manager: e.manager, AddReader: join,
		GrantPermit: func(fp suspect.Fingerprint, holder suspect.Holder) bool {
			return fp == "f" && holder == suspect.Holder{Instance: "a", Nonce: 7}
		}}
	e.server, err = peer.NewServer(options, logs.Handlers())
	assert.NilError(t, err)
	e.in = model.Instance{
		ID: name, Incarnation: 1, FailureDomain: model.FailureDomain(name), EntryAddress: e.server.Address(), State: model.InstanceLive,
	}
	instances.Merge(e.in)
	t.Cleanup(func() {
		_ = e.server.Close()
		_ = client.Close()
		e.pool.Close()
	})
	return e
}

func (e *entry) produce(id model.RequestID, tokens ...string) {
	done := make(chan struct{})
	e.pool.Post(worker.Key(id), worker.Func(func() {
		e.table.Update(id, func(r *generation.Record) { r.Tokens = append(r.Tokens, tokens...) })
		e.manager.TokensAccepted(id)
		close(done)
	}))
	<-done
}

// Guards against a path from owner to copy holder to another instance that
// works only with in-memory fakes.
func TestFollowAndTakeOverOverQUIC(t *testing.T) {
	const id = model.RequestID("a-1")
	entries := startEntries(t, "a", "b", "c")
	owner, other := entries[0], entries[1]
	record := generation.Record{
		Spec: model.GenerationSpec{Request: id, Prompt: "p"}, Line: "L", CopyAfter: time.Now(),
		Attempt: generation.Attempt{Number: 1, Stream: "s"},
	}
	owner.table.Insert(record)
	owner.pool.Post(worker.Key(id), worker.Func(func() { owner.manager.GenerationOpened(record) }))
	owner.produce(id, "x", "y")

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	source, err := other.manager.Locate(ctx, id, "L", 1)
	assert.NilError(t, err)
	assert.Equal(t, source.Kind, replication.SourceRemote)
	batch, err := source.Reader.Next(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch, generation.Batch{Line: "L", First: 1, Tokens: []string{"y"}})

	assert.NilError(t, owner.server.Close())
	_, err = source.Reader.Next(ctx)
	assert.Assert(t, err != nil, "the owner is lost")
	source, err = other.manager.Locate(ctx, id, "L", 2)
	assert.NilError(t, err)
	assert.Equal(t, source.Kind, replication.SourceCopied)
	assert.DeepEqual(t, source.Record.Tokens, []string{"x", "y"})
	assert.DeepEqual(t, source.Record.Forks, []generation.Fork{{Line: "L", Position: 2}})
	_, err = other.manager.Locate(ctx, id, "other", 2)
	var missing *replication.NotLocatedError
	assert.Assert(t, errors.As(err, &missing) && missing.Reason == replication.ReasonOtherLine, "%v", err)
}

// Guards against a permit that is lost or changed between encoding and handler.
func TestPermitOverQUIC(t *testing.T) {
	entries := startEntries(t, "a", "b")
	client := NewClient(entries[0].client)
	gate := client.Gate(entries[1].in)
	holder := suspect.Holder{Instance: "a", Nonce: 7}
	granted, err := gate.RequestPermit(t.Context(), "f", holder)
	assert.NilError(t, err)
	assert.Assert(t, granted)
	granted, err = gate.RequestPermit(t.Context(), "other", holder)
	assert.NilError(t, err)
	assert.Assert(t, !granted)
}
