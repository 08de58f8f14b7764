package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"
	"golang.org/x/sync/errgroup"
)

// streamCounts are the numbers of concurrent streams.
var streamCounts = []int{100, 300, 1000}

// Times and sizes of one measurement of relay cost. Streams that outlast a
// measurement would disturb the next one, so the length of each stream is chosen to
// end with it.
const (
	rampTime       = 2 * time.Second // over which the streams start
	settleTime     = 2 * time.Second // until the copying of token logs has begun
	fullWindow     = 10 * time.Second
	relayTokenTime = 50 * time.Millisecond // scripts/measure.sh starts the engines with it
	relayPrompt    = 2 << 10               // bytes
)

// relayFigures are the figures for one number of concurrent streams.
type relayFigures struct {
	tokens   int64
	cpu      time.Duration // of entryd
	entry    float64       // of entryd, fraction of a core
	resident float64       // of entryd, bytes
	control  float64       // of controld, fraction of a core
}

func relaySection(ctx context.Context, c Config) ([]Row, error) {
	if !c.Deployment.configured() {
		return nil, errNeedsDeployment
	}
	window := max(time.Duration(c.Size*float64(fullWindow)), 3*time.Second)
	var perToken, perCore, entry, memory, control []point
	for _, n := range streamCounts {
		figures, err := relayCost(ctx, c, n, window)
		if err != nil {
			return nil, fmt.Errorf("%d streams: %w", n, err)
		}
		perTokenMicros := float64(figures.cpu) / float64(time.Microsecond) / float64(max(figures.tokens, 1))
		perToken = append(perToken, point{n, perTokenMicros})
		perCore = append(perCore, point{n, 1e6 / max(perTokenMicros, 1e-9)})
		entry = append(entry, point{n, 100 * figures.entry})
		memory = append(memory, point{n, figures.resident})
		control = append(control, point{n, 100 * figures.control})
	}
	rows := slopeRows("relay", "streams", "processor of entryd", "µs each token", perToken)
	rows = append(rows, slopeRows("relay", "streams", "rate", "tokens/s each core", perCore)...)
	rows = append(rows, slopeRows("relay", "streams of 20 tokens/s", "processor of entryd", "% of a core", entry)...)
	rows = append(rows, slopeRows("relay", "streams", "resident memory of entryd", "bytes", memory)...)
	return append(rows, slopeRows("relay", "streams", "processor of controld", "% of a core", control)...), nil
}

// relayCost runs the given number of concurrent streams and measures the usage of
// the processes meanwhile.
func relayCost(ctx context.Context, c Config, streams int, window time.Duration) (relayFigures, error) {
	var received atomic.Int64
	length := int((rampTime + settleTime + window + time.Second) / relayTokenTime)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error {
			time.Sleep(rampTime * time.Duration(i) / time.Duration(streams))
			prompt := fmt.Sprintf("%d %d %d ", c.Seed, streams, i) + strings.Repeat("p", relayPrompt)
			return countTokens(ctx, client, c.Deployment, prompt, length, &received)
		})
	}
	time.Sleep(rampTime + settleTime)
	pids := []int{c.Deployment.EntryPID, c.Deployment.ControlPID}
	before, err := readUsages(pids)
	tokens := -received.Load()
	time.Sleep(window)
	after, afterErr := readUsages(pids)
	tokens += received.Load()
	if err := firstNonNil(group.Wait(), err, afterErr); err != nil {
		return relayFigures{}, err
	}
	return relayFigures{
		tokens:   tokens,
		cpu:      after[0].cpu - before[0].cpu,
		entry:    coreShare(before[0], after[0]),
		resident: after[0].resident,
		control:  coreShare(before[1], after[1]),
	}, nil
}

func firstNonNil(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// countTokens reads one stream and adds its tokens to received as they arrive. It
// fails if tokens are missing at the end.
func countTokens(ctx context.Context, client *http.Client, d Deployment, prompt string, length int, received *atomic.Int64) error {
	body, err := json.Marshal(map[string]any{"model": d.Model, "prompt": prompt, "max_tokens": length, "stream": true})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.CallerAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("start stream: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	got := 0
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		var position int
		if _, err := fmt.Sscan(event.LastEventID[strings.LastIndexByte(event.LastEventID, '.')+1:], &position); err != nil {
			continue // the end of the stream has no position
		}
		received.Add(int64(position - got))
		got = position
	}
	if got != length {
		return fmt.Errorf("stream has %d tokens, want %d", got, length)
	}
	return nil
}
