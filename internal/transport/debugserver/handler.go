// Package debugserver serves the debug API for operators: the attempts of a
// request, and the instances and upstreams that a daemon knows, with their
// states. It only reads.
package debugserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/call"
	"github.com/sequoiavalve/sequoiavalve/internal/state/document"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/instance"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/bearer"
)

// agesTimeout limits the wait for the worker that holds the ages.
const agesTimeout = 2 * time.Second

// Options configure the handler of a daemon.
type Options struct {
	Instance    model.InstanceID
	Process     debugapi.Process
	Environment string
	Documents   *document.Table
	Instances   *instance.Table
	Upstreams   *upstream.Table
	// Admit returns a refusal unless the bearer credential is an operator's.
	Admit func(credential string) *model.Refusal
	// Explain and ExplainCall return the record of a generation and of a call to
	// a plain service, if it is still kept. Nil in a process that serves no
	// requests.
	Explain     func(model.RequestID) (generation.Record, bool)
	ExplainCall func(model.RequestID) (call.Record, bool)
	// InstanceAges returns the time since each instance was last heard of. Nil in an
	// entry process, which gets its list of instances from the control process.
	InstanceAges func(ctx context.Context, now time.Time) (map[model.InstanceID]time.Duration, error)
	// ViewAge returns the time since the last contact with the control process,
	// and false if there was none. Nil in a control process.
	ViewAge func(now time.Time) (time.Duration, bool)
	Log     log.Interface
}

// handler serves the paths of debugapi.
type handler struct {
	opts Options
	mux  *http.ServeMux
}

// NewHandler returns the handler of all paths below debugapi.Prefix.
func NewHandler(opts Options) http.Handler {
	opts.Log = opts.Log.WithField("part", "debug")
	h := &handler{opts: opts, mux: http.NewServeMux()}
	h.mux.HandleFunc(debugapi.RequestPath, h.explain)
	h.mux.HandleFunc(debugapi.InstancesPath, h.instances)
	h.mux.HandleFunc(debugapi.UpstreamsPath, h.upstreams)
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP gives the request an ID, and refuses it unless an operator sent it.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(problem.HeaderRequestID, string(model.NewRequestID(h.opts.Instance)))
	if refusal := h.opts.Admit(bearer.Credential(r)); refusal != nil {
		h.refuse(w, refusal)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		h.refuse(w, &model.Refusal{Code: problem.CodeMethodNotAllowed, Message: "Use GET, HEAD.", Outcome: model.OutcomeNotRun})
		return
	}
	h.mux.ServeHTTP(w, r)
}

func (h *handler) refuse(w http.ResponseWriter, refusal *model.Refusal) {
	id := model.RequestID(w.Header().Get(problem.HeaderRequestID))
	h.opts.Log.WithField("request_id", string(id)).WithField("code", refusal.Code).Info("operator's request refused")
	if err := problem.Write(w, id, refusal); err != nil {
		h.opts.Log.WithError(err).Debug("refusal not delivered")
	}
}

func (h *handler) unknownPath(w http.ResponseWriter, _ *http.Request) {
	h.refuse(w, &model.Refusal{
		Code:    problem.CodeUnknownRoute,
		Message: "The " + string(h.opts.Process) + " process serves no such path.",
		Outcome: model.OutcomeNotRun,
	})
}

// explain answers with the attempts of a request while its record is kept.
func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	if h.opts.Explain == nil {
		h.unknownPath(w, r)
		return
	}
	id := model.RequestID(strings.TrimPrefix(r.URL.Path, debugapi.RequestPath))
	if record, ok := h.opts.Explain(id); ok {
		h.writeJSON(w, debugapi.FromRecord(record))
		return
	}
	if past, ok := h.opts.ExplainCall(id); ok {
		h.writeJSON(w, debugapi.FromCall(past))
		return
	}
	h.refuse(w, &model.Refusal{
		Code:    problem.CodeUnknownRequest,
		Message: "This instance does not remember the request.",
		Outcome: model.OutcomeNotRun,
	})
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	ages, err := h.ages(r.Context(), now)
	if err != nil {
		h.refuse(w, &model.Refusal{
			Code:       problem.CodeOverloaded,
			Message:    "The process is too busy to answer.",
			Outcome:    model.OutcomeNotRun,
			RetryAfter: time.Second,
		})
		return
	}
	reply := debugapi.Instances{Viewer: h.viewer(now), Instances: []debugapi.Instance{}}
	for _, in := range h.opts.Instances.All() {
		reply.Instances = append(reply.Instances, debugapi.FromInstance(in, h.age(in.ID, ages, reply.Viewer)))
	}
	h.writeJSON(w, reply)
}

func (h *handler) ages(ctx context.Context, now time.Time) (map[model.InstanceID]time.Duration, error) {
	if h.opts.InstanceAges == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, agesTimeout)
	defer cancel()
	return h.opts.InstanceAges(ctx, now)
}

// age returns the age of the information about one instance in seconds, nil if
// it is unknown.
func (h *handler) age(id model.InstanceID, ages map[model.InstanceID]time.Duration, viewer debugapi.Viewer) *float64 {
	age, found := ages[id]
	switch {
	case id == h.opts.Instance:
		return debugapi.Seconds(0)
	case found:
		return debugapi.Seconds(age)
	}
	return viewer.ViewAge
}

func (h *handler) upstreams(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	reply := debugapi.Upstreams{Viewer: h.viewer(now), Upstreams: []debugapi.Upstream{}}
	for _, row := range h.opts.Upstreams.Serving("") {
		reply.Upstreams = append(reply.Upstreams, debugapi.FromUpstream(row, now))
	}
	h.writeJSON(w, reply)
}

func (h *handler) viewer(now time.Time) debugapi.Viewer {
	v := debugapi.Viewer{Instance: h.opts.Instance, Process: h.opts.Process, Environment: h.opts.Environment, At: now.UTC()}
	if d := h.opts.Documents.Current(); d != nil {
		v.Generation = d.Generation
	}
	if h.opts.ViewAge == nil {
		return v
	}
	if age, known := h.opts.ViewAge(now); known {
		v.ViewAge = debugapi.Seconds(age)
	}
	return v
}

func (h *handler) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		h.opts.Log.Debug("response not delivered")
	}
}
