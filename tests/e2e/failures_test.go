package e2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/eventid"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/engine"
)

const (
	prompt             = "Write the history of each step."
	seed               = 7
	maxGap             = 5 * time.Second // docs/design.md, 1.4
	streamLimit        = 30 * time.Second
	tokenTime          = "15ms"
	callerSilenceLimit = 1500 * time.Millisecond
	copiedTokens       = 100 // 1.5 s of output, after which tokens have been copied
	earlyTokens        = 40  // 0.6 s of output; tokens are copied after 0.2 s
)

// received is a transcript with the lines that its event IDs named, in order.
type received struct {
	callerclient.Transcript
	lines []model.LineID
}

// stream runs a generation to its end. act runs once, when the given number of
// tokens has arrived.
func (c *cluster) stream(t testing.TB, prompt string, tokens, after int, act func(request string)) received {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	client := callerclient.New("", c.callerAddrs...)
	client.EventTimeout = callerSilenceLimit
	var got received
	transcript, err := client.Stream(ctx, callerclient.Generation{Model: modelName, Prompt: prompt, MaxTokens: tokens, Seed: seed},
		func(now *callerclient.Transcript) {
			if id, err := eventid.Parse(now.LastID); err == nil && (len(got.lines) == 0 || got.lines[len(got.lines)-1] != id.Line) {
				got.lines = append(got.lines, id.Line)
			}
			if act != nil && len(now.Tokens) >= after {
				act(now.RequestID)
				act = nil
			}
		})
	got.Transcript = transcript
	if err != nil {
		t.Errorf("stream: %v", err)
	}
	return got
}

// checkComplete checks that the stream has the expected number of tokens, each as
// engines without noise generate it.
func checkComplete(t testing.TB, got received, prompt string, tokens int) {
	t.Helper()
	assert.Equal(t, got.RefusalCode, "")
	assert.Equal(t, got.OrderError, "")
	assert.Equal(t, got.FinishReason, "length")
	assert.Equal(t, len(got.Tokens), tokens)
	for i, token := range got.Tokens {
		assert.Equal(t, token, engine.Token(version, prompt, seed, i), "position %d", i)
	}
}

// checkOneLine checks a generation of engines with noise, whose tokens depend on
// the engine stream. The tokens must be a sequence of segments, each from one
// engine stream of the request, and no stream may occur in two segments.
func (c *cluster) checkOneLine(t testing.TB, got received, tokens int) {
	t.Helper()
	assert.Equal(t, got.RefusalCode, "")
	assert.Equal(t, got.OrderError, "")
	assert.Equal(t, len(got.Tokens), tokens)
	streams := c.candidateStreams(t, got)
	var runs []string
	for i, token := range got.Tokens {
		source := ""
		for _, s := range streams {
			if engine.NoisyToken(version, prompt, seed, s, i) == token {
				source = s
			}
		}
		assert.Assert(t, source != "", "token %d is of no stream of the request", i)
		if len(runs) == 0 || runs[len(runs)-1] != source {
			for _, earlier := range runs {
				assert.Assert(t, earlier != source, "stream %s came back at token %d", source, i)
			}
			runs = append(runs, source)
		}
	}
}

// candidateStreams returns the names that the request's engine streams can have:
// those of the lines that the caller saw, and those in the debug records of the
// instances, since a stream can be older than the line that shows its tokens.
func (c *cluster) candidateStreams(t testing.TB, got received) []string {
	t.Helper()
	id, err := eventid.Parse(got.LastID)
	assert.NilError(t, err)
	var streams []string
	for _, line := range got.lines {
		for attempt := 1; attempt <= 6; attempt++ {
			streams = append(streams, fmt.Sprintf("%s.%s.%d", id.Request, line, attempt))
		}
	}
	for i, p := range c.entry {
		if !p.running() {
			continue
		}
		for _, a := range c.explain(t, i, got.RequestID).Attempts {
			if !slices.Contains(streams, string(a.Stream)) {
				streams = append(streams, string(a.Stream))
			}
		}
	}
	return streams
}

