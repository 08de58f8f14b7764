package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a model worker: those of the sheet of kallio-paisto.
const (
	eventInterval  = 31 * time.Millisecond  // an event has 6 tokens of 5.18 ms each
	tokensPerMs    = 5                      // prompt tokens that are read in a ms
	replicaTime    = 150 * time.Millisecond // "several times per second"
	handleTTL      = 4 * time.Second        // handleTtlS
	eventsOfStream = 130
)

// Model makes a worker one that runs streams. Its requests hold events until their end.
type Model struct {
	fleet *Models
	// CrashOn is a part of the body of requests that crash the worker CrashAfter after it
	// has begun to run them; empty means none.
	CrashOn    string
	CrashAfter time.Duration
	// Crashed is called, if it is not nil, when such a request has crashed the worker.
	Crashed func(w *Worker, request string)
}

// Models knows the model workers by address, and the copies of the memory of runs. mu guards
// the fields below it.
type Models struct {
	mu      sync.Mutex
	workers map[string]*Worker
	copies  map[copyKey]time.Time // time of the last part
}

type copyKey struct{ holder, request string }

func newModels() *Models {
	return &Models{workers: map[string]*Worker{}, copies: map[copyKey]time.Time{}}
}

// keep records that the worker at the address has the memory of a run, if it is there.
func (m *Models) keep(address, request string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workers[address] != nil {
		m.copies[copyKey{address, request}] = time.Now()
	}
}

// take removes a copy and reports whether it was there.
func (m *Models) take(address, request string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := copyKey{address, request}
	at, found := m.copies[k]
	delete(m.copies, k)
	return found && time.Since(at) < handleTTL
}

// lose forgets a worker and the copies that it has.
func (m *Models) lose(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.workers, address)
	for k := range m.copies {
		if k.holder == address {
			delete(m.copies, k)
		}
	}
}

// StartModel starts a model worker.
func (l *Lab) StartModel(models *Models, address, id, service, zone string, model Model) *Worker {
	w := l.prepareWorker(address, id, service, zone, 64, 0, time.Now().UnixMilli())
	model.fleet = models
	w.model = &model
	models.mu.Lock()
	models.workers[w.Address] = w
	models.mu.Unlock()
	w.serve()
	return w
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := [][]any{}
	for id := range w.streams {
		runs = append(runs, []any{id, 5000, 1, 5})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"phase": "unified", "modelList": []any{map[string]any{"name": "m", "version": 1, "adapterList": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": w.running, "kvUsage": 5000 * w.running, "kvLimit": 55000, "handles": 0, "runCount": runs, "born": w.born,
	})
}

// stream runs a request for a stream.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id, body string, arrived time.Time) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from := r.Header.Get("Kv-From"); from != "" {
		_, name, _ := strings.Cut(from, "/")
		if !w.model.fleet.take(w.Address, name) {
			rw.Header().Set("X-Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
		tokens, _ := strconv.Atoi(prompt)
		if !pause(r, time.Duration(tokens/tokensPerMs)*time.Millisecond) {
			return
		}
	}
	w.begins(arrived, id, r)
	w.lab.Note("worker %s runs request %s, %s, after event %d", w.ID, id, r.URL.Path, after)
	w.mu.Lock()
	w.streams[id] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.streams, id)
		w.mu.Unlock()
	}()
	begun, copied := time.Now(), time.Now()
	deadly := w.model.CrashOn != "" && strings.Contains(body, w.model.CrashOn)
	rw.Header().Set("X-Server-Signature", "signed-"+w.ID)
	rw.Header().Set("Content-Type", "text/event-stream")
	replica := r.Header.Get("X-Kv-Replica")
	for position := after + 1; position <= eventsOfStream; position++ {
		if !pause(r, eventInterval) {
			return
		}
		if deadly && time.Since(begun) >= w.model.CrashAfter {
			w.lab.Note("request %s crashes worker %s", id, w.ID)
			w.Exit()
			w.model.Crashed(w, id)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s of %s\n\n", position, strings.Repeat("x", 24), id); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		if replica != "" && time.Since(copied) >= replicaTime {
			copied = time.Now()
			w.model.fleet.keep(replica, id)
		}
	}
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// streamResult is how a stream ended for its consumer.
type streamResult struct {
	Status int
	Last   int    // position of the last event
	Fault  string // of the order of the events
	Whole  bool   // the answer has its end
	Err    string
}

// readStream sends a request for a stream and reads its events.
func readStream(address, path, id, body string, after int, limit time.Duration) streamResult {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return streamResult{Err: err.Error()}
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Remaining": strconv.FormatInt(limit.Milliseconds(), 10), "Authorization": "Token " + key, "X-Model-Id": "m",
		"X-Token-Usage": "5200,780", "X-Prompt-Prefix": "5c1e07a2:200," + strings.Trim(fmt.Sprintf("%x", body), " ") + ":5000",
	} {
		req.Header.Set(name, value)
	}
	if after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return streamResult{Err: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	got := streamResult{Status: resp.StatusCode, Last: after}
	text, err := io.ReadAll(resp.Body)
	got.Whole = err == nil
	if err != nil {
		got.Err = err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		got.Err = string(text)
		return got
	}
	for event := range strings.SplitSeq(string(text), "\n\n") {
		line, _, _ := strings.Cut(event, "\n")
		number, found := strings.CutPrefix(line, "id: ")
		if !found {
			continue
		}
		position, _ := strconv.Atoi(number)
		if position != got.Last+1 && got.Fault == "" {
			got.Fault = fmt.Sprintf("event %d follows event %d", position, got.Last)
		}
		got.Last = position
	}
	return got
}
