package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/access"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/rules"
)

// Refusal codes. The problem package maps them to HTTP statuses.
const (
	codeNoRoute           = "unknown_route"
	codeUnknownCredential = "credential_required"
	codeOverloaded        = "overloaded"
	codeNoUpstream        = "no_upstream"
	codeUnknownOutcome    = "outcome_unknown"
	codeDeadline          = "deadline_exceeded"
	codeLeaving           = "leaving"
)

// RouteMatch holds the route, service and organisation that the rules assign to a request.
type RouteMatch struct {
	Route        model.HostRoute
	Service      model.BackendService
	Organisation model.OrganisationID // empty if the credential identifies none
}

// Admit finds the route, the service and the organisation of a request, or refuses it.
func Admit(current *rules.Index, req *Request) (RouteMatch, *model.Refusal) {
	if current == nil {
		return RouteMatch{}, refuseNotReady(req)
	}
	route, ok := current.Route(req.Host, req.Path)
	if !ok {
		return RouteMatch{}, &model.Refusal{Code: codeNoRoute, Message: "No route of this host has a prefix of the path.", Outcome: model.OutcomeNotRun}
	}
	a := RouteMatch{Route: route}
	if current.Rules.RequireKeys() {
		organisation, known := current.Holder(req.Credential)
		if !known && !route.Public {
			return RouteMatch{}, &model.Refusal{Code: codeUnknownCredential, Message: "The credential names no organisation.", Outcome: model.OutcomeNotRun}
		}
		a.Organisation = organisation
	}
	name := chooseService(route, req.ID)
	if name == "" { // stands for all services in the table of upstreams
		refusal := refuseNoUpstream(name, req)
		refusal.Message = "The route names no service."
		return RouteMatch{}, refusal
	}
	service, ok := current.Service(name)
	if !ok {
		service = model.BackendService{Name: name}
	}
	a.Service = service
	return a, nil
}

// chooseService chooses one of the route's services by weight. The choice depends
// on the request ID alone, so that a request always goes to the same service.
func chooseService(route model.HostRoute, id model.RequestID) string {
	total := 0
	for _, t := range route.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(route.Targets) == 0 {
			return ""
		}
		return route.Targets[0].Service
	}
	point := rand.New(rand.NewPCG(xxhash.Sum64String(string(id)), 0)).IntN(total)
	for _, t := range route.Targets {
		if point -= max(t.Weight, 0); point < 0 {
			return t.Service
		}
	}
	return ""
}

// busyRetryAfter is the Retry-After of requests that are refused because all
// upstreams are full. An upstream finishes its shortest requests in about that time.
const busyRetryAfter = 200 * time.Millisecond

func refuseNotReady(req *Request) *model.Refusal {
	refusal := access.NotReady()
	refusal.RetryAfter = retryAfterMissing(req)
	return refusal
}

// refuseNoUpstream returns the refusal of a request to a service without known upstreams.
func refuseNoUpstream(service string, req *Request) *model.Refusal {
	refusal := refuseBusy(service)
	refusal.Code, refusal.RetryAfter = codeNoUpstream, retryAfterMissing(req)
	return refusal
}

func refuseBusy(service string) *model.Refusal {
	return &model.Refusal{
		Code:       codeOverloaded,
		Message:    "No upstream of service " + service + " can take the request now.",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: busyRetryAfter,
	}
}

func refuseDeadline() *model.Refusal {
	return &model.Refusal{Code: codeDeadline, Message: "The time for the answer is over.", Outcome: model.OutcomeUnknown}
}

func refuseUnknown(cause string) *model.Refusal {
	return &model.Refusal{Code: codeUnknownOutcome, Message: "The upstream may have run the request: " + cause + ".", Outcome: model.OutcomeUnknown}
}
