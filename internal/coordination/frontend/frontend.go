// Package frontend holds what every caller-facing front end needs: it identifies
// organisations, accepts generations, finds the generations that callers
// reconnect to, and matches calls to the routes of services. It is independent of
// the encoding of messages; the HTTP server in transport is one user of it.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/access"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	callstate "github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// DefaultOrganisation is the organisation of callers that name none of those in the
// document, if the document requires no credential.
const DefaultOrganisation model.OrganisationID = "default"

// Options configure a Frontend.
type Options struct {
	Instance    model.InstanceID
	Documents   *document.Table
	Generations *generation.Table
	Relay       *relay.Manager
	Replication *replication.Manager
	Calls       *call.Manager
}

// Frontend serves the requests of callers, independently of their encoding.
type Frontend struct {
	opts Options
}

// New returns a Frontend.
func New(opts Options) *Frontend {
	return &Frontend{opts: opts}
}

// NewRequestID returns a new request ID that names this instance as the owner.
func (f *Frontend) NewRequestID() model.RequestID {
	return model.NewRequestID(f.opts.Instance)
}

// Ready returns a refusal while no document is in force.
func (f *Frontend) Ready() *model.Refusal {
	if f.opts.Documents.Current() != nil {
		return nil
	}
	return access.NotReady()
}

// Identify returns the organisation of a caller from its bearer credential or, if
// the document requires no credential, from the name that the caller claims.
func (f *Frontend) Identify(credential, claimedName string) (model.OrganisationID, *model.Refusal) {
	d := f.opts.Documents.Current()
	if d == nil {
		return "", f.Ready()
	}
	presented := access.NewCredential(credential)
	for _, o := range d.Organisations {
		if presented.Matches(o.CredentialSHA256) {
			return o.ID, nil
		}
	}
	if d.RequireCredential {
		return "", access.CredentialRequired("organisation")
	}
	for _, o := range d.Organisations {
		if string(o.ID) == claimedName {
			return o.ID, nil
		}
	}
	return DefaultOrganisation, nil
}

// Generate accepts a generation and starts it. The tokens are read with Reader.
func (f *Frontend) Generate(spec model.GenerationSpec) *model.Refusal {
	d := f.opts.Documents.Current()
	if d == nil {
		return f.Ready()
	}
	if !servesModel(d, spec.Model) {
		return &model.Refusal{
			Code:    "unknown_model",
			Message: fmt.Sprintf("Model %q is not in the environment document.", spec.Model),
			Outcome: model.OutcomeNotRun,
		}
	}
	if spec.Adapter != "" && !hasAdapter(d, spec.Model, spec.Adapter) {
		return &model.Refusal{
			Code:    "unknown_adapter",
			Message: fmt.Sprintf("No engine of model %q has adapter %q in the environment document.", spec.Model, spec.Adapter),
			Outcome: model.OutcomeNotRun,
		}
	}
	f.opts.Relay.Submit(spec)
	return nil
}

func hasAdapter(d *model.Document, modelName, adapter string) bool {
	return slices.ContainsFunc(d.Upstreams, func(u model.Upstream) bool { return u.Serves == modelName && u.Runs("", adapter) })
}

func servesModel(d *model.Document, modelName string) bool {
	for _, m := range d.Models {
		if m.Name == modelName {
			return true
		}
	}
	return false
}

// Reader returns a reader of a generation of this instance, from its first token.
func (f *Frontend) Reader(id model.RequestID) *Reader {
	return f.newLocalReader(id, 0)
}

// Await waits for the end of a generation of this instance and returns its record.
// If ctx ends first, the generation is abandoned: a caller cannot reconnect to an
// answer that is not streamed.
func (f *Frontend) Await(ctx context.Context, id model.RequestID) (generation.Record, error) {
	r, err := f.opts.Generations.AwaitEnd(ctx, id)
	if err != nil {
		f.opts.Relay.Abandon(id)
	}
	return r, err
}

// Resume finds the generation that a caller reconnects to, and takes the generation
// over if its instance is lost. Attempts after a takeover belong to the trace of the
// reconnect, because the span of the first request ended with its instance.
func (f *Frontend) Resume(ctx context.Context, id model.RequestID, line model.LineID, position int) (*Reader, *model.Refusal) {
	// Two callers can try to take over one generation at the same time; the
	// later one finds the record of the other on its next try.
	const tries = 3
	for range tries {
		source, err := f.opts.Replication.Locate(ctx, id, line, position)
		if err != nil {
			return nil, continuationRefusal(err)
		}
		switch source.Kind {
		case replication.SourceLocal:
			return f.newLocalReader(id, position), nil
		case replication.SourceRemote:
			return f.newRemoteReader(id, line, position, source.Reader), nil
		default:
			if parent := model.TraceParent(ctx); parent != "" {
				source.Record.Spec.TraceParent = parent
			}
			if f.opts.Relay.Adopt(ctx, source.Record, line, position) {
				return f.newLocalReader(id, position), nil
			}
		}
	}
	return nil, continuationRefusal(errors.New("another line of the generation runs here"))
}

func continuationRefusal(err error) *model.Refusal {
	return &model.Refusal{
		Code:    "continuation_unavailable",
		Message: fmt.Sprintf("The generation cannot be continued: %v.", err),
		Outcome: model.OutcomeUnknown,
	}
}

// Route returns the service route for a method and path.
func (f *Frontend) Route(method, path string) (service string, route model.Route, ok bool) {
	d := f.opts.Documents.Current()
	if d == nil {
		return "", model.Route{}, false
	}
	for _, s := range d.Services {
		for _, r := range s.Routes {
			if r.Method == method && r.Path == path {
				return s.Name, r, true
			}
		}
	}
	return "", model.Route{}, false
}

// Call runs a call to a plain service and waits for its response. When ctx ends,
// the call runs on, because it may not be safe to repeat.
func (f *Frontend) Call(ctx context.Context, req call.Request) (call.Response, *model.Refusal) {
	type answer struct {
		response call.Response
		refusal  *model.Refusal
	}
	answers := make(chan answer, 1)
	f.opts.Calls.Submit(req, func(r call.Response, refusal *model.Refusal) {
		answers <- answer{r, refusal}
	})
	select {
	case a := <-answers:
		return a.response, a.refusal
	case <-ctx.Done():
		return call.Response{}, &model.Refusal{
			Code:    "caller_left",
			Message: "The caller closed the connection before the answer.",
			Outcome: model.OutcomeUnknown,
		}
	}
}

// ExplainCall returns the record that this instance keeps of a call to a plain
// service.
func (f *Frontend) ExplainCall(id model.RequestID) (callstate.Record, bool) {
	return f.opts.Calls.Explain(id)
}

// Explain returns the record that this instance keeps of a generation.
func (f *Frontend) Explain(id model.RequestID) (generation.Record, bool) {
	return f.opts.Generations.Get(id)
}
