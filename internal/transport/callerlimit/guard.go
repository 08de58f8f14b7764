package callerlimit

import (
	"context"
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// budgetPercent of the machine's memory is the budget. On the smallest instances, with
	// 136 MB, the rest holds the program (about 30 MB), the connections (27 MB) and what
	// the garbage collector has not freed.
	budgetPercent = 18
	// minBudget holds two bodies of 4 MiB, also if they arrive in chunks: 5 MiB for a moment.
	minBudget = 16 << 20
	// connectionBytes is the memory of a connection without a request: two goroutine
	// stacks, and two buffers of 4 KiB.
	connectionBytes = 32 << 10
	// connectionPercent of the machine's memory is for connections.
	connectionPercent = 20
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// internalDescriptors are for the listeners, the store, the sockets of peers and the
	// servers that are not for callers.
	internalDescriptors = 100
	// minConnections applies however small the settings are.
	minConnections = 16
	// retryAfter tells refused callers when to return. Most requests end within it.
	retryAfter = 500 * time.Millisecond
	// logInterval is the time between two log lines of one cause.
	logInterval = 10 * time.Second
)

// Causes of refusals and closed connections.
const (
	CauseMemory      = "memory"
	CauseConnections = "connections"
	CauseIdle        = "closed_idle"
	CauseHeadSize    = "head_size"
	CauseAnswer      = "answer_memory"
)

// Options configure a Guard.
type Options struct {
	MemoryBytes int64 // of the machine; zero means no bound
	Descriptors int   // that the process may open; zero means no bound
	Log         log.Interface
}

// Guard holds the budget and the bounds of one process.
type Guard struct {
	Budget *Budget

	maxConnections int
	log            log.Interface
	counter        metric.Int64Counter

	mu      sync.Mutex // guards refused; a leaf lock
	refused map[string]*tally
}

// tally counts refusals of one cause since its last log line.
type tally struct {
	count  int
	logged time.Time
}

// New returns a Guard with bounds that follow from the machine's.
func New(o Options) *Guard {
	g := &Guard{
		Budget:         NewBudget(budgetBytes(o.MemoryBytes)),
		maxConnections: connections(o.MemoryBytes, o.Descriptors),
		log:            o.Log.WithField("part", "callerlimit"),
		refused:        map[string]*tally{},
	}
	// Creating an instrument fails only for an invalid name.
	g.counter, _ = otel.Meter("sequoiavalve/callerlimit").Int64Counter("caller_limit_refused",
		metric.WithDescription("Requests refused and connections closed because of a limit on callers, by listener and cause."))
	return g
}

// Bounds of processes whose settings do not name the machine's memory.
const (
	processMemory  = 1 << 30
	maxDescriptors = 1 << 20 // a larger limit of the system means none
)

// ForProcess returns a Guard for a process whose settings name neither memory nor
// descriptors. The descriptors are those that the system allows it.
func ForProcess(logger log.Interface) *Guard {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		files.Cur = 0
	}
	return New(Options{MemoryBytes: processMemory, Descriptors: int(min(files.Cur, maxDescriptors)), Log: logger})
}

func budgetBytes(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(memory/100*budgetPercent, minBudget)
}

// connections returns the bound on the connections of callers. Half of the descriptors is
// for connections to upstreams, as each request may need one.
func connections(memory int64, descriptors int) int {
	bound := math.MaxInt
	if memory > 0 {
		bound = int(memory / 100 * connectionPercent / connectionBytes)
	}
	if descriptors > 0 {
		bound = min(bound, (descriptors-reservedDescriptors-internalDescriptors)/2)
	}
	return max(bound, minConnections)
}

// MaxConnections returns the bound on the connections of callers.
func (g *Guard) MaxConnections() int { return g.maxConnections }

// Count counts a refusal. Each cause is logged at most once in logInterval.
func (g *Guard) Count(listener, cause string) {
	g.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("cause", cause)))
	if n := g.countForLog(listener+"/"+cause, time.Now()); n > 0 {
		g.log.WithField("listener", listener).WithField("cause", cause).WithField("refused", n).
			WithField("memory_used", g.Budget.Used()).Warn("callers are refused by a limit")
	}
}

// countForLog returns the number of refusals to log now, 0 for none.
func (g *Guard) countForLog(key string, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.refused[key]
	if t == nil {
		t = &tally{}
		g.refused[key] = t
	}
	t.count++
	if now.Sub(t.logged) < logInterval {
		return 0
	}
	n := t.count
	t.count, t.logged = 0, now
	return n
}

// Refusal is the answer to a request for which there is no memory.
func Refusal() *model.Refusal {
	return &model.Refusal{
		Code:       problem.CodeInstanceFull,
		Message:    "This instance has no memory left for the request.",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	_ = problem.Write(w, "", Refusal()) // a caller that left needs no answer
}
