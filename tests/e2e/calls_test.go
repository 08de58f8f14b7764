package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

func (c *cluster) book(t testing.TB, instance int, key string) reply {
	t.Helper()
	return c.post(t, instance, "/bookings", `{"slot":1}`, map[string]string{"Idempotency-Key": key})
}

// checkExecutions compares the answers for a key with the number of times that
// the call ran: at most once, exactly once if an answer reports success, and
// never if all answers are refusals with not_run.
func checkExecutions(t testing.TB, key string, ran int64, replies []reply) {
	t.Helper()
	var outcomes []string
	succeeded, notRun := 0, 0
	for _, r := range replies {
		switch {
		case r.refusal == nil && r.status == 200:
			succeeded++
			outcomes = append(outcomes, "200")
		case r.refusal == nil:
			t.Errorf("key %s: status %d without an outcome: %s", key, r.status, r.body)
		default:
			outcomes = append(outcomes, fmt.Sprintf("%d %s %s", r.status, r.refusal.Code, r.refusal.Outcome))
			if r.refusal.Outcome == model.OutcomeNotRun {
				notRun++
				waits := r.refusal.RetryAfter > 0 || r.refusal.Code == "deadline_exceeded"
				assert.Check(t, waits, "not_run for a fault that passes has no Retry-After: %s", r.body)
			}
		}
	}
	assert.Check(t, ran <= 1, "key %s ran %d times: %v", key, ran, outcomes)
	assert.Check(t, succeeded == 0 || ran == 1, "key %s ran %d times: %v", key, ran, outcomes)
	assert.Check(t, notRun < len(replies) || ran == 0, "key %s ran %d times: %v", key, ran, outcomes)
}

// Guards against a non-idempotent call that runs twice, and against a false
// "not run", while the platform fails and the same key comes through both
// instances at once. Afterwards each key that did not run must run once.
func TestCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 1, services: 2})
	tests := []struct{ name, platform, service string }{
		{"no fault", `{}`, `{}`},
		{"answers lost", `{"lose_answers":6,"lose_fraction":0.5}`, `{}`},
		{"requests lost", `{"lose_requests":6}`, `{}`},
		{"writes fail after taking effect", `{"fail_writes":6}`, `{}`},
		{"platform slow", `{"latency_ms":300}`, `{}`},
		{"platform slower than the claim's limit", `{"latency_ms":1200}`, `{}`},
		{"platform down", `{"down":true}`, `{}`},
		{"platform over its rate", `{"writes_per_second":2}`, `{}`},
		{"service answers lost", `{}`, `{"cut_answers":3}`},
		{"service requests lost", `{}`, `{"cut_requests":3}`},
		{"service answers lost and platform slow", `{"latency_ms":200,"lose_fraction":0.5}`, `{"cut_fraction":0.5}`},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			setFaults(t, c.platform, test.platform)
			for _, address := range c.services {
				setFaults(t, address, test.service)
			}
			replies := make([][]reply, 6)
			key := func(k int) string { return fmt.Sprintf("slot-%d-%d", i, k) }
			var wait sync.WaitGroup
			var mu sync.Mutex
			for k := range replies {
				for instance := range c.callerAddrs {
					wait.Go(func() {
						r := c.book(t, instance, key(k))
						mu.Lock()
						defer mu.Unlock()
						replies[k] = append(replies[k], r)
					})
				}
			}
			wait.Wait()
			ran := c.executions(t)
			for k := range replies {
				checkExecutions(t, key(k), ran[key(k)], replies[k])
			}
			setFaults(t, c.platform, `{}`)
			for _, address := range c.services {
				setFaults(t, address, `{}`)
			}
			c.checkRepeats(t, key, ran, len(replies))
		})
	}
}

// checkRepeats repeats the call of each key until the outcome is no longer
// not_run. A call that ran before must not run again.
func (c *cluster) checkRepeats(t testing.TB, key func(int) string, before map[string]int64, keys int) {
	t.Helper()
	for k := range keys {
		deadline := time.Now().Add(5 * time.Second)
		r := c.book(t, k%2, key(k))
		for r.refusal != nil && r.refusal.Outcome == model.OutcomeNotRun && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			r = c.book(t, k%2, key(k))
		}
		ran := c.executions(t)[key(k)]
		checkExecutions(t, key(k), ran, []reply{r})
		assert.Check(t, before[key(k)] == 0 || ran == 1, "key %s ran again: %d", key(k), ran)
		assert.Check(t, r.refusal == nil || r.refusal.Outcome == model.OutcomeUnknown, "%s", r.body)
	}
}

// Guards against an outage of the platform that stops more than the calls that
// need a claim.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, plan{instances: 2, engines: 1, services: 1, engineFlags: []string{"--token-time", "5ms"}})
	setFaults(t, c.platform, `{"down":true}`)
	time.Sleep(2 * time.Second) // polls of the platform fail meanwhile
	for i := range c.callerAddrs {
		r := c.book(t, i, "slot")
		assert.Equal(t, r.status, 503)
		assert.Equal(t, r.code(), "claims_unavailable")
		assert.Equal(t, r.refusal.Outcome, model.OutcomeNotRun)
		assert.Assert(t, r.refusal.RetryAfter > 0)
		assert.Equal(t, c.request(t, i, "GET", "/records", "", nil).status, 200)
		assert.Equal(t, httpStatus("http://"+c.callerAddrs[i]+"/readyz"), 200)
	}
	checkComplete(t, c.stream(t, prompt, 100, 0, nil), prompt, 100)
	assert.Equal(t, c.executions(t)["slot"], int64(0))
	setFaults(t, c.platform, `{}`)
	assert.Equal(t, c.book(t, 0, "slot").status, 200)
	assert.Equal(t, c.executions(t)["slot"], int64(1))
}
