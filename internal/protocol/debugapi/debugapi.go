// Package debugapi encodes what a daemon tells operators: where one request
// went, and the instances and upstreams as the daemon sees them.
package debugapi

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Paths of the API. All take GET and answer refusals with an error body.
const (
	// Prefix is common to all paths.
	Prefix = "/debug/"
	// RequestPath takes the request ID and answers with a Request, or with 404
	// once the request is forgotten. Only an entry process serves it.
	RequestPath = Prefix + "requests/"
	// InstancesPath answers with Instances.
	InstancesPath = Prefix + "instances"
	// UpstreamsPath answers with Upstreams.
	UpstreamsPath = Prefix + "upstreams"
)

// Request is the body of GET RequestPath. It holds no prompt and no tokens.
type Request struct {
	Request  model.RequestID `json:"request"`
	Model    string          `json:"model,omitempty"`
	Service  string          `json:"service,omitempty"` // of a call to a plain service
	Route    string          `json:"route,omitempty"`   // of the service
	Version  string          `json:"version"`
	Line     model.LineID    `json:"line"`
	Tokens   int             `json:"tokens"` // accepted
	State    string          `json:"state"`  // running, waiting, finished, or the code of a refusal
	Attempts []Attempt       `json:"attempts"`
	Resumed  []float64       `json:"resumed_seconds"` // time without output of each loss
}

// Attempt is one run on one engine.
type Attempt struct {
	Number   int              `json:"number"`
	Upstream model.UpstreamID `json:"upstream"`
	Stream   model.StreamID   `json:"stream"` // as the engine knows it
	Version  string           `json:"version"`
	Started  time.Time        `json:"started"`
	Tokens   int              `json:"tokens"`   // accepted from this attempt
	Attached bool             `json:"attached"` // joined the stream of the attempt before
	Why      Why              `json:"why"`
	Loss     string           `json:"loss"` // reason; empty while it runs and after its end
	// Result is how an attempt of a call ended: the class of the status, or
	// not_sent, lost or superseded by a faster one; empty while it runs.
	Result string `json:"result,omitempty"`
}

// Why says why an attempt ran where it did.
type Why struct {
	Version  generation.VersionRule  `json:"version"`
	Share    float64                 `json:"share"` // of the target version when it was chosen; 0 without a move
	Upstream generation.UpstreamRule `json:"upstream"`
	// Expected is the time to the first token as estimated for the upstream.
	Expected float64 `json:"expected_seconds"`
}

// FromCall describes a call to a plain service. Its attempts have no tokens.
func FromCall(p call.Past) Request {
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

// FromRecord describes a generation.
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
	for _, d := range r.Resumed {
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
