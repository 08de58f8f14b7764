package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/callerclient"
	"golang.org/x/sync/errgroup"
)

const maxLatency = 10 * time.Minute

type loadCommand struct {
	target
	Model         string        `help:"Model to request." required:""`
	Streams       int           `help:"Concurrent generations." default:"20"`
	Duration      time.Duration `help:"Time during which new generations start." default:"30s"`
	Tokens        int           `help:"Mean number of tokens of a generation." default:"200"`
	PromptBytes   int           `help:"Size of the prompts." default:"2048"`
	Seed          uint64        `help:"Seed of the prompts and of the numbers of tokens." default:"1"`
	VerifyVersion []string      `help:"Compare the tokens with those of stand-in engines of these versions."`
	MaxGap        time.Duration `help:"Longest allowed time without a token." default:"5s"`
	AllowRefused  bool          `help:"Do not fail on refusals before the first token."`
}

// loadResult sums up all generations. mu guards the other fields.
type loadResult struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram // ms
	interval *hdrhistogram.Histogram // ms
	gap      *hdrhistogram.Histogram // ms, longest of each generation
	complete int
	refused  int      // before the first token
	broken   []string // request IDs with what was wrong
}

// Run streams generations until the duration is over.
func (c *loadCommand) Run(ctx context.Context) error {
	result := &loadResult{first: newHistogram(), interval: newHistogram(), gap: newHistogram()}
	until := time.Now().Add(c.Duration)
	group, ctx := errgroup.WithContext(ctx)
	for i := range c.Streams {
		group.Go(func() error {
			client := c.client() // a separate caller with its own connections
			rng := rand.New(rand.NewPCG(c.Seed, uint64(i)))
			for time.Now().Before(until) && ctx.Err() == nil {
				c.streamOne(ctx, client, rng, result)
			}
			return nil
		})
	}
	_ = group.Wait() // the workers return no errors
	return result.report(c)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), 3)
}

// streamOne streams one generation and records its result.
func (c *loadCommand) streamOne(ctx context.Context, client *callerclient.Client, rng *rand.Rand, result *loadResult) {
	g := callerclient.Generation{
		Model:     c.Model,
		Prompt:    makePrompt(rng, c.PromptBytes),
		MaxTokens: 1 + rng.IntN(2*c.Tokens),
		Seed:      rng.Int64(),
	}
	t, err := client.Stream(ctx, g, nil)
	if ctx.Err() != nil {
		return
	}
	fault := errors.Join(checkTranscript(t, g, c.VerifyVersion), checkGap(t, c.MaxGap))
	result.add(t, fault, err)
}

// makePrompt returns a prompt whose first half is one of ten texts, so that engines
// find shared prefixes in their caches.
func makePrompt(rng *rand.Rand, size int) string {
	common := strings.Repeat(fmt.Sprintf("shared %02d ", rng.IntN(10)), size/20+1)[:size/2]
	return common + fmt.Sprintf("own %016x ", rng.Uint64())
}

func (r *loadResult) add(t callerclient.Transcript, fault, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.RefusalCode != "" && len(t.Tokens) == 0 {
		r.refused++
		return
	}
	if fault = errors.Join(fault, err); fault != nil {
		r.broken = append(r.broken, fmt.Sprintf("%s: %v", t.RequestID, fault))
		return
	}
	r.complete++
	_ = r.first.RecordValue(t.FirstToken.Milliseconds()) // bounded by the timeout
	_ = r.gap.RecordValue(t.LongestGap().Milliseconds())
	for _, d := range t.Intervals {
		_ = r.interval.RecordValue(d.Milliseconds())
	}
}

func (r *loadResult) report(c *loadCommand) error {
	fmt.Printf("seed %d: %d whole, %d refused, %d broken\n", c.Seed, r.complete, r.refused, len(r.broken))
	printQuantiles("first token", r.first)
	printQuantiles("interval", r.interval)
	printQuantiles("longest gap", r.gap)
	for _, b := range r.broken {
		fmt.Println("broken:", b)
	}
	if len(r.broken) > 0 {
		return fmt.Errorf("%d answers were not whole", len(r.broken))
	}
	if r.refused > 0 && !c.AllowRefused {
		return fmt.Errorf("%d generations were refused", r.refused)
	}
	return nil
}

func printQuantiles(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-12s p50 %d ms, p95 %d ms, p99 %d ms, max %d ms\n", name,
		h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max())
}
