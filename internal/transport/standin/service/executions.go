package service

import (
	"maps"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// maxKeys bounds the idempotency keys that are told apart.
const maxKeys = 1_000_000

// Executions counts the calls that ran.
type Executions struct {
	Total      int64 `json:"total"`
	WithoutKey int64 `json:"without_key"`
	AfterLeave int64 `json:"after_leave"` // ran after the leaving notice
	// ByKey counts by Idempotency-Key, ByRoute by "METHOD path".
	ByKey   map[string]int64 `json:"by_key"`
	ByRoute map[string]int64 `json:"by_route"`
}

// executions holds the counts. mu has standin.RankData and guards counts.
type executions struct {
	mu     lock.Mutex
	counts Executions
}

func newExecutions() *executions {
	return &executions{
		mu:     lock.New(standin.RankData),
		counts: Executions{ByKey: map[string]int64{}, ByRoute: map[string]int64{}},
	}
}

// run counts one execution and returns how often the key ran so far.
func (e *executions) run(route Route, key string, leaving bool) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Total++
	e.counts.ByRoute[route.String()]++
	if leaving {
		e.counts.AfterLeave++
	}
	if key == "" {
		e.counts.WithoutKey++
		return 0
	}
	if e.counts.ByKey[key] > 0 || len(e.counts.ByKey) < maxKeys {
		e.counts.ByKey[key]++
	}
	return e.counts.ByKey[key]
}

func (e *executions) get() Executions {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.ByKey = maps.Clone(counts.ByKey)
	counts.ByRoute = maps.Clone(counts.ByRoute)
	return counts
}
