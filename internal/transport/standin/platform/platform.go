// Package platform is an in-memory stand-in for the platform's API, with
// faults that can be switched while it runs.
package platform

import (
	"net/http"
	"strconv"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

const defaultWeightBytes = 1024

// Options configure a Platform.
type Options struct {
	Seed        uint64 // for the random draws of the faults
	WeightBytes int    // length of each answer with weights; zero means 1 KiB
	Faults      Faults // initial faults
}

// Platform serves the platform's API, FaultsPath and StatsPath. It is an
// http.Handler and starts no goroutine of its own.
type Platform struct {
	mux         *http.ServeMux
	data        *data
	directory   *directory
	faults      *standin.Faults[Faults]
	counters    counters
	reads       rateLimit
	writes      rateLimit
	weights     rateLimit
	weightBytes int
}

// New returns an empty platform.
func New(opts Options) *Platform {
	p := &Platform{
		mux:         http.NewServeMux(),
		data:        newData(),
		directory:   newDirectory(),
		faults:      standin.NewFaults[Faults](opts.Seed),
		weightBytes: opts.WeightBytes,
	}
	if p.weightBytes == 0 {
		p.weightBytes = defaultWeightBytes
	}
	p.SetFaults(opts.Faults)
	p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.faults.Set(faults)
	p.applyRates(faults)
}

func (p *Platform) applyRates(faults Faults) {
	p.reads.set(faults.ReadsPerSecond)
	p.writes.set(faults.WritesPerSecond)
	p.weights.set(faults.WeightsPerSecond)
}

func (p *Platform) routes() {
	p.handleRead("GET /tables/{table}/rows/{key...}", &p.reads, p.getRow)
	p.handleRead("GET /tables/{table}/rows", &p.reads, p.listRows)
	p.handleRead("GET /objects/{key...}", &p.reads, p.getObject)
	p.handleRead("GET /weights/{name...}", &p.weights, p.getWeights)
	p.handleRead("GET /instances", &p.reads, p.listInstances)
	p.handleWrite("PUT /tables/{table}/rows/{key...}", p.putRow)
	p.handleWrite("DELETE /tables/{table}/rows/{key...}", p.deleteRow)
	p.handleWrite("PUT /objects/{key...}", p.putObject)
	p.handleWrite("PUT /instances/{id...}", p.putInstance)
	p.handleWrite("DELETE /instances/{id...}", p.deleteInstance)
	p.faults.Serve(p.mux, p.applyRates)
	p.mux.HandleFunc("GET "+standin.StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, p.Stats())
	})
}

// handleRead registers a handler for calls that change no data.
func (p *Platform) handleRead(pattern string, limit *rateLimit, serve http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.counters.reads.Add(1)
		if p.admit(w, r, limit) {
			serve(w, r)
		}
	})
}

// handleWrite registers a handler for calls that change data. A write whose
// answer is to be lost is applied with a response writer that discards the
// answer.
func (p *Platform) handleWrite(pattern string, serve http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.counters.writes.Add(1)
		if !p.admit(w, r, &p.writes) {
			return
		}
		switch p.drawWriteFault() {
		case writeNoFault:
			serve(w, r)
		case writeRequestLost:
			p.counters.lostRequests.Add(1)
			standin.CutConnection()
		case writeAnswerLost:
			serve(&discardingWriter{header: http.Header{}}, r)
			p.counters.lostAnswers.Add(1)
			standin.CutConnection()
		case writeAnswerFails:
			serve(&discardingWriter{header: http.Header{}}, r)
			writeError(w, http.StatusInternalServerError, "internal", "internal error")
		}
	})
}

// admit applies the faults for latency, outage and rate limits. If the call is
// refused, admit sends the refusal and returns false.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rateLimit) bool {
	faults := p.faults.Get()
	if wait.Sleep(r.Context(), faults.latency()) != nil {
		standin.CutConnection()
	}
	if faults.Down {
		writeError(w, http.StatusServiceUnavailable, platformapi.CodeNotApplied, "the platform is down; the request had no effect")
		return false
	}
	seconds := limit.take()
	if seconds == 0 {
		return true
	}
	p.counters.rateLimited.Add(1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeError(w, http.StatusTooManyRequests, platformapi.CodeRateLimited, "over the rate; the request had no effect")
	return false
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	standin.WriteJSON(w, status, platformapi.ErrorReply{Error: platformapi.Problem{Code: code, Message: message}})
}

// discardingWriter is an http.ResponseWriter that discards the answer of a write.
type discardingWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discardingWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardingWriter) WriteHeader(int) {}
