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

// Viewer identifies the process whose view of the system an answer shows.
type Viewer struct {
	Instance    model.InstanceID `json:"instance"`
	Process     Process          `json:"process"`
	Environment string           `json:"environment"`
	Generation  uint64           `json:"generation"` // of the document in force in the process; 0 for none
	At          time.Time        `json:"at"`         // time of the answer
	// ViewAge is the time since an entry process last had contact with its control
	// process. It is null in a control process and before the first contact.
	ViewAge *float64 `json:"view_age_seconds"`
}

// Instances is the body of GET InstancesPath.
type Instances struct {
	Viewer    Viewer     `json:"viewer"`
	Instances []Instance `json:"instances"`
}

// Instance is an instance as the viewer sees it.
type Instance struct {
	ID             model.InstanceID    `json:"id"`
	Incarnation    uint64              `json:"incarnation"`
	State          model.InstanceState `json:"state"`
	Region         string              `json:"region"`
	FailureDomain  model.FailureDomain `json:"failure_domain"`
	CallerAddress  string              `json:"caller_address"`
	EntryAddress   string              `json:"entry_address"`
	ControlAddress string              `json:"control_address"`
	// Age is, in a control process, the time since the last sign of life of the
	// instance arrived by any route; in an entry process, the time since the last
	// contact with its control process. Null means never.
	Age *float64 `json:"age_seconds"`
}

// Upstreams is the body of GET UpstreamsPath.
type Upstreams struct {
	Viewer    Viewer     `json:"viewer"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is an upstream as the viewer sees it.
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
	Usable        bool                `json:"usable"`  // may get new work from this instance
	Running       int                 `json:"running"` // as last reported
	Waiting       int                 `json:"waiting"` // as last reported
	InFlight      int                 `json:"in_flight"`
	Failures      int                 `json:"failures"` // consecutive connection failures seen by this instance
	// Age is the time since the figures of the last report were measured, by the
	// clocks of the upstream and of the viewer. Null means that there is no report.
	Age *float64 `json:"age_seconds"`
}

// Seconds returns an age as a JSON number of seconds. A negative age, which comes of
// clocks that differ, becomes 0.
func Seconds(age time.Duration) *float64 {
	s := max(age, 0).Seconds()
	return &s
}

// FromInstance returns the Instance for in. age is nil if it is unknown.
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

// FromUpstream returns the Upstream for a row of the upstream table.
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
