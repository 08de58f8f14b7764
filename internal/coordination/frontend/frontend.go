// Package frontend is what every caller-facing front end needs: it identifies
// organisations, accepts generations, finds the generations that callers
// reconnect to, and matches calls to the routes of services. It knows no
// encoding; the HTTP server in transport is one user of it.
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

// DefaultOrganisation takes the requests of callers that name none, where the
// document asks for no credential.
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

// Frontend serves callers.
type Frontend struct {
	opts Options
}

// New returns a Frontend.
func New(opts Options) *Frontend {
	return &Frontend{opts: opts}
}

// NewRequestID returns an ID that names this instance as the owner.
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

// Identify returns the organisation of a caller from its bearer credential, or
// from the name that it claims where the document asks for no credential.
func (f *Frontend) Identify(credential, claimed string) (model.OrganisationID, *model.Refusal) {
	d := f.opts.Documents.Current()
	if d == nil {
		return "", f.Ready()
	}
	given := access.NewCredential(credential)
	for _, o := range d.Organisations {
		if given.Is(o.CredentialSHA256) {
			return o.ID, nil
		}
	}
	if d.RequireCredential {
		return "", access.Required("organisation")
	}
	for _, o := range d.Organisations {
		if string(o.ID) == claimed {
			return o.ID, nil
		}
	}
	return DefaultOrganisation, nil
}

// Generate accepts a generation. Its reader shows the tokens.
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

func hasAdapter(d *model.Document, name, adapter string) bool {
	return slices.ContainsFunc(d.Upstreams, func(u model.Upstream) bool { return u.Serves == name && u.Runs("", adapter) })
}

func servesModel(d *model.Document, name string) bool {
	for _, m := range d.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// Reader returns a reader of a local generation from its start.
func (f *Frontend) Reader(id model.RequestID) *Reader {
	return f.local(id, 0)
}

// Await waits for the end of a local generation without showing its tokens.
// When ctx ends first, the generation is abandoned: nobody can reconnect to an
// answer that is not streamed.
func (f *Frontend) Await(ctx context.Context, id model.RequestID) (generation.Record, error) {
	r, err := f.opts.Generations.Await(ctx, id)
	if err != nil {
		f.opts.Relay.Abandon(id)
	}
	return r, err
}

// Resume finds the generation that a caller reconnects to. The attempts of one
// that is taken over continue the trace of the reconnect, because the span of
// the first request ended with its instance.
func (f *Frontend) Resume(ctx context.Context, id model.RequestID, line model.LineID, position int) (*Reader, *model.Refusal) {
	// Two callers can take over one generation at the same time; the second
	// one finds the first one's record on its next try.
	const tries = 3
	for range tries {
		source, err := f.opts.Replication.Locate(ctx, id, line, position)
		if err != nil {
			return nil, notLocated(err)
		}
		switch source.Kind {
		case replication.SourceLocal:
			return f.local(id, position), nil
		case replication.SourceRemote:
			return f.remote(id, line, position, source.Reader), nil
		default:
			if parent := model.TraceParent(ctx); parent != "" {
				source.Record.Spec.TraceParent = parent
			}
			if f.opts.Relay.Adopt(ctx, source.Record, line, position) {
				return f.local(id, position), nil
			}
		}
	}
	return nil, notLocated(errors.New("another line of the generation runs here"))
}

func notLocated(err error) *model.Refusal {
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

// Call runs a call to a plain service and waits for its answer. The call goes
// on when ctx ends, because it may not be repeatable.
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

// ExplainCall returns what is remembered of a call to a plain service.
func (f *Frontend) ExplainCall(id model.RequestID) (callstate.Past, bool) {
	return f.opts.Calls.Explain(id)
}

// Explain returns what is remembered of a generation.
func (f *Frontend) Explain(id model.RequestID) (generation.Record, bool) {
	return f.opts.Generations.Get(id)
}
