package call

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testStep is one step of a generated test run: it sets the faults, submits a call
// and waits.
type testStep struct {
	Table    tableFault
	Sender   senderFault
	Instance int
	Key      string
	Body     string
	Timeout  time.Duration
	Wait     time.Duration
}

func genAction() *rapid.Generator[testStep] {
	return rapid.Custom(func(t *rapid.T) testStep {
		return testStep{
			Table:    tableFault(rapid.IntRange(0, int(tableFaults)-1).Draw(t, "table")),
			Sender:   senderFault(rapid.IntRange(0, int(senderFaults)-1).Draw(t, "sender")),
			Instance: rapid.IntRange(0, 1).Draw(t, "instance"),
			Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
			Body:     rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
			Timeout:  rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 2 * time.Second, 8 * time.Second}).Draw(t, "timeout"),
			Wait:     rapid.SampledFrom([]time.Duration{0, 0, 100 * time.Millisecond, 4 * time.Second}).Draw(t, "wait"),
		}
	})
}

// answers collects the answers to each request.
type answers struct {
	mu   sync.Mutex
	list map[model.RequestID][]Result
}

// Result is one answer, recorded when done is called.
type Result struct {
	key      string
	response Response
	refusal  *model.Refusal
}

func (a *answers) done(id model.RequestID, key string) func(Response, *model.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list[id] = nil
	return func(resp Response, refusal *model.Refusal) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.list[id] = append(a.list[id], Result{key: key, response: resp, refusal: refusal})
	}
}

// play runs the actions on two instances with one table and one upstream.
func play(t *testing.T, actions []testStep) (*fakeSender, *answers) {
	sender, got := newFakeSender(), &answers{list: map[model.RequestID][]Result{}}
	synctest.Test(t, func(*testing.T) {
		table := newFakeTable()
		instances := []*Manager{newInstance("i0", table, sender, "s1"), newInstance("i1", table, sender, "s1")}
		for n, a := range actions {
			table.setFault(a.Table)
			sender.setFault(a.Sender)
			id := model.RequestID(fmt.Sprint("r", n))
			req := Request{
				ID: id, Service: "s", IdempotencyKey: a.Key, Body: []byte(a.Body),
				Deadline: time.Now().Add(a.Timeout),
			}
			instances[a.Instance].Submit(req, got.done(id, a.Key))
			time.Sleep(a.Wait)
		}
		table.setFault(tableWorks)
		sender.setFault(upstreamWorks)
		time.Sleep(15 * time.Minute)
		for _, m := range instances {
			if n := m.Calls.Len(); n != 0 {
				t.Errorf("%d calls are left in the table", n)
			}
			m.Pool.Close()
		}
		table.late.Wait()
		sender.late.Wait()
	})
	return sender, got
}

// violations compares the answers with the runs that the sender recorded.
func violations(sender *fakeSender, got *answers) []string {
	var bad []string
	for key, runs := range sender.runs {
		if len(runs) > 1 {
			bad = append(bad, fmt.Sprintf("key %s ran %d times: %v", key, len(runs), runs))
		}
	}
	for id, results := range got.list {
		if len(results) != 1 {
			bad = append(bad, fmt.Sprintf("%s was answered %d times", id, len(results)))
			continue
		}
		bad = append(bad, falseAnswer(sender, id, results[0])...)
	}
	return bad
}

func falseAnswer(sender *fakeSender, id model.RequestID, r Result) []string {
	runs := sender.runs[r.key]
	switch {
	case r.refusal == nil && (len(runs) != 1 || string(r.response.Body) != "ran "+string(runs[0])):
		return []string{fmt.Sprintf("%s got %q, runs are %v", id, r.response.Body, runs)}
	case r.refusal != nil && r.refusal.Outcome == model.OutcomeNotRun && slices.Contains(runs, id):
		return []string{fmt.Sprintf("%s was answered %s, but ran", id, r.refusal)}
	default:
		return nil
	}
}

// Guards against a call that runs twice, a false "not run" or "done", and a request
// with no answer or with two. The calls run on two instances, under single and
// combined faults of the claims table and the upstream.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(genAction(), 1, 12).Draw(rt, "actions")
		sender, got := play(t, actions)
		if bad := violations(sender, got); len(bad) > 0 {
			rt.Fatal(strings.Join(bad, "; "))
		}
	})
}

