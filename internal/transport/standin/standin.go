// Package standin holds what the stand-ins for outside systems share: JSON
// responses, random draws and faults that can be switched at run time.
//
// A stand-in handles HTTP requests on goroutines of net/http, which only wait,
// and keeps its state in tables with ranked locks. Work that no request drives,
// such as the steps of the engine, runs on a worker pool.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
)

// Lock ranks of the stand-ins' tables. They lie between the ranks of the shared
// tables and the rank of the worker pool, because a test may run a stand-in in
// the process of an instance. No stand-in holds two of its own locks at once.
const (
	RankFaults  lock.Rank = 92
	RankControl lock.Rank = 94
	RankData    lock.Rank = 96
)

// Paths that each stand-in serves next to its published API. Faults do not
// apply to them.
const (
	FaultsPath = "/faults" // GET, PUT
	StatsPath  = "/stats"  // GET
	LeavePath  = "/leave"  // POST engineapi.LeavingNotice
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// ReadBody reads the body of a request.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("request body cannot be read: %w", err)
	}
	return body, nil
}

// ReadJSON decodes the body of a request. An unknown field is an error, so
// that a misspelt fault name is refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("request body is not valid: %w", err)
	}
	return nil
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the client notices a truncated response
}

// CutConnection ends the request without an answer and closes the connection.
func CutConnection() {
	panic(http.ErrAbortHandler)
}

// Faults holds the faults of a stand-in. mu has RankFaults and guards the
// other fields. F is a plain struct that is replaced as a whole.
type Faults[F any] struct {
	mu     lock.Mutex
	faults F
	random *rand.Rand
}

// NewFaults returns a table without faults. The seed determines the results of
// Chance.
func NewFaults[F any](seed uint64) *Faults[F] {
	return &Faults[F]{mu: lock.New(RankFaults), random: rand.New(rand.NewPCG(seed, 0))}
}

// Get returns the faults in force.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the faults.
func (f *Faults[F]) Set(faults F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Chance reports whether an event with the given probability happens.
func (f *Faults[F]) Chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < probability
}

// Update calls update with the faults under the lock, for example to decrement
// the counter of a fault that applies to the next N calls, and returns the
// result of update. update must not call other components.
func (f *Faults[F]) Update(update func(*F) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return update(&f.faults)
}

// Serve registers handlers for GET and PUT of FaultsPath. changed runs after
// each PUT with the new faults.
func (f *Faults[F]) Serve(mux *http.ServeMux, changed func(F)) {
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, f.Get())
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if err := ReadJSON(w, r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(faults)
		changed(faults)
		WriteJSON(w, http.StatusOK, faults)
	})
}

// StopSignal closes once, to signal to waiting handlers that a stand-in stops.
type StopSignal struct {
	once sync.Once
	done chan struct{}
}

// NewGate returns an open gate.
func NewGate() *StopSignal {
	return &StopSignal{done: make(chan struct{})}
}

// Close closes the gate. A second call does nothing.
func (g *StopSignal) Close() {
	g.once.Do(func() { close(g.done) })
}

// Done returns a channel that is closed with the signal.
func (g *StopSignal) Done() <-chan struct{} {
	return g.done
}
