package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WorkerOptions describe a worker.
type WorkerOptions struct {
	ID      string
	Service string
	Zone    string
	Version string // of the worker's software; empty means v1
	Slots   int
	// FailEvery makes an application worker answer each nth request with 500; 0
	// means never.
	FailEvery int
	// CrashOn is the path of requests that crash the worker when it begins to
	// execute them; empty means none. After the crash, OnCrash is called in a new
	// goroutine.
	CrashOn string
	// CrashOnPart is the ID of a part of prompts that crashes the worker within the
	// first event of its answer; empty means none. Its connections then end without a
	// reset.
	CrashOnPart string
	OnCrash     func(w *Worker)
	// Events is the number of events of each stream. 0 makes an application
	// worker, which does not stream its answers.
	Events      int
	Interval    time.Duration // between events
	PrefillTime time.Duration // time to process a prompt that is not cached
	// SerialPrefill makes the worker process one prompt at a time, as the batch of
	// an engine does.
	SerialPrefill  bool
	WorkTime       time.Duration // time that an application worker takes for a request
	KVCopyInterval time.Duration // shortest time between two updates of a KV cache copy
	// Advertise returns the address that the worker registers, for example the
	// address of a proxy in front of the worker. Nil means the listening address.
	Advertise func(listen string) string
}

// Run is one execution of a request by a worker.
type Run struct {
	Request      string
	Tenant       string
	ResumedAfter int    // position after which the stream resumed
	FromKVCopy   bool   // the stream resumed from a KV cache copy
	Prefilled    bool   // the prompt was processed, as it was not cached
	PromptPrefix string // value of X-Prompt-Prefix
	Key          string
	Began        time.Time
	Ended        time.Time // zero while the run lasts
}

// Worker is a model worker or an application worker. entry orders the writes of its
// entry, guards drains and entryEra and is taken before mu, which guards the fields below it.
type Worker struct {
	fleet *Fleet
	opts  WorkerOptions

	prefillSlot chan struct{} // semaphore of capacity 1 for SerialPrefill
	crash       sync.Once

	entry    sync.Mutex
	drains   bool   // the entry says that the worker drains
	entryEra uint64 // era of the store in which the entry was last written

	mu            sync.Mutex
	server        *http.Server
	listener      net.Listener
	address       string // that the worker registers
	running       int
	runs          []Run
	cachedPrompts map[string]int // number of cached tokens by ID of the longest prompt prefix
	kvCopies      map[string]int // by request: position up to which a KV cache copy reaches
	full          bool           // the worker rejects all requests
	leaving       bool           // the worker says in its answers that it leaves
	silentUntil   time.Time      // until then the worker sends nothing
	pausedUntil   time.Time      // until then the worker rejects all requests and asks for a pause
	rejected      []Rejection
	stopped       chan struct{} // closed by a crash, to end the heartbeats
	sequence      int
}

// Address returns the IP:port that the worker registers.
func (w *Worker) Address() string { return w.address }

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.opts.ID }

// Version returns the version of the worker's software.
func (w *Worker) Version() string { return cmp.Or(w.opts.Version, "v1") }

// Runs returns the runs of all requests so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Running returns the number of requests that occupy a slot.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// Rejection is a request that a worker turned away with a request for a pause.
type Rejection struct {
	Request string
	At      time.Time
	Until   time.Time // end of the pause that the worker asked for
}

// Pause makes the worker reject all requests for the given time and ask for a pause of
// the time that is left.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pausedUntil = time.Now().Add(d)
}

// Silence makes the worker send nothing for the given time, neither events nor answers,
// and begin no request. It goes on afterwards.
func (w *Worker) Silence(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(d)
}

// waitSilence waits for the end of a silence. It reports false if the caller
// disconnected first.
func (w *Worker) waitSilence(r *http.Request) bool {
	for {
		w.mu.Lock()
		left := time.Until(w.silentUntil)
		w.mu.Unlock()
		if left <= 0 {
			return true
		}
		if !pause(r, left) {
			return false
		}
	}
}

// Rejections returns the requests that the worker turned away in its pauses.
func (w *Worker) Rejections() []Rejection {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Rejection(nil), w.rejected...)
}

