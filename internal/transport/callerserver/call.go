package callerserver

import (
	"fmt"
	"net/http"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/call"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/tracecontext"
)

// headerIdempotencyKey is the header with the key of a call. A retry with the
// same key does not run the call again.
const headerIdempotencyKey = "Idempotency-Key"

// call handles a call to a plain service.
func (s *Server) call(x *exchange) {
	service, route, ok := s.opts.Frontend.Route(x.r.Method, x.r.URL.Path)
	if !ok {
		s.refuse(x, &model.Refusal{
			Code:    problem.CodeUnknownRoute,
			Message: fmt.Sprintf("No service has the route %s %s.", x.r.Method, x.r.URL.Path),
			Outcome: model.OutcomeNotRun,
		})
		return
	}
	body, refusal := s.readBody(x)
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	deadline, refusal := requestDeadline(x.r)
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	response, refusal := s.opts.Frontend.Call(x.r.Context(), call.Request{
		ID:             x.id,
		Organisation:   x.organisation,
		Service:        service,
		Route:          route,
		Method:         x.r.Method,
		Path:           x.r.URL.Path,
		Query:          x.r.URL.RawQuery,
		Header:         forwardedHeader(x.r.Header),
		Body:           body,
		IdempotencyKey: x.r.Header.Get(headerIdempotencyKey),
		Deadline:       deadline,
		TraceParent:    tracecontext.Parent(x.r.Context()),
	})
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	s.relayResponse(x, response)
}

// forwardedHeader returns the header fields that are passed to the service.
// Hop-by-hop fields and the caller's credential are not passed on: they are
// meant for this instance only.
func forwardedHeader(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

func (s *Server) relayResponse(x *exchange, response call.Response) {
	for _, name := range []string{"Content-Type", "Content-Language", "Location"} {
		for _, value := range response.Header[name] {
			x.w.Header().Add(name, value)
		}
	}
	x.w.WriteHeader(response.Status)
	if _, err := x.w.Write(response.Body); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).Debug("response not delivered")
	}
}
