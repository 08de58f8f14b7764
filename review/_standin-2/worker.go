package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is an application worker. It keeps to PROTOCOL.md: it runs a request only if that
// names it in X-Expected-Instance or names no worker, says so if it has not run one, and
// reports draining before it leaves. mu guards the fields below it.
type Worker struct {
	lab      *Lab
	ID       string
	Service  string
	Zone     string
	Address  string
	Slots    int
	WorkTime time.Duration
	// Crashes reports whether a request crashes the worker that runs it, and Crashed is
	// called then; nil means that none does.
	Crashes func(path string) bool
	Crashed func()

	model    *Model // nil for an application worker
	listener net.Listener
	server   *http.Server
	ended    chan struct{}

	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	running  int
	arrivals []Arrival
	began    []Arrival       // runs, with the time at which their requests arrived
	streams  map[string]bool // requests that have their first event
}

// Arrival is a request that reached a worker and that it did not turn away with 421.
type Arrival struct {
	At      time.Time
	Request string
	Path    string
	Tenant  string
	Ran     bool
}

// StartWorker starts a worker that registers itself.
func (l *Lab) StartWorker(id, service, zone string, slots int, workTime time.Duration) *Worker {
	w := l.prepareWorker("127.0.0.1:0", id, service, zone, slots, workTime, time.Now().UnixMilli())
	w.serve()
	return w
}

// prepareWorker returns a worker that does not serve yet.
func (l *Lab) prepareWorker(address, id, service, zone string, slots int, workTime time.Duration, born int64) *Worker {
	listener, err := net.Listen("tcp", address)
	check(err)
	w := &Worker{
		lab: l, ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, WorkTime: workTime,
		listener: listener, ended: make(chan struct{}), born: born, state: "available", streams: map[string]bool{},
	}
	w.server = &http.Server{Handler: w}
	l.mu.Lock()
	l.workers = append(l.workers, w)
	l.mu.Unlock()
	return w
}

func (l *Lab) allWorkers() []*Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Worker(nil), l.workers...)
}

func (w *Worker) serve() {
	go func() { _ = w.server.Serve(w.listener) }()
	w.lab.OnStop(w.Exit)
	w.beat()
	go w.beats()
	w.lab.Note("worker %s of %s starts at %s, born %d", w.ID, w.Service, w.Address, w.born)
}

// Entry returns the worker's entry as it is in the store.
func (w *Worker) Entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": w.state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
}

// beat writes the entry and returns the time of the store's confirmation.
func (w *Worker) beat() time.Time {
	w.mu.Lock()
	w.sequence++
	w.mu.Unlock()
	return w.lab.Put("servers", w.ID, w.Entry())
}

func (w *Worker) beats() {
	ticker := time.NewTicker(beatTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.beat()
		case <-w.ended:
			return
		}
	}
}

// Drain reports draining. It returns the time of the store's confirmation.
func (w *Worker) Drain() time.Time {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	at := w.beat()
	w.lab.NoteAt(at, "the store has confirmed that worker %s is draining", w.ID)
	return at
}

// Exit ends the worker and all its channels at once. Its entry stays.
func (w *Worker) Exit() {
	w.mu.Lock()
	select {
	case <-w.ended:
		w.mu.Unlock()
		return
	default:
	}
	close(w.ended)
	w.mu.Unlock()
	w.lab.Note("worker %s exits", w.ID)
	_ = w.server.Close()
	if w.model != nil {
		w.model.fleet.lose(w.Address)
	}
}

// Arrivals returns the requests that reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Instance-Id", w.ID)
	if id != "" {
		rw.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		return
	case strings.HasPrefix(r.URL.Path, "/v1/") && w.model == nil:
		rw.WriteHeader(http.StatusNotFound)
		return
	case r.URL.Path == "/v1/report":
		w.report(rw)
		return
	case r.URL.Path == "/v1/kv-list":
		_, _ = io.WriteString(rw, `{"epoch":1,"next":1,"held":[]}`)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if id == "" {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.take(r, id) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.give()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.model != nil {
		w.stream(rw, r, id, string(body), arrived)
		return
	}
	w.begins(arrived, id, r)
	w.lab.Note("worker %s of %s runs request %s, %s", w.ID, w.Service, id, r.URL.Path)
	select {
	case <-time.After(w.WorkTime):
	case <-r.Context().Done():
		return
	}
	if w.Crashes != nil && w.Crashes(r.URL.Path) {
		w.lab.Note("request %s crashes worker %s", id, w.ID)
		w.Exit()
		w.Crashed()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("X-Server-Signature", "signed-"+w.ID)
	answer := fmt.Sprintf("%s did %s", w.Service, id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

// take records the request and takes a slot, or returns false if none is free.
func (w *Worker) take(r *http.Request, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := w.running < w.Slots
	w.arrivals = append(w.arrivals, Arrival{At: time.Now(), Request: id, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant-Name"), Ran: ran})
	if ran {
		w.running++
	}
	return ran
}

// begins records that the worker begins to run a request.
func (w *Worker) begins(arrived time.Time, id string, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = append(w.began, Arrival{At: arrived, Request: id, Path: r.URL.Path, Ran: true})
}

// runsAfter returns the runs of requests that arrived at workers after the given time and
// whose ID has the prefix.
func (l *Lab) runsAfter(at time.Time, prefix string) (list []Arrival) {
	for _, w := range l.allWorkers() {
		w.mu.Lock()
		for _, a := range w.began {
			if a.At.After(at) && strings.HasPrefix(a.Request, prefix) {
				list = append(list, a)
			}
		}
		w.mu.Unlock()
	}
	return list
}

func (w *Worker) give() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}
