package rules

import (
	"slices"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Index finds routes, key holders and services of one revision of the rules, in a time
// that does not grow with their number. It is built once for a revision and not changed
// afterwards.
type Index struct {
	Rules   *model.RoutingRules
	hosts   map[string]*hostIndex // by host in lower case
	holders map[string]model.OrganisationID
	// priorities holds the organisations that have a priority of their own.
	priorities map[model.OrganisationID]int
	services   map[string]model.BackendService
}

// hostIndex holds the routes of one host.
type hostIndex struct {
	byPrefix map[string]*model.HostRoute
	lengths  []int // of the prefixes, longest first, each once
}

// NewIndex returns the index of the rules, which must not change afterwards. Of two
// routes with the same host and prefix, of two holders of a key and of two services with
// a name, the first one counts.
func NewIndex(r *model.RoutingRules) *Index {
	ix := &Index{
		Rules:      r,
		hosts:      map[string]*hostIndex{},
		holders:    map[string]model.OrganisationID{},
		priorities: map[model.OrganisationID]int{},
		services:   make(map[string]model.BackendService, len(r.Services)),
	}
	for i := range r.Routes {
		ix.addRoute(&r.Routes[i])
	}
	for _, host := range ix.hosts {
		slices.Sort(host.lengths)
		host.lengths = slices.Compact(host.lengths)
		slices.Reverse(host.lengths)
	}
	for _, holder := range r.Holders {
		if _, known := ix.priorities[holder.Organisation]; !known && holder.Priority != nil {
			ix.priorities[holder.Organisation] = *holder.Priority
		}
		for _, key := range holder.Keys {
			if _, known := ix.holders[key]; !known {
				ix.holders[key] = holder.Organisation
			}
		}
	}
	for _, s := range r.Services {
		if _, known := ix.services[s.Name]; !known {
			ix.services[s.Name] = s
		}
	}
	return ix
}

func (ix *Index) addRoute(route *model.HostRoute) {
	name := strings.ToLower(route.Host)
	host, known := ix.hosts[name]
	if !known {
		host = &hostIndex{byPrefix: map[string]*model.HostRoute{}}
		ix.hosts[name] = host
	}
	if _, known := host.byPrefix[route.Prefix]; known {
		return
	}
	host.byPrefix[route.Prefix] = route
	host.lengths = append(host.lengths, len(route.Prefix))
}

// Route returns the route of the host whose prefix is the longest that matches the path.
func (ix *Index) Route(host, path string) (model.HostRoute, bool) {
	routes, known := ix.hosts[strings.ToLower(host)]
	if !known {
		return model.HostRoute{}, false
	}
	for _, n := range routes.lengths {
		if n > len(path) {
			continue
		}
		if route, found := routes.byPrefix[path[:n]]; found {
			return *route, true
		}
	}
	return model.HostRoute{}, false
}

// Holder returns the organisation that the credential identifies.
func (ix *Index) Holder(credential string) (model.OrganisationID, bool) {
	if credential == "" {
		return "", false
	}
	organisation, known := ix.holders[credential]
	return organisation, known
}

// Priority returns the priority of the organisation's requests on the route.
func (ix *Index) Priority(organisation model.OrganisationID, route model.HostRoute) int {
	if p, known := ix.priorities[organisation]; known {
		return p
	}
	return route.Priority
}

// Service returns the service of the given name.
func (ix *Index) Service(name string) (model.BackendService, bool) {
	service, known := ix.services[name]
	return service, known
}
