// Package model holds the core types that all layers share. The types carry
// no encoding tags: the protocol layer encodes them.
package model

import (
	"crypto/rand"
	"slices"
	"time"
)

// Identifiers of the parts of a deployment.
type (
	// InstanceID names a machine of the system.
	InstanceID string
	// UpstreamID names a back end.
	UpstreamID string
	// FailureDomain names a zone whose machines can fail together.
	FailureDomain string
	// OrganisationID names a customer.
	OrganisationID string
	// RequestID names a caller's request: "<instance>-<128 random bits>".
	RequestID string
	// LineID names a line: one sequence of tokens of a generation. A takeover
	// by another instance starts a new line, and so does an attempt that may
	// produce other tokens than an older copy has.
	LineID string
	// StreamID names one attempt's stream on an engine:
	// "<request>.<line>.<attempt>".
	StreamID string
)

// NewRequestID returns an ID that names the instance as the owner.
func NewRequestID(owner InstanceID) RequestID {
	return RequestID(string(owner) + "-" + rand.Text())
}

// Document is the environment document in force.
type Document struct {
	Environment   string
	Generation    uint64 // rises by one for each accepted document
	Hash          string // hex SHA-256 of the document's source
	Organisations []Organisation
	Models        []Model
	Services      []Service
	Upstreams     []Upstream
	// RequireCredential means that callers without an organisation's
	// credential are refused.
	RequireCredential bool
}

// Organisation is a customer with its share of the capacity.
type Organisation struct {
	ID               OrganisationID
	Weight           int    // relative share, at least 1
	MaxInFlight      int    // concurrent requests for each instance; 0 means no limit
	CredentialSHA256 string // hex SHA-256 of the bearer token; empty means none
}

// VersionPlan says which version the traffic moves to, and by when.
type VersionPlan struct {
	Target   string    // version that receives all traffic after the move
	Previous string    // version that receives the traffic before the move; empty means no move
	FinishBy time.Time // time by which the move ends
}

// Model is a language model that engines serve.
type Model struct {
	Name     string
	Plan     VersionPlan
	MaxQueue int // waiting requests for each instance
}

// Service is a plain service that upstreams serve.
type Service struct {
	Name   string
	Plan   VersionPlan
	Routes []Route
}

// Route is one path of a service.
type Route struct {
	Method     string
	Path       string
	Idempotent bool
	Timeout    time.Duration
}

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// FencingMode says whether an upstream checks an order's fencing token.
type FencingMode string

// Fencing modes.
const (
	FencingHonoured FencingMode = "honoured" // refuses orders with an old token
	FencingIgnored  FencingMode = "ignored"  // runs any order
)

// Upstream is a back end: an engine or one process of a plain service.
type Upstream struct {
	ID            UpstreamID
	Kind          UpstreamKind
	Address       string // IP:port
	Region        string
	FailureDomain FailureDomain
	Serves        string // name of the model or service
	Version       string
	Fencing       FencingMode
	Adapters      []string // adapters that an engine is told to load, sorted; if empty, the loaded ones stay
	Role          string   // role that an engine is told to take; if empty, its role stays
	Slots         int      // requests that run concurrently; 0 means unknown
}

// Runs reports whether the upstream serves the version with the adapter. An
// empty version matches any version; an empty adapter means that none is needed.
func (u Upstream) Runs(version, adapter string) bool {
	return (version == "" || u.Version == version) && (adapter == "" || slices.Contains(u.Adapters, adapter))
}

// Equal reports whether all fields of both upstreams are equal.
func (u Upstream) Equal(o Upstream) bool {
	return u.ID == o.ID && u.Kind == o.Kind && u.Address == o.Address && u.Region == o.Region &&
		u.FailureDomain == o.FailureDomain && u.Serves == o.Serves && u.Version == o.Version &&
		u.Fencing == o.Fencing && u.Role == o.Role && u.Slots == o.Slots && slices.Equal(u.Adapters, o.Adapters)
}

// InstanceState is the membership state of an instance.
type InstanceState string

// Instance states, in the order in which one overrides another within the
// same incarnation.
const (
	InstanceLive      InstanceState = "live"
	InstanceSuspected InstanceState = "suspected"
	InstanceLeaving   InstanceState = "leaving"
	InstanceDead      InstanceState = "dead"
)

// Instance is a machine of the system, with an entry and a control process.
type Instance struct {
	ID             InstanceID
	Incarnation    uint64 // start time in Unix nanoseconds; raised to refute a suspicion
	Region         string
	FailureDomain  FailureDomain
	CallerAddress  string // IP:port that callers use
	EntryAddress   string // UDP IP:port of entryd's QUIC listener
	ControlAddress string // UDP IP:port of controld's QUIC listener
	State          InstanceState
	Fingerprint    string // of its certificate; empty if a CA signed the certificate
}

// VersionKey names one version of one model or service.
type VersionKey struct {
	Serves  string
	Version string
}

// Stop keeps new work from a version during one epoch of the version's move.
type Stop struct {
	Key    VersionKey
	Epoch  uint64
	Reason string
	By     InstanceID
}

// Share is the part of new work that the target version of a move receives.
type Share struct {
	Serves   string
	Target   string
	Previous string
	Epoch    uint64  // a Stop of an older epoch no longer applies
	Share    float64 // 0 to 1
	Revision uint64  // rises with each change; a lower revision is ignored
}

// Priority orders waiting generations. A lower value goes first.
type Priority int

// Priorities.
const (
	PriorityResume Priority = iota
	PriorityInteractive
	PriorityBatch
	// PriorityLowest is the least urgent one. The operator's rules have more priorities than
	// interactive and batch; those beyond count as the lowest.
	PriorityLowest Priority = 8
)

// Sampling holds the settings that decide which tokens an engine produces.
type Sampling struct {
	Temperature float64
	TopP        float64
	Seed        int64
	MaxTokens   int
	Stop        []string
}

// GenerationSpec is a caller's request for a generation.
type GenerationSpec struct {
	Request      RequestID
	Organisation OrganisationID
	Model        string
	Adapter      string
	Prompt       string
	Sampling     Sampling
	Priority     Priority
	Deadline     time.Time // zero means none
	TraceParent  string    // W3C trace context of the caller's span
}

// Outcome says whether a refused or failed request took effect.
type Outcome string

// Outcomes.
const (
	OutcomeNotRun  Outcome = "not_run" // no byte was handed to an upstream
	OutcomeDone    Outcome = "done"
	OutcomeUnknown Outcome = "unknown"
)

// Refusal tells a caller why there is no (further) answer.
type Refusal struct {
	Code       string // stable, snake_case
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // zero when waiting does not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}