// checkReplay reads the generation again from each running instance. The text
// must be the one that the caller received.
func (c *cluster) checkReplay(t testing.TB, got received) {
	t.Helper()
	id, err := eventid.Parse(got.LastID)
	assert.NilError(t, err)
	id.Position = 0
	for i, p := range c.entry {
		if !p.running() {
			continue
		}
		again, status := c.resume(t, i, eventid.Format(id))
		assert.Equal(t, status, 200, "instance %d", i)
		assert.Equal(t, again.text(), got.Text(), "instance %d", i)
	}
}

// Guards against lost, repeated or mixed tokens, and against a long pause,
// when entry instances and engines are killed or frozen during a stream.
func TestStreamSurvives(t *testing.T) {
	t.Parallel()
	type situation struct {
		*cluster
		t       *testing.T
		request string
		entry   *process
		engine  *process
	}
	killEngineAgain := func(s situation) { s.engineOf(s.t, s.request).kill() }
	killEntryAgain := func(s situation) { s.entryOf(s.t, s.request).kill() }
	tests := []struct {
		name   string
		third  bool // run a third instance and a third engine
		noise  bool
		after  int
		tokens int
		act    func(s situation)
		later  func(s situation) // runs 1.5 s after act
	}{
		{name: "entry killed", after: copiedTokens, act: func(s situation) { s.entry.kill() }},
		{name: "entry killed, noise", noise: true, after: copiedTokens, act: func(s situation) { s.entry.kill() }},
		{name: "entry killed twice", third: true, noise: true, after: copiedTokens, tokens: 350,
			act: func(s situation) { s.entry.kill() }, later: killEntryAgain},
		{name: "entry killed before tokens are copied", noise: true, after: 20, act: func(s situation) { s.entry.kill() }},
		{
			name: "entry frozen and thawed", noise: true, after: copiedTokens, tokens: 500,
			act: func(s situation) { s.entry.freeze(); time.AfterFunc(4500*time.Millisecond, s.entry.thaw) },
		},
		{
			name: "entry frozen and thawed, then the other killed", noise: true, after: copiedTokens, tokens: 900,
			act: func(s situation) {
				s.entry.freeze()
				s.engine.kill()
				other := s.cluster.entry[1-owner(s.t, s.request)]
				time.AfterFunc(6*time.Second, s.entry.thaw)
				time.AfterFunc(9*time.Second, other.kill)
			},
		},
		{name: "engine killed", noise: true, after: 20, act: func(s situation) { s.engine.kill() }},
		{name: "engine killed twice", third: true, after: 50, tokens: 300, act: func(s situation) { s.engine.kill() }, later: killEngineAgain},
		{name: "engine frozen", noise: true, after: 50, act: func(s situation) { s.engine.freeze() }},
		{name: "engine frozen and thawed", noise: true, after: 50, tokens: 300, act: func(s situation) { s.engine.freeze() },
			later: func(s situation) { s.engine.thaw() }},
		{name: "engine and entry killed", noise: true, after: copiedTokens, act: func(s situation) { s.engine.kill(); s.entry.kill() }},
		{name: "engine and entry killed early", noise: true, after: earlyTokens, act: func(s situation) { s.engine.kill(); s.entry.kill() }},
		{name: "engine frozen and entry killed", noise: true, after: copiedTokens, act: func(s situation) { s.engine.freeze(); s.entry.kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			flags := []string{"--token-time", tokenTime}
			if test.noise {
				flags = append(flags, "--noise")
			}
			p := plan{instances: 2, engines: 2, engineFlags: flags}
			if test.third {
				p.instances, p.engines = 3, 3
			}
			c := startCluster(t, p)
			tokens := max(test.tokens, 200)
			var wait sync.WaitGroup
			got := c.stream(t, prompt, tokens, test.after, func(request string) {
				s := situation{c, t, request, c.entry[owner(t, request)], c.engineOf(t, request)}
				test.act(s)
				if test.later != nil {
					wait.Go(func() { time.Sleep(1500 * time.Millisecond); test.later(s) })
				}
			})
			wait.Wait()
			t.Logf("longest pause %v, %d reconnects, lines %v", got.LongestGap().Round(time.Millisecond), got.Reconnects, got.lines)
			if test.noise {
				c.checkOneLine(t, got, tokens)
			} else {
				checkComplete(t, got, prompt, tokens)
			}
			assert.Assert(t, got.LongestGap() < maxGap, "output paused for %v", got.LongestGap())
			c.checkReplay(t, got)
		})
	}
}

