// Package gossipcost measures what gossip and the watching of upstreams cost each
// instance. It runs many control processes in one process, connected by an
// in-memory transport that encodes each message as peerwire does.
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

// Options are the sizes of the fleet and the times of the measurement.
type Options struct {
	Instances   int
	Regions     int           // instances are spread evenly over them
	Upstreams   int           // spread evenly over the regions
	Moves       int           // models with a version move, for which instances exchange evidence
	SettleTime  time.Duration // time before the measurement, for the instances to discover each other
	MeasureTime time.Duration // length of the measurement
}

// Result is the mean cost for one instance. Bytes and messages count sending and
// receiving, as each message is sent by one instance and received by another.
type Result struct {
	Options
	MessageBytes  float64 // encoded messages, bytes/s
	Messages      float64 // messages/s
	WireBytes     float64 // estimate with QUIC, UDP and IP overhead, bytes/s
	CPU           float64 // fraction of one core
	Memory        float64 // heap bytes
	InstancesSeen int     // instances in the table of the first one at the end
}

// messageOverhead is the bytes on the wire for one message beside its own: a
// packet for the message and half a packet for an acknowledgement, each with
// headers of 28 bytes for UDP and IP and about 32 bytes for QUIC and its frames.
const messageOverhead = 90

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("instances=%d regions=%d upstreams=%d moves=%d known=%d message_bytes/s=%.0f messages/s=%.1f wire_bytes/s=%.0f cpu=%.3f%% memory=%.2fMB",
		r.Instances, r.Regions, r.Upstreams, r.Moves, r.InstancesSeen, r.MessageBytes, r.Messages, r.WireBytes, 100*r.CPU, r.Memory/1e6)
}

// network delivers messages between the processes and counts them.
type network struct {
	mu       sync.RWMutex
	managers map[string]*gossip.Manager
	bytes    atomic.Uint64
	messages atomic.Uint64
}

// link is the in-memory transport. It implements gossip.Peers.
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
	request, err := l.net.transmit(e)
	if err != nil {
		return gossip.Exchange{}, err
	}
	reply, err := m.HandleExchange(ctx, request)
	if err != nil {
		return gossip.Exchange{}, err
	}
	return l.net.transmit(reply)
}

// transmit encodes and decodes a message, and counts it.
func (n *network) transmit(e gossip.Exchange) (gossip.Exchange, error) {
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
	decoded, err := peerwire.Decode(data)
	if err != nil {
		return e, err
	}
	return peerwire.DecodeExchange(decoded)
}

// Run starts the processes, waits until they have discovered each other, and
// measures.
func Run(o Options) Result {
	before := liveHeapBytes()
	f := startFleet(o)
	defer f.stop()
	time.Sleep(o.SettleTime)
	bytes, messages, cpu, start := f.net.bytes.Load(), f.net.messages.Load(), cpuTime(), time.Now()
	time.Sleep(o.MeasureTime)
	n := float64(o.Instances) * time.Since(start).Seconds()
	r := Result{
		Options:       o,
		MessageBytes:  2 * float64(f.net.bytes.Load()-bytes) / n,
		Messages:      2 * float64(f.net.messages.Load()-messages) / n,
		CPU:           (cpuTime() - cpu).Seconds() / n,
		InstancesSeen: len(f.processes[0].tables.Instances.All()),
	}
	r.WireBytes = r.MessageBytes + r.Messages*messageOverhead
	r.Memory = float64(liveHeapBytes()-before) / float64(o.Instances)
	return r
}

// liveHeapBytes returns the heap after a garbage collection, and the stacks.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
