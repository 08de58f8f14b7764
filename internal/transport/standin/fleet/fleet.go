package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// heartbeatInterval is the time between two writes of a worker's entry.
const heartbeatInterval = 400 * time.Millisecond

// Fleet runs a store and workers on loopback addresses. mu guards the fields below it.
type Fleet struct {
	Store *Store

	address string
	server  *http.Server

	mu           sync.Mutex
	workers      map[string]*Worker     // by address
	streamFaults map[string]StreamFault // by request
}

// Start serves a store on a loopback address; port 0 chooses a free port.
func Start(address string) (*Fleet, error) {
	listener, err := standin.Listen(address)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: NewStore(), address: listener.Addr().String(), workers: map[string]*Worker{}, streamFaults: map[string]StreamFault{}}
	f.server = serve(listener, f.Store)
	return f, nil
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // returns after Close
	return server
}

// StoreAddress returns the store's IP:port.
func (f *Fleet) StoreAddress() string { return f.address }

// Close stops the store and all workers.
func (f *Fleet) Close() error {
	for _, w := range f.Workers("") {
		f.Crash(w)
	}
	return trace.Wrap(f.server.Close())
}

// Workers returns the workers of a service, or all for an empty name.
func (f *Fleet) Workers(service string) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*Worker
	for _, w := range f.workers {
		if service == "" || w.opts.Service == service {
			found = append(found, w)
		}
	}
	return found
}

// Add starts a worker and registers it.
func (f *Fleet) Add(opts WorkerOptions) (*Worker, error) {
	listener, err := standin.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	if opts.Advertise != nil {
		address = opts.Advertise(address)
	}
	w := &Worker{fleet: f, opts: opts, listener: listener, address: address, kvCopies: map[string]int{}, cachedPrompts: map[string]int{}, prefillSlot: make(chan struct{}, 1), stopped: make(chan struct{})}
	w.server = serve(listener, w)
	f.mu.Lock()
	f.workers[w.address] = w
	f.mu.Unlock()
	w.register(stateAvailable)
	go w.renewEntry()
	return w, nil
}

// Crash stops a worker and cuts its connections at once. Its entry stays in the
// store.
func (f *Fleet) Crash(w *Worker) {
	w.crash.Do(func() {
		f.mu.Lock()
		delete(f.workers, w.address)
		f.mu.Unlock()
		close(w.stopped)
		_ = w.server.Close() // Close cuts the connections even if it returns an error
	})
}

// Drain sets the state in the entry of a worker to draining. The worker goes on
// serving, and says in its answers that it leaves.
func (f *Fleet) Drain(w *Worker) {
	w.SetLeaving()
	f.DrainEntry(w)
}

// DrainEntry sets the state in the entry of a worker to draining. The worker's answers do
// not say that it leaves.
func (f *Fleet) DrainEntry(w *Worker) { w.register(stateDraining) }

// RemoveEntry removes the entry of a worker, which does not write it again. The worker goes
// on serving.
func (f *Fleet) RemoveEntry(w *Worker) {
	w.entry.Lock()
	defer w.entry.Unlock()
	w.drains, w.entryEra = true, f.Store.Era()
	f.Store.Remove("servers", w.opts.ID)
}

// storeKVCopy records that the worker at the address holds a copy of a request's
// KV cache up to the position.
func (f *Fleet) storeKVCopy(address, request string, position int) {
	f.mu.Lock()
	w := f.workers[address]
	f.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kvCopies[request] = position
}

// States in the entry of a worker.
const (
	stateAvailable = "available"
	stateDraining  = "draining"
)

// register writes the worker's entry to the store with the given state. A worker that
// drains does not become available again, and writes its entry once more when the store was
// restored.
func (w *Worker) register(state string) {
	w.entry.Lock()
	defer w.entry.Unlock()
	era := w.fleet.Store.Era()
	if w.drains && w.entryEra == era {
		return
	}
	w.entryEra = era
	w.drains = w.drains || state == stateDraining
	if w.drains {
		state = stateDraining
	}
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.opts.Service, "address": w.address, "zone": w.opts.Zone, "version": w.Version(),
		"slots": w.opts.Slots, "state": state, "sequence": w.sequence, "coldRemainingMs": 0,
	}
	w.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(fmt.Sprintf("fleet: encoding the entry of a worker: %v", err)) // strings and numbers always encode
	}
	w.fleet.Store.Put("servers", w.opts.ID, data)
}

// renewEntry writes the entry at each heartbeat until the worker crashes. The
// entry of a draining worker is not renewed but after a restore of the store.
func (w *Worker) renewEntry() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.register(stateAvailable)
		case <-w.stopped:
			return
		}
	}
}
