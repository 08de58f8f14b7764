package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/fleet"
)

// soakAttempt is one attempt as its caller saw it.
type soakAttempt struct {
	id          string
	path        string
	key         string
	address     string // of the instance
	sent        time.Time
	ended       time.Time
	status      int    // HTTP status, 0 if there was no answer
	cut         bool   // the connection ended before the end of the answer
	cancelled   bool   // the caller closed the stream early
	connRefused bool   // the connection was refused, so nothing was sent
	wrong       string // mismatch between the answer and the expected one; empty if there is none
	lastEvent   int    // position of the last event received
	leaving     string // worker that said in the answer that it leaves
	answered    time.Time
	written     time.Time // when the whole request had been written; zero if that failed
}

// served reports whether the attempt succeeded and its answer is complete.
func (a soakAttempt) served() bool { return a.status == http.StatusOK && !a.cut && !a.cancelled }

// soakRecord collects attempts. mu guards attempts and lastAttempt.
type soakRecord struct {
	mu          sync.Mutex
	attempts    []soakAttempt
	lastAttempt int // number of the last ID given out
}

func (r *soakRecord) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttempt++
	return fmt.Sprintf("a%d", r.lastAttempt)
}

func (r *soakRecord) add(a soakAttempt) {
	a.ended = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *soakRecord) all() []soakAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]soakAttempt(nil), r.attempts...)
}

// soakCaller uses the system as its callers do: it resolves the addresses of
// instances, caches them, reuses its connections, and retries after answers that
// promise that the request has not run.
type soakCaller struct {
	record     *soakRecord
	random     *rand.Rand
	directory  []string // addresses of the instances' resolution services
	addresses  []string
	resolvedAt time.Time // time of the last successful resolution
	http       *http.Client
	// staysAtAddress makes the caller use an address until it fails, also when it is no
	// longer among the resolved ones.
	staysAtAddress bool
	lastAddress    string // of the newest attempt; empty if it failed
}

const (
	soakKey        = "key"
	soakDeadline   = 12 * time.Second
	soakThinkTime  = 100 * time.Millisecond // at most, between requests
	soakAddressTTL = 2 * time.Second
)

func newSoakCaller(record *soakRecord, seed uint64, directory []string) *soakCaller {
	dialer := net.Dialer{Timeout: time.Second}
	return &soakCaller{
		record: record, random: rand.New(rand.NewPCG(seed, 11)), directory: directory,
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}},
	}
}

// address picks one of the resolved addresses at random and resolves them again
// when they are older than soakAddressTTL.
func (c *soakCaller) address(ctx context.Context) string {
	if c.staysAtAddress && c.lastAddress != "" {
		return c.lastAddress
	}
	if time.Since(c.resolvedAt) > soakAddressTTL {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return ""
	}
	c.lastAddress = c.addresses[c.random.IntN(len(c.addresses))]
	return c.lastAddress
}

func (c *soakCaller) resolve(ctx context.Context) {
	for range 3 {
		target := c.directory[c.random.IntN(len(c.directory))] + "/v1/resolution?name=h.example&region=r&zone=" + string(rune('a'+c.random.IntN(3)))
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
		if err != nil {
			panic(err)
		}
		resp, err := c.http.Do(req)
		var answer struct{ Addresses []string }
		if err == nil {
			err = errors.Join(json.NewDecoder(resp.Body).Decode(&answer), resp.Body.Close())
		}
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.resolvedAt = answer.Addresses, time.Now()
			return
		}
	}
}

// run sends requests until the time is over.
func (c *soakCaller) run(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		switch n := c.random.IntN(10); {
		case n < 1:
			c.streamOnce(ctx)
		case n < 3:
			c.stream(ctx)
		case n < 7:
			c.call(ctx, "/book/1")
		default:
			c.call(ctx, "/read/1")
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(soakThinkTime))))
	}
	c.http.CloseIdleConnections()
}

