// Package debugapi defines the debug API, by which a daemon shows operators where a
// request went, and the instances and upstreams as the daemon sees them.
package debugapi

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Paths of the API. All paths take GET. A refusal has an error body, see package
// problem.
const (
	// Prefix is common to all paths.
	Prefix = "/debug/"
	// RequestPath is followed by the request ID. The answer is a Request, or 404
	// once the process no longer has the request. Only an entry process serves it.
	RequestPath = Prefix + "requests/"
	// InstancesPath serves an Instances.
	InstancesPath = Prefix + "instances"
	// UpstreamsPath serves an Upstreams.
	UpstreamsPath = Prefix + "upstreams"
)

// Request is the body of GET RequestPath. It contains neither the prompt nor the text
// of tokens.
type Request struct {
	Request  model.RequestID `json:"request"`
	Model    string          `json:"model,omitempty"`
	Service  string          `json:"service,omitempty"` // of a call to a plain service
	Route    string          `json:"route,omitempty"`   // of the service
	Version  string          `json:"version"`
	Line     model.LineID    `json:"line"`
	Tokens   int             `json:"tokens"` // number of accepted tokens
	State    string          `json:"state"`  // running, waiting, finished, or the code of a refusal
	Attempts []Attempt       `json:"attempts"`
	Resumed  []float64       `json:"resumed_seconds"` // for each lost attempt, the time without output
}

// Attempt is one run of a request on one upstream.
type Attempt struct {
	Number   int              `json:"number"`
	Upstream model.UpstreamID `json:"upstream"`
	Stream   model.StreamID   `json:"stream"` // ID of the stream on the engine
	Version  string           `json:"version"`
	Started  time.Time        `json:"started"`
	Tokens   int              `json:"tokens"`   // number of tokens accepted from this attempt
	Attached bool             `json:"attached"` // attached to the running stream of the previous attempt
	Why      Why              `json:"why"`
	Loss     string           `json:"loss"` // reason why the attempt was lost; empty while it runs and after a regular end
	// Result says how an attempt of a service call ended: the class of the status,
	// not_sent, lost, or superseded (by a faster attempt). It is empty while the
	// attempt runs.
	Result string `json:"result,omitempty"`
}

// Why says why the version and the upstream of an attempt were chosen.
type Why struct {
	Version  generation.VersionRule  `json:"version"`
	Share    float64                 `json:"share"` // of the target version at the time of the choice; 0 without a move
	Upstream generation.UpstreamRule `json:"upstream"`
	// Expected is the estimated time to the first token on the upstream.
	Expected float64 `json:"expected_seconds"`
}

// FromCall returns the Request of a call to a plain service. Its attempts have no
// tokens.
func FromCall(p call.Record) Request {
	reply := Request{Request: p.Request, Service: p.Service, Route: p.Route, State: p.Outcome}
	if p.Outcome == "" {
		reply.State = "running"
	}
	for i, a := range p.Attempts {
		reply.Attempts = append(reply.Attempts, Attempt{
			Number: i + 1, Upstream: a.Upstream, Version: a.Version, Started: a.Started, Result: a.Result,
		})
	}
	return reply
}

// FromRecord returns the Request of a generation.
func FromRecord(r generation.Record) Request {
	reply := Request{
		Request: r.Spec.Request,
		Model:   r.Spec.Model,
		Version: r.Version,
		Line:    r.Line,
		Tokens:  len(r.Tokens),
		State:   state(r),
	}
	for _, past := range r.History {
		reply.Attempts = append(reply.Attempts, attempt(past.Attempt, past.Tokens, past.Reason))
	}
	if r.Attempt.Open {
		reply.Attempts = append(reply.Attempts, attempt(r.Attempt, len(r.Tokens)-r.Attempt.First, ""))
	}
	for _, d := range r.OutageDurations {
		reply.Resumed = append(reply.Resumed, d.Seconds())
	}
	return reply
}

func attempt(a generation.Attempt, tokens int, loss string) Attempt {
	return Attempt{
		Number:   a.Number,
		Upstream: a.Upstream,
		Stream:   a.Stream,
		Version:  a.Version,
		Started:  a.Started,
		Tokens:   tokens,
		Attached: a.Attached,
		Why:      Why{a.Choice.Version, a.Choice.Share, a.Choice.Upstream, a.Expected.Seconds()},
		Loss:     loss,
	}
}

func state(r generation.Record) string {
	switch {
	case r.End == nil && r.Attempt.Open:
		return "running"
	case r.End == nil:
		return "waiting"
	case r.End.Refusal != nil:
		return r.End.Refusal.Code
	default:
		return "finished"
	}
}
