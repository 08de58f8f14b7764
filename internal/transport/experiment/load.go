package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes.
const (
	Served  Outcome = iota // complete, and within its time objectives
	Late                   // complete, but beyond an objective
	Refused                // refused without having run, also after retries
	Lost                   // anything else
	outcomeCount
)

const (
	// The objectives are those of the stand-ins' rules.
	firstEventObjective = 4500 * time.Millisecond
	pauseObjective      = 700 * time.Millisecond
	callTimeObjective   = 300 * time.Millisecond
	// maxAttempts bounds the attempts of a caller at one request. retryWait is
	// the time before a retry if the answer has no Retry-After.
	maxAttempts  = 3
	retryWait    = 200 * time.Millisecond
	outputTokens = 800
	callerKey    = "key"
)

// observation is the result of one request for its caller.
type observation struct {
	at      time.Duration // after the start of the load
	outcome Outcome
	stream  bool
	first   time.Duration // time to the end of the call or to the first event; 0 if no event came
}

// callers send requests at the rates of the load. mu guards observations and
// addresses.
type callers struct {
	config Config
	began  time.Time
	http   *http.Client

	mu           sync.Mutex
	observations []observation
	addresses    []string
}

func newCallers(c Config) *callers {
	dialer := net.Dialer{Timeout: time.Second}
	return &callers{
		config: c,
		http:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}},
	}
}

// setAddresses sets the addresses of the instances that callers connect to.
func (c *callers) setAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

func (c *callers) randomAddress(random uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[random%uint64(len(c.addresses))]
}

func (c *callers) record(s observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, s)
}

// run sends requests for the duration of the experiment and waits until all have
// ended.
func (c *callers) run(ctx context.Context) {
	c.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.config.Time+c.config.Load.Deadline)
	defer cancel()
	var running sync.WaitGroup
	for i, class := range []struct {
		rate float64
		send func(ctx context.Context, random *rand.Rand, n int)
	}{
		{c.config.Load.Streams, c.stream},
		{c.config.Load.Bookings, func(ctx context.Context, random *rand.Rand, n int) { c.call(ctx, random, n, "/book/1", false) }},
		{c.config.Load.Lookups, func(ctx context.Context, random *rand.Rand, n int) { c.call(ctx, random, n, "/read/1", true) }},
	} {
		if class.rate > 0 {
			running.Go(func() { c.startArrivals(ctx, &running, uint64(i), class.rate, class.send) })
		}
	}
	running.Wait()
	c.http.CloseIdleConnections()
}

// startArrivals starts requests of one class with exponentially distributed
// intervals at the given rate, in requests/s.
func (c *callers) startArrivals(ctx context.Context, running *sync.WaitGroup, class uint64, rate float64, send func(context.Context, *rand.Rand, int)) {
	random := rand.New(rand.NewPCG(c.config.Seed, class))
	due := c.began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(c.began) >= c.config.Time {
			return
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		requestRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(n)))
		running.Go(func() { send(ctx, requestRandom, n) })
	}
}

// call makes a call. If repeat is false, it retries only after a refusal that says
// that the call has not run.
func (c *callers) call(ctx context.Context, random *rand.Rand, n int, path string, repeat bool) {
	began := time.Now()
	outcome := Lost
	for attempt := range maxAttempts {
		request := fleet.CallerRequest{ID: fmt.Sprintf("%s%d.%d", path[1:5], n, attempt), Path: path, Address: c.randomAddress(random.Uint64())}
		resp, err := c.send(ctx, request)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close() // the read above reports a failure
		}
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			outcome = servedOrLate(time.Since(began) <= callTimeObjective)
		case err == nil && isRefusal(resp.StatusCode):
			outcome = Refused
			pause(ctx, retryAfter(resp))
			continue
		case repeat:
			pause(ctx, retryWait)
			continue
		}
		break
	}
	c.record(observation{at: began.Sub(c.began), outcome: outcome, first: time.Since(began)})
}

// stream reads a stream, and resumes it after the last event when it breaks.
func (c *callers) stream(ctx context.Context, random *rand.Rand, n int) {
	began := time.Now()
	promptPart := "p" + strconv.Itoa(n)
	if c.config.Load.Prompts > 0 {
		promptPart = "p" + strconv.Itoa(random.IntN(c.config.Load.Prompts))
	}
	s := observation{at: began.Sub(c.began), outcome: Lost, stream: true}
	lastEvent, missedObjective, received := began, false, 0
	for attempt := range maxAttempts {
		id := fmt.Sprintf("log%d.%d", n, attempt)
		resp, err := c.send(ctx, fleet.CallerRequest{ID: id, Path: "/log/1", Address: c.randomAddress(random.Uint64()), PromptPrefix: promptPart, LastEventID: received})
		if err != nil {
			pause(ctx, retryWait)
			continue
		}
		if isRefusal(resp.StatusCode) {
			s.outcome = Refused
			wait := retryAfter(resp)
			_ = resp.Body.Close() // the body of a refusal is not read
			pause(ctx, wait)
			continue
		}
		in := bufio.NewReader(resp.Body)
		for err == nil && received < c.config.Fleet.Events {
			if _, err = fleet.ReadEvent(in); err != nil {
				break
			}
			received++
			now := time.Now()
			if s.first == 0 {
				s.first = now.Sub(began)
				missedObjective = s.first > firstEventObjective
			} else {
				missedObjective = missedObjective || now.Sub(lastEvent) > pauseObjective
			}
			lastEvent = now
		}
		_ = resp.Body.Close() // the number of events shows whether some are missing
		s.outcome = Lost
		if received == c.config.Fleet.Events {
			s.outcome = servedOrLate(!missedObjective)
			break
		}
		pause(ctx, retryWait)
	}
	c.record(s)
}

// send sends one attempt and returns its response.
func (c *callers) send(ctx context.Context, request fleet.CallerRequest) (*http.Response, error) {
	request.APIKey, request.Deadline = callerKey, c.config.Load.Deadline
	request.PromptTokens, request.MaxOutputTokens = c.config.Load.PromptTokens, outputTokens
	req, err := request.Request(ctx)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

func servedOrLate(inTime bool) Outcome {
	if inTime {
		return Served
	}
	return Late
}

// isRefusal reports whether the status promises that the request has not run.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// retryAfter returns the wait that a refusal asks for, or retryWait.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return retryWait
	}
	return time.Duration(seconds * float64(time.Second))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