// attempt sends one request, reads the answer with the given function and
// records the attempt. After is the position of the last event received before.
func (c *soakCaller) attempt(ctx context.Context, path, key string, after int, read func(a *soakAttempt, resp *http.Response)) soakAttempt {
	a := soakAttempt{id: c.record.id(), path: path, key: key, address: c.address(ctx), sent: time.Now(), lastEvent: after}
	if a.address == "" {
		time.Sleep(100 * time.Millisecond)
		a.connRefused = true
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	ask := fleet.CallerRequest{ID: a.id, Address: a.address, Path: path, APIKey: key, Deadline: soakDeadline, PromptTokens: 5000, MaxOutputTokens: 360, LastEventID: after}
	req, err := ask.Request(ctx)
	if err != nil {
		panic(err)
	}
	var written atomic.Int64
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}}))
	resp, err := c.http.Do(req)
	if at := written.Load(); at > 0 {
		a.written = time.Unix(0, at)
	}
	if err != nil {
		a.connRefused = errors.Is(err, syscall.ECONNREFUSED)
		a.cut = !a.connRefused
		c.dropAddress(a.address)
		c.record.add(a)
		return a
	}
	a.status, a.answered = resp.StatusCode, time.Now()
	if resp.Header.Get("Server-Leaving") != "" {
		a.leaving = resp.Header.Get("X-Instance-Id")
	}
	read(&a, resp)
	_ = resp.Body.Close() // read has recorded whether the answer is complete
	c.record.add(a)
	return a
}

// dropAddress removes an address that failed from the resolved ones.
func (c *soakCaller) dropAddress(address string) {
	c.lastAddress = ""
	var kept []string
	for _, other := range c.addresses {
		if other != address {
			kept = append(kept, other)
		}
	}
	c.addresses = kept
	if len(kept) == 0 {
		c.resolvedAt = time.Time{}
	}
}

// call makes a call and retries it once if it failed and may run again: reads
// always, bookings only if they have certainly not run.
func (c *soakCaller) call(ctx context.Context, path string) {
	for range 2 {
		a := c.attempt(ctx, path, soakKey, 0, readCall)
		if a.served() || (path == "/book/1" && !a.connRefused && !promisesNotRun(a.status)) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// promisesNotRun reports whether the status promises that the request has not
// run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func readCall(a *soakAttempt, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	a.cut = err != nil
	if resp.StatusCode == http.StatusOK && err == nil && (string(body) != "done "+a.id || resp.Header.Get("X-Server-Signature") == "") {
		a.wrong = fmt.Sprintf("answer %q with receipt %q", body, resp.Header.Get("X-Server-Signature"))
	}
}

// stream reads a stream and resumes it after the last event when it breaks off.
// One stream in ten is cancelled early.
func (c *soakCaller) stream(ctx context.Context) {
	cancelEarly := c.random.IntN(10) == 0
	after := 0
	for range 4 {
		a := c.attempt(ctx, "/log/1", soakKey, after, func(a *soakAttempt, resp *http.Response) { readStream(a, resp, cancelEarly) })
		if a.served() || a.cancelled {
			return
		}
		after = a.lastEvent
		time.Sleep(20 * time.Millisecond)
	}
}

// streamOnce reads a stream that must not be repeated. It retries once if the stream
// has certainly not run.
func (c *soakCaller) streamOnce(ctx context.Context) {
	for range 2 {
		a := c.attempt(ctx, "/tell/1", soakKey, 0, func(a *soakAttempt, resp *http.Response) { readStream(a, resp, false) })
		if !a.connRefused && !promisesNotRun(a.status) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// soakEvents is the number of events of each stream.
const soakEvents = 80

// readStream checks that each event has the next position and belongs to this
// attempt.
func readStream(a *soakAttempt, resp *http.Response, cancelEarly bool) {
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		a.cut = err != nil
		return
	}
	in := bufio.NewReader(resp.Body)
	for {
		event, err := fleet.ReadEvent(in)
		switch {
		case errors.Is(err, io.EOF) && event == "":
			if a.lastEvent != soakEvents {
				a.wrong = fmt.Sprintf("stream ended as complete after event %d", a.lastEvent)
			}
			return
		case err != nil:
			a.cut = true
			return
		case event != fleet.FormatEvent(a.id, a.lastEvent+1):
			a.wrong = fmt.Sprintf("event %q after %d", event, a.lastEvent)
			return
		}
		if a.lastEvent++; cancelEarly && a.lastEvent == soakEvents/8 {
			a.cancelled = true
			return
		}
	}
}