// Guards against a request that crashes one engine after the other, by the
// system's own retries or by repeats of the caller, and against the refusal or
// delay of other requests meanwhile.
func TestRequestThatKillsEngines(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 2} {
		t.Run(fmt.Sprintf("through %d", instances), func(t *testing.T) {
			t.Parallel()
			testRequestThatKillsEngines(t, instances)
		})
	}
}

func testRequestThatKillsEngines(t *testing.T, instances int) {
	const marker, tokens, repeats = "burn after reading", 700, 4
	c := startCluster(t, plan{instances: instances, engines: 5, engineFlags: []string{
		"--token-time", tokenTime, "--crash-marker", marker, "--crash-at", "30",
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var crashes atomic.Int32
	var restarts, unrelated sync.WaitGroup
	for _, p := range c.engine {
		restarts.Go(func() { restartCrashed(ctx, p, &crashes) })
	}
	for i := range 6 {
		unrelated.Go(func() {
			ownPrompt := fmt.Sprintf("%s Part %d.", prompt, i)
			got := c.stream(t, ownPrompt, tokens, 0, nil)
			assert.Check(t, got.RefusalCode == "" && got.Text() == expectedText(ownPrompt, tokens), "unrelated stream: %d tokens, failure %q", len(got.Tokens), got.RefusalCode)
			assert.Check(t, got.LongestGap() < maxGap, "output paused for %v", got.LongestGap())
		})
	}
	time.Sleep(500 * time.Millisecond)
	codes := map[string]int{}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":60}`, modelName, marker)
	for i := range repeats {
		reply := c.post(t, i%instances, "/v1/completions", body, map[string]string{"X-Request-Timeout-Ms": "4000"})
		codes[reply.code()]++
		time.Sleep(time.Second) // a death notice spreads within this time
	}
	unrelated.Wait()
	cancel()
	restarts.Wait()
	t.Logf("%d engines crashed; refusals %v", crashes.Load(), codes)
	assert.Equal(t, codes["request_kills_engines"], repeats, "%v", codes)
	assert.Assert(t, crashes.Load() <= 3, "%d engines crashed", crashes.Load())
}

// restartCrashed starts an engine again 300 ms after each crash.
func restartCrashed(ctx context.Context, p *process, crashes *atomic.Int32) {
	for {
		_, exited := p.current()
		select {
		case <-ctx.Done():
			return
		case <-exited:
		}
		crashes.Add(1)
		time.Sleep(300 * time.Millisecond)
		if ctx.Err() != nil || p.start() != nil {
			return
		}
	}
}

// Guards against a stream that ends when its owner is lost while the caller reads
// it through another instance. That instance must take the stream over and
// continue on the same connection.
func TestReadThroughAnotherInstance(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(*process){"owner killed": (*process).kill, "owner frozen": (*process).freeze} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, plan{instances: 2, engines: 2, engineFlags: []string{"--token-time", tokenTime}})
			ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
			defer cancel()
			first := c.open(t, ctx, 0, "POST", "/v1/completions", fmt.Sprintf(streamBody, 250), nil)
			assert.Assert(t, first != nil)
			begun := readEvents(t, first.Body, 20)
			second := c.open(t, ctx, 1, "GET", "/v1/completions", "", map[string]string{"Last-Event-ID": begun[len(begun)-1].id})
			first.Body.Close()
			assert.Equal(t, second.StatusCode, 200)
			defer second.Body.Close()
			time.AfterFunc(1500*time.Millisecond, func() { lose(c.entry[0]) })
			started := time.Now()
			rest := readEvents(t, second.Body, 0)
			t.Logf("rest took %v", time.Since(started).Round(time.Millisecond))
			assert.Equal(t, begun.text()+rest.text(), expectedText(prompt, 250))
			assert.Assert(t, strings.HasSuffix(rest[len(rest)-1].id, ".250"))
		})
	}
}
