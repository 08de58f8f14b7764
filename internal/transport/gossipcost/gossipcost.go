// Package gossipcost measures what gossip and watching cost for each
// instance. It runs many control processes in one, joined by an in-memory
// transport that encodes each message as peerwire does.
package gossipcost

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
)

// Options say what is measured.
type Options struct {
	Instances int
	Regions   int           // instances are spread evenly over them
	Upstreams int           // spread evenly over the regions
	Moves     int           // models with a version move, for which evidence is pooled
	Settle    time.Duration // time before the measurement, for the instances to meet
	Measure   time.Duration
}

// Result is the cost for each instance. Bytes count both directions, as each
// message is sent by one instance and received by another.
type Result struct {
	Options
	MessageBytes float64 // encoded messages, bytes/s
	Messages     float64 // messages/s
	WireBytes    float64 // estimate with QUIC, UDP and IP overhead, bytes/s
	CPU          float64 // part of one core
	Memory       float64 // heap bytes
	Known        int     // instances that the first one knows at the end
}

// messageOverhead is the cost of one message beside its bytes: a packet for it
// and half a packet for an acknowledgement, each with headers of 28 bytes for
// UDP and IP and about 32 bytes for QUIC and its frames.
const messageOverhead = 90

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("instances=%d regions=%d upstreams=%d moves=%d known=%d message_bytes/s=%.0f messages/s=%.1f wire_bytes/s=%.0f cpu=%.3f%% memory=%.2fMB",
		r.Instances, r.Regions, r.Upstreams, r.Moves, r.Known, r.MessageBytes, r.Messages, r.WireBytes, 100*r.CPU, r.Memory/1e6)
}

// network delivers messages between the processes and counts them.
type network struct {
	mu       sync.RWMutex
	managers map[string]*gossip.Manager
	bytes    atomic.Uint64
	messages atomic.Uint64
}

// link implements gossip.Peers.
type link struct {
	net *network
}

var errUnknownAddress = errors.New("no process at this address")

// Exchange implements gossip.Peers.
func (l link) Exchange(ctx context.Context, address string, e gossip.Exchange) (gossip.Exchange, error) {
	l.net.mu.RLock()
	m := l.net.managers[address]
	l.net.mu.RUnlock()
	if m == nil {
		return gossip.Exchange{}, errUnknownAddress
	}
	request, err := l.net.carry(e)
	if err != nil {
		return gossip.Exchange{}, err
	}
	reply, err := m.HandleExchange(ctx, request)
	if err != nil {
		return gossip.Exchange{}, err
	}
	return l.net.carry(reply)
}

// carry encodes and decodes a message.
func (n *network) carry(e gossip.Exchange) (gossip.Exchange, error) {
	m, err := peerwire.EncodeExchange(e)
	if err != nil {
		return e, err
	}
	data, err := peerwire.Encode(m)
	if err != nil {
		return e, err
	}
	n.bytes.Add(uint64(len(data)))
	n.messages.Add(1)
	back, err := peerwire.Decode(data)
	if err != nil {
		return e, err
	}
	return peerwire.DecodeExchange(back)
}

// Run starts the processes, lets them meet, and measures.
func Run(o Options) Result {
	before := heap()
	f := startFleet(o)
	defer f.stop()
	time.Sleep(o.Settle)
	bytes, messages, cpu, start := f.net.bytes.Load(), f.net.messages.Load(), cpuTime(), time.Now()
	time.Sleep(o.Measure)
	n := float64(o.Instances) * time.Since(start).Seconds()
	r := Result{
		Options:      o,
		MessageBytes: 2 * float64(f.net.bytes.Load()-bytes) / n,
		Messages:     2 * float64(f.net.messages.Load()-messages) / n,
		CPU:          (cpuTime() - cpu).Seconds() / n,
		Known:        len(f.processes[0].tables.Instances.All()),
	}
	r.WireBytes = r.MessageBytes + r.Messages*messageOverhead
	r.Memory = float64(heap()-before) / float64(o.Instances)
	return r
}

// heap returns the live heap after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