// Guards against answers that are safe but less precise than they could be. Each
// single fault has one expected answer, and one for a repeat after the fault.
func TestAnswersUnderOneFault(t *testing.T) {
	const ran = ""
	for _, c := range []struct {
		name          string
		table         tableFault
		sender        senderFault
		first, repeat string // codes of refusals
	}{
		{"none", tableWorks, upstreamWorks, ran, ran},
		{"table down", tableDown, upstreamWorks, CodeClaimsUnavailable, ran},
		{"table slow", tableSlow, upstreamWorks, ran, ran},
		{"claim lost", tableLost, upstreamWorks, CodeClaimsUnavailable, ran},
		{"claim late", tableLate, upstreamWorks, CodeClaimsUnavailable, ran},
		{"claim's answer lost", tableAnswerLost, upstreamWorks, CodeClaimsUnavailable, ran},
		{"upstream refuses", tableWorks, upstreamRefuses, CodeUpstreamUnreachable, ran},
		{"upstream dies before", tableWorks, upstreamDiesBefore, CodeOutcomeUnknown, CodeOutcomeUnknown},
		{"upstream dies after", tableWorks, upstreamDiesAfter, CodeOutcomeUnknown, CodeOutcomeUnknown},
		{"pause", tableWorks, senderPauses, CodeUpstreamUnreachable, ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			works := testStep{Key: "a", Body: "x", Timeout: 10 * time.Second}
			first, repeat := works, works
			first.Table, first.Sender, first.Wait = c.table, c.sender, 30*time.Second
			if c.sender == senderPauses {
				first.Timeout = time.Second
			}
			clear := works // ends the fault, so that the claim can be released
			clear.Key, clear.Wait = "other", 30*time.Second
			repeat.Instance = 1
			sender, got := play(t, []testStep{first, clear, repeat})
			assert.Equal(t, len(violations(sender, got)), 0, "%v", violations(sender, got))
			assert.Equal(t, refusalCode(got.list["r0"][0]), c.first)
			assert.Equal(t, refusalCode(got.list["r2"][0]), c.repeat)
		})
	}
}

// settle advances the time by d and waits until all work due by then is done.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func refusalCode(r Result) string {
	if r.refusal == nil {
		return ""
	}
	return r.refusal.Code
}

// Guards against the refusal of a call when the answer to its claim's write is lost
// although the write took effect.
func TestLostClaimAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, sender := newFakeTable(), newFakeSender()
		m := newInstance("i0", table, sender, "s1")
		defer m.Pool.Close()
		table.setFault(tableAnswerLost)
		got := &answers{list: map[model.RequestID][]Result{}}
		m.Submit(Request{ID: "r0", IdempotencyKey: "a"}, got.done("r0", "a"))
		synctest.Wait()
		table.setFault(tableWorks)
		settle(10 * time.Second)
		assert.Equal(t, refusalCode(got.list["r0"][0]), "")
		assert.Equal(t, len(sender.runs["a"]), 1)
	})
}

// Guards against a repeat that runs or is refused while the first call runs, against
// missing, reused and too long keys that are accepted, and against the replay of a
// truncated result.
func TestRepeatsAndKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, sender := newFakeTable(), newFakeSender()
		m := newInstance("i0", table, sender, "s1")
		defer m.Pool.Close()
		got := &answers{list: map[model.RequestID][]Result{}}
		submit := func(id model.RequestID, key, body string) {
			m.Submit(Request{ID: id, IdempotencyKey: key, Body: []byte(body)}, got.done(id, key))
		}
		sender.setFault(upstreamSlow)
		submit("r0", "a", "x")
		synctest.Wait() // requests that arrive together run in any order
		submit("r1", "a", "x")
		submit("r2", "a", "y")
		submit("r3", "", "x")
		submit("r4", strings.Repeat("k", maxKeyBytes+1), "x")
		settle(time.Minute)
		submit("r5", "a", "y")
		settle(time.Minute)
		assert.DeepEqual(t, got.list["r0"][0].response.Body, got.list["r1"][0].response.Body)
		assert.Equal(t, refusalCode(got.list["r2"][0]), CodeKeyReused)
		assert.Equal(t, refusalCode(got.list["r3"][0]), CodeKeyRequired)
		assert.Equal(t, refusalCode(got.list["r4"][0]), CodeKeyInvalid)
		assert.Equal(t, refusalCode(got.list["r5"][0]), CodeKeyReused)
		assert.DeepEqual(t, sender.runs, map[string][]model.RequestID{"a": {"r0"}})
	})
	large := claimWithResponse(Claim{}, Response{Status: 201, Body: make([]byte, maxRecordedBytes+1)})
	assert.Equal(t, len(large.Body), 0)
	assert.Equal(t, recordedResult(large).Refusal.Outcome, model.OutcomeDone)
}
