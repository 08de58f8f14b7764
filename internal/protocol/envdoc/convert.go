package envdoc

import (
	"slices"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// defaultWeight is the weight of an organisation whose weight is not set.
const defaultWeight = 1

// convert returns the document that a file without faults describes.
func convert(f *file, hash string) *model.Document {
	return &model.Document{
		Hash:              hash,
		RequireCredential: f.RequireCredential,
		Organisations:     convertAll(f.Organisations, toOrganisation),
		Models:            convertAll(f.Models, toModel),
		Services:          convertAll(f.Services, toService),
		Upstreams:         convertAll(f.Upstreams, toUpstream),
	}
}

func convertAll[A, B any](list []A, to func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, item := range list {
		out = append(out, to(item))
	}
	return out
}

func toOrganisation(o organisation) model.Organisation {
	weight := defaultWeight
	if o.Weight != nil {
		weight = *o.Weight
	}
	return model.Organisation{
		ID: model.OrganisationID(o.ID), Weight: weight,
		MaxInFlight: o.MaxInFlight, CredentialSHA256: o.CredentialSHA256,
	}
}

func toModel(m llm) model.Model {
	return model.Model{Name: m.Name, Plan: toPlan(m.Plan), MaxQueue: *m.MaxQueue}
}

func toService(s service) model.Service {
	return model.Service{Name: s.Name, Plan: toPlan(s.Plan), Routes: convertAll(s.Routes, toRoute)}
}

// toPlan ignores the error of time.Parse: finish_by was checked before, and an empty
// finish_by means no deadline.
func toPlan(p Plan) model.VersionPlan {
	finish, _ := time.Parse(time.RFC3339, p.FinishBy)
	return model.VersionPlan{Target: p.Target, Previous: p.Previous, FinishBy: finish.UTC()}
}

func toRoute(r route) model.Route {
	return model.Route{Method: r.Method, Path: r.Path, Idempotent: *r.Idempotent, Timeout: r.Timeout}
}

func toUpstream(u upstream) model.Upstream {
	return model.Upstream{
		ID: model.UpstreamID(u.ID), Kind: model.UpstreamKind(u.Kind), Address: u.Address,
		Region: u.Region, FailureDomain: model.FailureDomain(u.FailureDomain),
		Serves: u.Serves, Version: u.Version, Fencing: model.FencingMode(u.Fencing),
		Adapters: slices.Sorted(slices.Values(u.Adapters)), Role: u.Role,
	}
}
