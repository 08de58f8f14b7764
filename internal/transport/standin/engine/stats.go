package engine

import "maps"

// maxPromptRuns bounds the prompts that Stats.PromptRuns counts separately.
const maxPromptRuns = 100_000

// Stats counts the work since New. The counts survive Kill, because tests
// read them.
type Stats struct {
	PrefillBytes int64 `json:"prefill_bytes"` // prompt bytes computed, without cached prefixes
	CachedBytes  int64 `json:"cached_bytes"`  // prompt bytes taken from the cache
	Tokens       int64 `json:"tokens"`
	Streams      int64 `json:"streams"`      // accepted requests
	PromptsRun   int64 `json:"prompts_run"`  // streams that got a slot
	Attached     int64 `json:"attached"`     // GET of a stream
	Cancelled    int64 `json:"cancelled"`    // DELETE of a running stream
	Expired      int64 `json:"expired"`      // streams that had no connection for the grace time
	Failed       int64 `json:"failed"`       // requests that got 500 because of a fault
	AfterLeaving int64 `json:"after_leave"`  // requests accepted after the leaving notice
	Orders       int64 `json:"orders"`       // accepted orders
	StaleOrders  int64 `json:"stale_orders"` // orders with an old fencing number, refused or not
	// PromptRuns counts PromptsRun for each PromptHash.
	PromptRuns map[string]int64 `json:"prompt_runs"`
}

func (s *Stats) countRun(prompt string) {
	s.PromptsRun++
	key := PromptHash(prompt)
	if s.PromptRuns[key] > 0 || len(s.PromptRuns) < maxPromptRuns {
		s.PromptRuns[key]++
	}
}

func (s Stats) clone() Stats {
	s.PromptRuns = maps.Clone(s.PromptRuns)
	return s
}
