package debugapi

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
)

// Process names one of the two processes of an instance.
type Process string

// Processes.
const (
	ProcessEntry   Process = "entry"
	ProcessControl Process = "control"
)

// Viewer says whose knowledge an answer holds.
type Viewer struct {
	Instance    model.InstanceID `json:"instance"`
	Process     Process          `json:"process"`
	Environment string           `json:"environment"`
	Generation  uint64           `json:"generation"` // of the document in force there; 0 for none
	At          time.Time        `json:"at"`         // when the answer was made
	// ViewAge is the time since an entry process was last in touch with its
	// control process; null in a control process and before the first contact.
	ViewAge *float64 `json:"view_age_seconds"`
}

// Instances is the body of GET InstancesPath.
type Instances struct {
	Viewer    Viewer     `json:"viewer"`
	Instances []Instance `json:"instances"`
}

// Instance is what the viewer knows of an instance.
type Instance struct {
	ID             model.InstanceID    `json:"id"`
	Incarnation    uint64              `json:"incarnation"`
	State          model.InstanceState `json:"state"`
	Region         string              `json:"region"`
	FailureDomain  model.FailureDomain `json:"failure_domain"`
	CallerAddress  string              `json:"caller_address"`
	EntryAddress   string              `json:"entry_address"`
	ControlAddress string              `json:"control_address"`
	// Age is the time since a control process last heard of the instance by any
	// route, or since an entry process was last in touch with its control
	// process. Null means never.
	Age *float64 `json:"age_seconds"`
}

// Upstreams is the body of GET UpstreamsPath.
type Upstreams struct {
	Viewer    Viewer     `json:"viewer"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is what the viewer knows of an upstream.
type Upstream struct {
	ID            model.UpstreamID    `json:"id"`
	Kind          model.UpstreamKind  `json:"kind"`
	Address       string              `json:"address"`
	Region        string              `json:"region"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Serves        string              `json:"serves"`
	Version       string              `json:"version"`
	Fencing       model.FencingMode   `json:"fencing"`
	Health        upstream.Health     `json:"health"`
	Usable        bool                `json:"usable"`  // may take new work of this instance
	Running       int                 `json:"running"` // as last reported
	Waiting       int                 `json:"waiting"` // as last reported
	InFlight      int                 `json:"in_flight"`
	Failures      int                 `json:"failures"` // connection failures in a row, seen by this instance
	// Age is the time since the figures of the last report were true, by the
	// clocks of the upstream and of the viewer. Null means that there is none.
	Age *float64 `json:"age_seconds"`
}

// Seconds returns the JSON form of an age. Clocks that differ do not make it
// negative.
func Seconds(age time.Duration) *float64 {
	s := max(age, 0).Seconds()
	return &s
}

// FromInstance describes an instance. age is nil when it is not known.
func FromInstance(in model.Instance, age *float64) Instance {
	return Instance{
		ID:             in.ID,
		Incarnation:    in.Incarnation,
		State:          in.State,
		Region:         in.Region,
		FailureDomain:  in.FailureDomain,
		CallerAddress:  in.CallerAddress,
		EntryAddress:   in.EntryAddress,
		ControlAddress: in.ControlAddress,
		Age:            age,
	}
}

// FromUpstream describes an upstream.
func FromUpstream(row upstream.Row, now time.Time) Upstream {
	u, r := row.Upstream, row.Report
	described := Upstream{
		ID:            u.ID,
		Kind:          u.Kind,
		Address:       u.Address,
		Region:        u.Region,
		FailureDomain: u.FailureDomain,
		Serves:        u.Serves,
		Version:       u.Version,
		Fencing:       u.Fencing,
		Health:        r.Health,
		Usable:        row.Usable(now),
		Running:       r.Running,
		Waiting:       r.Waiting,
		InFlight:      row.InFlight,
		Failures:      row.Failures,
	}
	if !r.At.IsZero() {
		described.Age = Seconds(now.Sub(r.At))
	}
	return described
}
