package replication

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/worker"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// node is one entry process of the simulated network.
type node struct {
	id        model.InstanceID
	pool      *worker.Pool
	table     *generation.Table
	instances *instance.Table
	holder    *Holder
	manager   *Manager
	dead      bool
}

// network delivers messages between nodes with seeded faults.
type network struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	faults    bool
	nodes     map[model.InstanceID]*node
	lineCount int
}

func newNetwork(seed uint64, count int) *network {
	n := &network{rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.InstanceID]*node{}}
	for i := range count {
		n.add(model.InstanceID(fmt.Sprintf("entry-%d", i)))
	}
	for _, to := range n.nodes {
		for i := range count {
			to.instances.Merge(member(i))
		}
	}
	return n
}

func member(i int) model.Instance {
	return model.Instance{
		ID:            model.InstanceID(fmt.Sprintf("entry-%d", i)),
		Incarnation:   1,
		Region:        "r",
		FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%3)),
		State:         model.InstanceLive,
	}
}

func (n *network) add(id model.InstanceID) {
	nd := &node{id: id, pool: worker.NewPool(worker.Options{Workers: 2}), table: generation.NewTable(), instances: instance.NewTable()}
	nd.holder = NewHolder(HolderOptions{Pool: nd.pool})
	nd.manager = NewManager(Options{
		Self: id, Pool: nd.pool, Table: nd.table, Instances: nd.instances,
		Peers: &link{n, id}, Holder: nd.holder, NewLine: n.newLine,
	})
	n.nodes[id] = nd
}

func (n *network) newLine(self model.InstanceID, id model.RequestID) model.LineID {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lineCount++
	if owner, _ := Owner(id); owner == self {
		return model.LineID(fmt.Sprintf("L%d", n.lineCount))
	}
	return model.LineID(fmt.Sprintf("%s-L%d", self, n.lineCount))
}

// close stops the nodes and waits until late messages have been delivered.
func (n *network) close() {
	for _, nd := range n.nodes {
		nd.pool.Close()
	}
	time.Sleep(2 * time.Second)
}

func (n *network) kill(id model.InstanceID) {
	n.mu.Lock()
	n.nodes[id].dead = true
	n.mu.Unlock()
	for _, nd := range n.nodes {
		in, _ := nd.instances.Get(id)
		in.State = model.InstanceDead
		nd.instances.Merge(in)
	}
}

var errLost = errors.New("message lost")

// deliveryFaults holds the faults drawn for one message.
type deliveryFaults struct {
	loseRequest, loseReply, repeat bool
	delay, repeatDelay             time.Duration
}

func (n *network) drawFaults(from, to model.InstanceID) (deliveryFaults, *node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.nodes[to]
	if target.dead || n.nodes[from].dead {
		return deliveryFaults{}, nil, errLost
	}
	if !n.faults {
		return deliveryFaults{delay: time.Millisecond}, target, nil
	}
	ms := func(limit int) time.Duration { return time.Duration(n.rnd.IntN(limit)) * time.Millisecond }
	return deliveryFaults{
		loseRequest: n.rnd.IntN(8) == 0,
		loseReply:   n.rnd.IntN(8) == 0,
		repeat:      n.rnd.IntN(4) == 0,
		delay:       ms(100),
		repeatDelay: ms(800),
	}, target, nil
}

// deliver runs call on the target with the drawn faults.
func deliver[T any](ctx context.Context, l *link, to model.Instance, call func(*node) (T, error)) (T, error) {
	var none T
	f, target, err := l.net.drawFaults(l.from, to.ID)
	if err != nil || f.loseRequest {
		<-ctx.Done()
		return none, errLost
	}
	if f.repeat {
		go func() {
			time.Sleep(f.repeatDelay)
			_, _ = call(target)
		}()
	}
	time.Sleep(f.delay)
	value, err := call(target)
	if f.loseReply || ctx.Err() != nil {
		<-ctx.Done()
		return none, errLost
	}
	return value, err
}

// link implements Peers for one node.
type link struct {
	net  *network
	from model.InstanceID
}

func (l *link) Open(ctx context.Context, to model.Instance, m Open) (Ack, error) {
	return deliver(ctx, l, to, func(n *node) (Ack, error) { return n.holder.HandleOpen(context.Background(), m) })
}

func (l *link) Append(ctx context.Context, to model.Instance, m Append) (Ack, error) {
	return deliver(ctx, l, to, func(n *node) (Ack, error) { return n.holder.HandleAppend(context.Background(), m) })
}

func (l *link) Close(ctx context.Context, to model.Instance, m Close) (Ack, error) {
	return deliver(ctx, l, to, func(n *node) (Ack, error) { return n.holder.HandleClose(context.Background(), m) })
}

func (l *link) Fetch(ctx context.Context, to model.Instance, m Fetch) (Copy, error) {
	return deliver(ctx, l, to, func(n *node) (Copy, error) { return n.manager.HandleFetch(context.Background(), m) })
}

func (l *link) FollowLog(ctx context.Context, to model.Instance, m Fetch) (Reader, error) {
	return deliver(ctx, l, to, func(n *node) (Reader, error) { return n.manager.HandleFollowLog(m) })
}
