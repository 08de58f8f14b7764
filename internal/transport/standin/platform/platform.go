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
	Seed        uint64 // of the faults' chance
	WeightBytes int    // length of each weight answer; zero means 1 KiB
	Faults      Faults // in force from the start
}

// Platform serves the platform's API, FaultsPath and StatsPath. It is an
// http.Handler and starts no goroutine of its own.
type Platform struct {
	mux         *http.ServeMux
	data        *data
	directory   *directory
	faults      *standin.Faults[Faults]
	counters    counters
	reads       limit
	writes      limit
	weights     limit
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
	p.read("GET /tables/{table}/rows/{key...}", &p.reads, p.getRow)
	p.read("GET /tables/{table}/rows", &p.reads, p.listRows)
	p.read("GET /objects/{key...}", &p.reads, p.getObject)
	p.read("GET /weights/{name...}", &p.weights, p.getWeights)
	p.read("GET /instances", &p.reads, p.listInstances)
	p.write("PUT /tables/{table}/rows/{key...}", p.putRow)
	p.write("DELETE /tables/{table}/rows/{key...}", p.deleteRow)
	p.write("PUT /objects/{key...}", p.putObject)
	p.write("PUT /instances/{id...}", p.putInstance)
	p.write("DELETE /instances/{id...}", p.deleteInstance)
	p.faults.Serve(p.mux, p.applyRates)
	p.mux.HandleFunc("GET "+standin.StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, p.Stats())
	})
}

// read serves a pattern whose calls change nothing.
func (p *Platform) read(pattern string, calls *limit, serve http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.counters.reads.Add(1)
		if p.admit(w, r, calls) {
			serve(w, r)
		}
	})
}

// write serves a pattern whose calls change the data. A write whose answer is
// lost runs with an answer that goes nowhere.
func (p *Platform) write(pattern string, serve http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.counters.writes.Add(1)
		if !p.admit(w, r, &p.writes) {
			return
		}
		switch p.drawWriteFault() {
		case writeWorks:
			serve(w, r)
		case writeRequestLost:
			p.counters.lostRequests.Add(1)
			standin.CutConnection()
		case writeAnswerLost:
			serve(&discardAnswer{header: http.Header{}}, r)
			p.counters.lostAnswers.Add(1)
			standin.CutConnection()
		case writeAnswerFails:
			serve(&discardAnswer{header: http.Header{}}, r)
			refuse(w, http.StatusInternalServerError, "internal", "internal error")
		}
	})
}

// admit applies latency, outage and rate. It answers and returns false when
// the call goes no further.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, calls *limit) bool {
	faults := p.faults.Get()
	if wait.Sleep(r.Context(), faults.latency()) != nil {
		standin.CutConnection()
	}
	if faults.Down {
		refuse(w, http.StatusServiceUnavailable, platformapi.CodeNotApplied, "the platform is down; the request had no effect")
		return false
	}
	seconds := calls.take()
	if seconds == 0 {
		return true
	}
	p.counters.rateLimited.Add(1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	refuse(w, http.StatusTooManyRequests, platformapi.CodeRateLimited, "over the rate; the request had no effect")
	return false
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	standin.WriteJSON(w, status, platformapi.ErrorReply{Error: platformapi.Problem{Code: code, Message: message}})
}

// discardAnswer is the answer of a write whose caller never sees it.
type discardAnswer struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discardAnswer) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardAnswer) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardAnswer) WriteHeader(int) {}
