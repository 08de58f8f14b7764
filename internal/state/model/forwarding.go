package model

import "time"

// RepeatRule says whether a request of a route may run more than once.
type RepeatRule string

// Repeat rules.
const (
	RepeatAny    RepeatRule = "idempotent"     // may run more than once
	RepeatNever  RepeatRule = "non_idempotent" // runs at most once
	RepeatResume RepeatRule = "resumable"      // a stream that another run may continue
)

// RouteTarget is a service with its weight among the targets of a route.
type RouteTarget struct {
	Service string
	Weight  int
}

// HostRoute forwards the requests of one host whose path begins with a prefix.
type HostRoute struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Stream      bool   // the answer is a stream of events
	Repeat      RepeatRule
	Timeout     time.Duration // longest time that a request waits for its answer; zero means no limit
	Objective   time.Duration // latency objective
	MaxGap      time.Duration // longest pause between events that is not late; zero means no limit is given
	Targets     []RouteTarget
	MaxAttempts int  // upstreams that one request may run on
	Public      bool // needs no credential
	Priority    int  // of requests whose organisation has none; 0 is the most urgent
}

// EngineTraits describe the engines of a service.
type EngineTraits struct {
	MemoryTokens int  // prompt and output tokens that fit into the memory of one engine
	Copies       bool // an engine can hold a copy of another engine's memory of a stream
	Moves        bool // an engine copies its memory of a stream on order
}

// BackendService is a service that upstreams register for.
type BackendService struct {
	Name   string
	Engine *EngineTraits // nil for plain services
}

// KeyHolder is an organisation with the credentials that identify it.
type KeyHolder struct {
	Organisation OrganisationID
	Keys         []string
	Priority     *int // of the organisation's requests on all routes; nil means that the route decides
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	BodyBytes   int64         // zero means no limit is given, also below
	HeaderBytes int64         // of the head of a request
	HeaderTime  time.Duration // from the first byte of a head to its end
	IdleTime    time.Duration // of a connection between two requests
}

// RoutingRules say how requests are forwarded. They are replaced as a whole.
type RoutingRules struct {
	Revision uint64
	Routes   []HostRoute
	Services []BackendService
	Holders  []KeyHolder
	Limits   CallerLimits
	// KeysRequired is set if the rules name key holders, even if the list of them is empty.
	// Rules of earlier builds do not have it; see RequireKeys.
	KeysRequired bool `cbor:",omitempty"`
}

// RequireKeys reports whether requests to routes that are not public need a key of one of the
// holders.
func (r *RoutingRules) RequireKeys() bool { return r.KeysRequired || len(r.Holders) > 0 }

// Service returns the service of the given name.
func (r *RoutingRules) Service(name string) (BackendService, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return BackendService{}, false
}