// rejectInPause rejects a request in a pause, and reports whether it did.
func (w *Worker) rejectInPause(rw http.ResponseWriter, r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	left := w.pausedUntil.Sub(now)
	if left <= 0 {
		return false
	}
	w.rejected = append(w.rejected, Rejection{Request: r.Header.Get("X-Attempt-Id"), At: now, Until: w.pausedUntil})
	rw.Header().Set("X-Not-Executed", "1")
	rw.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	rw.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// SetLeaving makes the worker say in all its answers that it leaves. Its entry in the
// store stays as it is.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// SetFull makes the worker reject all requests without executing them.
func (w *Worker) SetFull(full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.full = full
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !w.waitSilence(r) {
		return
	}
	rw.Header().Set("X-Instance-Id", w.opts.ID)
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		rw.Header().Set("X-Attempt-Id", id) // in refusals too
	}
	if w.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.opts.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		w.report(rw)
		return
	case "/v1/kv-list":
		w.listKV(rw)
		return
	}
	if w.rejectInPause(rw, r) {
		return
	}
	if !w.acquireSlot() {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.releaseSlot()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.opts.CrashOn == r.URL.Path {
		w.recordRun(Run{Request: r.Header.Get("X-Attempt-Id"), Tenant: r.Header.Get("X-Tenant-Name")})
		w.fleet.Crash(w)
		go w.opts.OnCrash(w)
		panic(http.ErrAbortHandler)
	}
	if w.opts.Events > 0 {
		w.stream(rw, r)
		return
	}
	w.call(rw, r)
}

func (w *Worker) acquireSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.full || w.running >= w.opts.Slots {
		return false
	}
	w.running++
	return true
}

func (w *Worker) releaseSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"phase": "unified", "queued": 0, "active": w.running}) // the client notices a truncated response
}

// listKV answers with the prompt prefixes in the KV cache.
func (w *Worker) listKV(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := [][]any{}
	for part, tokens := range w.cachedPrompts {
		held = append(held, []any{"", part, tokens, "m"})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"epoch": 1, "next": 1, "held": held}) // the client notices a truncated response
}

// needsPrefill reports whether the last prefix of the prompt is not cached yet, and
// adds it to the cache. A prompt without a valid prefix always needs a prefill.
func (w *Worker) needsPrefill(prefixes string) bool {
	last := prefixes[strings.LastIndex(prefixes, ",")+1:]
	part, count, found := strings.Cut(last, ":")
	if !found {
		return true
	}
	tokens, err := strconv.Atoi(count)
	if err != nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, cached := w.cachedPrompts[part]
	w.cachedPrompts[part] = tokens
	return !cached
}

// recordRun records the start of a run and returns a function that records its
// end.
func (w *Worker) recordRun(run Run) (ended func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.Began = time.Now()
	index := len(w.runs)
	w.runs = append(w.runs, run)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runs[index].Ended = time.Now()
	}
}

func (w *Worker) sign(rw http.ResponseWriter) {
	rw.Header().Set("X-Server-Signature", "signed-"+w.opts.ID)
}

func (w *Worker) call(rw http.ResponseWriter, r *http.Request) {
	defer w.recordRun(Run{Request: r.Header.Get("X-Attempt-Id"), Tenant: r.Header.Get("X-Tenant-Name"), Key: r.Header.Get("Authorization")})()
	if !pause(r, w.opts.WorkTime) || !w.waitSilence(r) {
		return
	}
	w.sign(rw)
	if w.failsNow() {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(rw, "done %s", r.Header.Get("X-Attempt-Id")) // callers are tested with lost answers
}

// prefill waits for the time that a prompt takes. It reports false if the caller
// disconnected first.
func (w *Worker) prefill(r *http.Request) bool {
	if w.opts.SerialPrefill {
		select {
		case w.prefillSlot <- struct{}{}:
			defer func() { <-w.prefillSlot }()
		case <-r.Context().Done():
			return false
		}
	}
	return pause(r, w.opts.PrefillTime)
}

// failsNow reports whether FailEvery applies to the request that is being
// answered.
func (w *Worker) failsNow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opts.FailEvery > 0 && len(w.runs)%w.opts.FailEvery == 0
}

// pause waits for d. It reports false if the caller disconnected first.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
