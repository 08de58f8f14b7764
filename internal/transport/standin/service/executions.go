package service

import (
	"maps"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// maxCountedKeys bounds the idempotency keys that are counted separately, so that
// memory stays bounded. Calls with further keys count in Total and ByRoute only.
const maxCountedKeys = 1_000_000

// Executions counts the calls that were executed.
type Executions struct {
	Total      int64 `json:"total"`
	WithoutKey int64 `json:"without_key"`
	AfterLeave int64 `json:"after_leave"` // executed after the leaving notice
	// ByKey counts by Idempotency-Key, ByRoute by "METHOD path".
	ByKey   map[string]int64 `json:"by_key"`
	ByRoute map[string]int64 `json:"by_route"`
}

// executions is the table of the counts. mu has standin.RankData and guards counts.
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

// record counts one execution and returns the number of executions of the key so
// far, zero without a key.
func (e *executions) record(route Route, key string, leaving bool) int64 {
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
	if e.counts.ByKey[key] > 0 || len(e.counts.ByKey) < maxCountedKeys {
		e.counts.ByKey[key]++
	}
	return e.counts.ByKey[key]
}

func (e *executions) snapshot() Executions {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.ByKey = maps.Clone(counts.ByKey)
	counts.ByRoute = maps.Clone(counts.ByRoute)
	return counts
}
