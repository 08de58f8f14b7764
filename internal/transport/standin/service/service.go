// Package service is a stand-in for a service that is not a model engine. It
// counts how often each call was executed and does not deduplicate repeats: a
// non-idempotent call that is sent twice takes effect twice.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// ExecutionsPath answers GET with Executions.
const ExecutionsPath = "/executions"

// HeaderIdempotencyKey is the header with the idempotency key of a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// Route is one path of the service.
type Route struct {
	Method     string
	Path       string
	Idempotent bool
}

// String returns the route as in Executions.ByRoute.
func (r Route) String() string {
	return r.Method + " " + r.Path
}

// Options configure a Service.
type Options struct {
	Name    string
	Version string
	Routes  []Route
	Seed    uint64 // for the random draws of the faults
	Faults  Faults // initial faults
	OnLeft  func() // runs when the deadline of a leaving notice has passed
}

// Service serves the routes, engineapi.HealthPath, ExecutionsPath, FaultsPath,
// StatsPath and LeavePath. It is an http.Handler for a server of net/http.
// Health and the headers for version, incarnation and leaving are those of the
// engine API, so that one health check works for both kinds of upstream.
type Service struct {
	opts        Options
	mux         *http.ServeMux
	executions  *executions
	faults      *standin.Faults[Faults]
	incarnation uint64
	running     atomic.Int64
	leaving     atomic.Bool
	stop        *standin.StopSignal
}

// Answer is the body of a successful call.
type Answer struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Route      string `json:"route"`
	Key        string `json:"key,omitempty"`
	Executions int64  `json:"executions"`  // of this key so far, with this call
	BodySHA256 string `json:"body_sha256"` // of the request body, so that an answer to another request is detected
}

// New returns a service. Close ends the calls that wait in a fault.
func New(opts Options) *Service {
	s := &Service{
		opts:        opts,
		mux:         http.NewServeMux(),
		executions:  newExecutions(),
		faults:      standin.NewFaults[Faults](opts.Seed),
		incarnation: uint64(time.Now().UnixNano()),
		stop:        standin.NewGate(),
	}
	s.faults.Set(opts.Faults)
	s.routes()
	return s
}

// Close cuts the connections of the calls that wait in a fault.
func (s *Service) Close() {
	s.stop.Close()
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.faults.Set(faults)
}

// Executions returns the counts.
func (s *Service) Executions() Executions {
	return s.executions.snapshot()
}

// Leave announces that the service stops after the deadline. Only the first call
// has an effect.
func (s *Service) Leave(deadline time.Duration) {
	if s.leaving.CompareAndSwap(false, true) && s.opts.OnLeft != nil {
		time.AfterFunc(deadline, s.opts.OnLeft)
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderVersion, s.opts.Version)
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(s.incarnation, 10))
	if s.leaving.Load() {
		w.Header().Set(engineapi.HeaderLeaving, "true")
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) routes() {
	for _, route := range s.opts.Routes {
		s.mux.HandleFunc(route.String(), func(w http.ResponseWriter, r *http.Request) { s.call(w, r, route) })
	}
	s.mux.HandleFunc("GET "+engineapi.HealthPath, s.health)
	s.mux.HandleFunc("POST "+standin.LeavePath, s.leave)
	for _, path := range []string{ExecutionsPath, standin.StatsPath} {
		s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			standin.WriteJSON(w, http.StatusOK, s.Executions())
		})
	}
	s.faults.Serve(s.mux, func(Faults) {})
}

// call handles one call of a route, subject to the faults.
func (s *Service) call(w http.ResponseWriter, r *http.Request, route Route) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := standin.ReadBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.drawFaults(route)
	if faults.cutRequest || !s.wait(r.Context(), faults.rule.delay()) {
		standin.CutConnection()
	}
	if faults.rule.Hang {
		s.hang(r.Context())
	}
	if faults.fail {
		http.Error(w, "the service failed before it ran the call", http.StatusInternalServerError)
		return
	}
	answer := s.execute(r, route, body)
	if faults.cutAnswer || !s.wait(r.Context(), faults.rule.answerDelay()) {
		standin.CutConnection()
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

// execute counts the call; the count is its only effect.
func (s *Service) execute(r *http.Request, route Route, body []byte) Answer {
	key := r.Header.Get(HeaderIdempotencyKey)
	sum := sha256.Sum256(body)
	return Answer{
		Service:    s.opts.Name,
		Version:    s.opts.Version,
		Route:      route.String(),
		Key:        key,
		Executions: s.executions.record(route, key, s.leaving.Load()),
		BodySHA256: hex.EncodeToString(sum[:]),
	}
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	status := engineapi.StatusUp
	if s.leaving.Load() {
		status = engineapi.StatusLeaving
	}
	standin.WriteJSON(w, http.StatusOK, engineapi.Health{
		Status:      status,
		Model:       s.opts.Name,
		Version:     s.opts.Version,
		Incarnation: s.incarnation,
		Running:     int(s.running.Load()),
		LoadAt:      time.Now(),
	})
}

func (s *Service) leave(w http.ResponseWriter, r *http.Request) {
	var notice engineapi.LeavingNotice
	if err := standin.ReadJSON(w, r, &notice); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Leave(time.Duration(notice.DeadlineMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// wait sleeps for the delay. It reports false if the call or the service ended
// first.
func (s *Service) wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.stop.Done():
		return false
	}
}

// hang waits until the call or the service ends, and cuts the connection.
func (s *Service) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.stop.Done():
	}
	standin.CutConnection()
}
